"""Executes the effects of gangs: commands, row writes and job hints."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import Any
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.core.gang_plan import Closed
from filbertlb.core.gang_plan import Send
from filbertlb.core.gang_plan import Started
from filbertlb.core.gang_plan import WriteDecision
from filbertlb.entry.events import CommandAnswered
from filbertlb.messages import JobHint
from filbertlb.transport.link import OutboxFullError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from filbertlb.core.gang import Gang
    from filbertlb.core.gang_plan import GangEffect
    from filbertlb.core.job_record import JobRecord
    from filbertlb.entry.job_writer import JobWriter
    from filbertlb.messages import Announce
    from filbertlb.tasks import Mailbox
    from filbertlb.transport.link import Link

COMMAND_TIMEOUT_S = 10.0
MAX_FAILURES = 3


@attrs.define
class ActiveGang:
    """The gang of an attempt that is not yet recorded as ended.

    Parameters
    ----------
    job : JobRecord
        The job as it was when the gang was added.
    is_closed : bool
        Whether the attempt has ended and its outcome is being written.
    """

    gang: Gang
    job: JobRecord
    is_closed: bool = False


class GangDriver:
    """Tracks the active gangs of one scope and executes their effects.

    Parameters
    ----------
    link : Link
        This process's link.
    writer : JobWriter
        Writes the job rows.
    mailbox : Mailbox
        The decider's mailbox; receives the agents' replies.
    endpoint_by_id : mapping of str to Announce
        Latest announcements by endpoint ID, updated by the decider.
    broadcast_hint : callable
        Notifies all entries that a job's row has changed.

    Attributes
    ----------
    next_due_s : float
        Monotonic time in seconds before which no gang needs a tick.
    """

    def __init__(
        self,
        link: Link,
        writer: JobWriter,
        mailbox: Mailbox,
        endpoint_by_id: Mapping[str, Announce],
        broadcast_hint: Callable[[JobHint], None],
    ) -> None:
        self._link = link
        self._writer = writer
        self._mailbox = mailbox
        self._endpoint_by_id = endpoint_by_id
        self._broadcast_hint = broadcast_hint
        self._gang_by_attempt: dict[str, ActiveGang] = {}
        self._attempt_by_job: dict[str, str] = {}
        self.next_due_s = math.inf
        self._attempts_by_endpoint: dict[str, set[str]] = defaultdict(set)

    def active(self) -> list[ActiveGang]:
        """Return all active gangs."""
        return list(self._gang_by_attempt.values())

    def get(self, attempt_id: str) -> ActiveGang | None:
        """Return the gang of an attempt, or None."""
        return self._gang_by_attempt.get(attempt_id)

    def for_job(self, job_id: str) -> ActiveGang | None:
        """Return the gang of a job, or None."""
        return self._gang_by_attempt.get(self._attempt_by_job.get(job_id, ""))

    def on_endpoint(
        self, endpoint_id: str, attempt_ids: Iterable[str]
    ) -> list[ActiveGang]:
        """Return the gangs with members on an endpoint.

        Parameters
        ----------
        attempt_ids : iterable of str
            Attempts that the endpoint announces, in addition to those
            whose plans place a member there.
        """
        tracked = self._attempts_by_endpoint.get(endpoint_id, set())
        gangs = [
            self._gang_by_attempt.get(attempt_id)
            for attempt_id in tracked.union(attempt_ids)
        ]
        return [active for active in gangs if active is not None]

    def add(self, gang: Gang, job: JobRecord) -> ActiveGang:
        """Start tracking a gang."""
        active = ActiveGang(gang, job)
        attempt_id = gang.plan.attempt_id
        self._gang_by_attempt[attempt_id] = active
        self._attempt_by_job[job.spec.job_id] = attempt_id
        for member in gang.plan.members:
            attempts = self._attempts_by_endpoint[member.endpoint_id]
            attempts.add(attempt_id)
        return active

    def remove(
        self, attempt_id: str, *, acknowledge: bool
    ) -> ActiveGang | None:
        """Stop tracking a gang whose attempt has ended.

        Parameters
        ----------
        acknowledge : bool
            Whether to acknowledge the members' ends, so that agents may
            forget them; only once the outcome is in the job's row.
        """
        active = self._gang_by_attempt.pop(attempt_id, None)
        if active is None:
            return None
        self._attempt_by_job.pop(active.job.spec.job_id, None)
        for member in active.gang.plan.members:
            attempts = self._attempts_by_endpoint[member.endpoint_id]
            attempts.discard(attempt_id)
        for effect in active.gang.acknowledge_ends() if acknowledge else ():
            if isinstance(effect, Send):
                self._send_command(active, effect)
        self._send_hint(active.job)
        return active

    def clear(self) -> None:
        """Stop tracking all gangs; the next decider recovers them."""
        self._gang_by_attempt.clear()
        self._attempts_by_endpoint.clear()
        self._attempt_by_job.clear()

    def tick(self, now_s: float) -> None:
        """Tick every gang that is due."""
        self.next_due_s = math.inf
        for active in self.active():
            if active.gang.next_due_s() <= now_s:
                self.execute(active, active.gang.tick(now_s))
            due_s = active.gang.next_due_s()
            self.next_due_s = min(self.next_due_s, due_s)

    def execute(
        self, active: ActiveGang, effects: Iterable[GangEffect]
    ) -> None:
        """Execute the effects of a gang in order."""
        self.next_due_s = min(self.next_due_s, active.gang.next_due_s())
        for effect in effects:
            match effect:
                case Send():
                    self._send_command(active, effect)
                case WriteDecision():
                    self._writer.write_decision(effect.plan)
                case Started():
                    self._writer.write_started(effect.plan)
                    self._send_hint(active.job)
                case Closed():
                    self._write_outcome(active, effect)

    def send_one_way(self, address: str, command: Any) -> None:
        """Send a command without waiting for a reply."""
        try:
            self._link.send(address, command)
        except OutboxFullError as error:
            logger.warning("command not sent: {}", error.message)

    def _write_outcome(self, active: ActiveGang, closed: Closed) -> None:
        if active.is_closed:
            return
        active.is_closed = True
        self._writer.write_outcome(
            active.gang.plan, closed.outcome, MAX_FAILURES
        )

    def _send_command(self, active: ActiveGang, send: Send) -> None:
        announce = self._endpoint_by_id.get(send.endpoint_id)
        if announce is None:
            return
        attempt_id = active.gang.plan.attempt_id

        def on_reply(reply: Any) -> None:
            self._mailbox.post(
                CommandAnswered(attempt_id, send.member, send.command, reply)
            )

        try:
            self._link.ask(
                announce.address, send.command, on_reply, COMMAND_TIMEOUT_S
            )
        except OutboxFullError as error:
            # The gang sends unanswered commands again.
            logger.warning("command not sent: {}", error.message)

    def _send_hint(self, job: JobRecord) -> None:
        spec = job.spec
        self._broadcast_hint(JobHint(spec.organisation_id, spec.job_id))
