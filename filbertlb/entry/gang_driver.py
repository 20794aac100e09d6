"""Carries out what gangs ask for: commands, writes and hints."""

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

COMMAND_REPLY_S = 10.0
MAX_FAILURES = 3


@attrs.define
class RunningGang:
    """An attempt with its job.

    Parameters
    ----------
    job : JobRecord
        The job as it was when the attempt began.
    is_closed : bool
        The attempt is over and its outcome is being written.
    """

    gang: Gang
    job: JobRecord
    is_closed: bool = False


class GangDriver:
    """The gangs under way in one scope.

    Parameters
    ----------
    link : Link
        This process's link.
    writer : JobWriter
        Writes the job rows.
    mailbox : Mailbox
        The decider's mailbox, for the agents' replies.
    endpoint_by_id : mapping of str to Announce
        Newest announcements, kept by the decider.
    announce : callable
        Tells all entries that a job's row has changed.

    Attributes
    ----------
    next_due_s : float
        No gang is due before this monotonic time in seconds.
    """

    def __init__(
        self,
        link: Link,
        writer: JobWriter,
        mailbox: Mailbox,
        endpoint_by_id: Mapping[str, Announce],
        announce: Callable[[JobHint], None],
    ) -> None:
        self._link = link
        self._writer = writer
        self._mailbox = mailbox
        self._endpoint_by_id = endpoint_by_id
        self._announce = announce
        self._by_attempt: dict[str, RunningGang] = {}
        self._attempt_by_job: dict[str, str] = {}
        self.next_due_s = math.inf
        self._attempts_by_endpoint: dict[str, set[str]] = defaultdict(set)

    def running(self) -> list[RunningGang]:
        """Return all gangs under way."""
        return list(self._by_attempt.values())

    def get(self, attempt_id: str) -> RunningGang | None:
        """Return the gang of an attempt, or None."""
        return self._by_attempt.get(attempt_id)

    def of_job(self, job_id: str) -> RunningGang | None:
        """Return the gang of a job, or None."""
        return self._by_attempt.get(self._attempt_by_job.get(job_id, ""))

    def at(
        self, endpoint_id: str, attempt_ids: Iterable[str]
    ) -> list[RunningGang]:
        """Return the gangs with members on an endpoint.

        Parameters
        ----------
        attempt_ids : iterable of str
            Attempts that the endpoint announces.
        """
        known = self._attempts_by_endpoint.get(endpoint_id, set())
        found = [
            self._by_attempt.get(attempt_id)
            for attempt_id in known.union(attempt_ids)
        ]
        return [running for running in found if running is not None]

    def add(self, gang: Gang, job: JobRecord) -> RunningGang:
        """Take a gang on."""
        running = RunningGang(gang, job)
        attempt_id = gang.plan.attempt_id
        self._by_attempt[attempt_id] = running
        self._attempt_by_job[job.spec.job_id] = attempt_id
        for member in gang.plan.members:
            attempts = self._attempts_by_endpoint[member.endpoint_id]
            attempts.add(attempt_id)
        return running

    def remove(
        self, attempt_id: str, *, acknowledge: bool
    ) -> RunningGang | None:
        """Give up a gang that is over.

        Parameters
        ----------
        acknowledge : bool
            Its outcome is in its row, so that agents may forget it.
        """
        running = self._by_attempt.pop(attempt_id, None)
        if running is None:
            return None
        self._attempt_by_job.pop(running.job.spec.job_id, None)
        for member in running.gang.plan.members:
            attempts = self._attempts_by_endpoint[member.endpoint_id]
            attempts.discard(attempt_id)
        for effect in running.gang.recorded() if acknowledge else ():
            if isinstance(effect, Send):
                self._command(running, effect)
        self._hint(running.job)
        return running

    def clear(self) -> None:
        """Forget all gangs; another decider goes on with them."""
        self._by_attempt.clear()
        self._attempts_by_endpoint.clear()
        self._attempt_by_job.clear()

    def tick(self, now_s: float) -> None:
        """Give every gang that is due its tick."""
        self.next_due_s = math.inf
        for running in self.running():
            if running.gang.next_due_s() <= now_s:
                self.carry_out(running, running.gang.tick(now_s))
            due_s = running.gang.next_due_s()
            self.next_due_s = min(self.next_due_s, due_s)

    def carry_out(
        self, running: RunningGang, effects: Iterable[GangEffect]
    ) -> None:
        """Carry out effects in order."""
        self.next_due_s = min(self.next_due_s, running.gang.next_due_s())
        for effect in effects:
            match effect:
                case Send():
                    self._command(running, effect)
                case WriteDecision():
                    self._writer.write_decision(effect.plan)
                case Started():
                    self._writer.write_started(effect.plan)
                    self._hint(running.job)
                case Closed():
                    self._close(running, effect)

    def send(self, address: str, command: Any) -> None:
        """Send a command whose answer is of no interest."""
        try:
            self._link.send(address, command)
        except OutboxFullError as error:
            logger.warning("command waits: {}", error.message)

    def _close(self, running: RunningGang, closed: Closed) -> None:
        if running.is_closed:
            return
        running.is_closed = True
        self._writer.write_outcome(
            running.gang.plan, closed.outcome, MAX_FAILURES
        )

    def _command(self, running: RunningGang, send: Send) -> None:
        announce = self._endpoint_by_id.get(send.endpoint_id)
        if announce is None:
            return
        attempt_id = running.gang.plan.attempt_id

        def on_reply(reply: Any) -> None:
            self._mailbox.post(
                CommandAnswered(attempt_id, send.member, send.command, reply)
            )

        try:
            self._link.ask(
                announce.address, send.command, on_reply, COMMAND_REPLY_S
            )
        except OutboxFullError as error:
            # The gang repeats it.
            logger.warning("command waits: {}", error.message)

    def _hint(self, job: JobRecord) -> None:
        spec = job.spec
        self._announce(JobHint(spec.organisation_id, spec.job_id))
