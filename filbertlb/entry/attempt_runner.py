"""Performs the effects that an attempt session requests."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from gevent import sleep
from gevent import spawn
from loguru import logger

from filbertlb.core.attempt_effects import Ask
from filbertlb.core.attempt_effects import ChooseEndpoint
from filbertlb.core.attempt_effects import Finish
from filbertlb.core.attempt_effects import KeepWaiting
from filbertlb.core.attempt_effects import ReadRow
from filbertlb.core.attempt_effects import WriteRow
from filbertlb.core.attempt_rows import decode_attempt
from filbertlb.core.attempt_rows import encode_attempt
from filbertlb.core.attempt_rows import Stamp
from filbertlb.core.attempts import record_late_answer
from filbertlb.messages import Invoke
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.messages import TaskEndedAck
from filbertlb.messages import Tombstoned
from filbertlb.table.base import ABSENT
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import Write
from filbertlb.table.base import WriteOutcomeUnknownError
from filbertlb.transport.link import OutboxFullError
from filbertlb.transport.link import ReplyTimeoutError

if TYPE_CHECKING:
    from filbertlb.core.attempt_effects import Effect
    from filbertlb.core.attempt_session import AttemptSession
    from filbertlb.core.clock import Clock
    from filbertlb.entry.endpoint_views import RunnerChooser
    from filbertlb.messages import Token
    from filbertlb.table.base import TableService
    from filbertlb.transport.link import Link

TOMBSTONE_TIMEOUT_S = 2.0
RESULT_GRACE_S = 30.0
RECORD_RETRY_PERIOD_S = 1.0
MAX_RECORD_RETRIES = 600
ID_BYTES = 8


class AttemptRunner:
    """Runs attempt sessions against the table service and the runners.

    Parameters
    ----------
    link : Link
        This process's link.
    table : TableService
        Stores the attempt rows.
    chooser : RunnerChooser
        Chooses runners.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        link: Link,
        table: TableService,
        chooser: RunnerChooser,
        clock: Clock,
    ) -> None:
        self._link = link
        self._table = table
        self._chooser = chooser
        self._clock = clock

    def run(self, session: AttemptSession) -> Finish:
        """Run a session to its end and return its final effect."""
        effect: Effect = session.begin()
        while not isinstance(effect, Finish):
            effect = self._perform(session, effect)
        self._complete(effect)
        return effect

    def _perform(self, session: AttemptSession, effect: Effect) -> Effect:
        match effect:
            case ReadRow():
                return self._read_row(session, effect)
            case WriteRow():
                return self._write_row(session, effect)
            case ChooseEndpoint():
                return self._choose_endpoint(session, effect)
            case Ask():
                return self._request(session, effect)
        return session.on_no_reply(sent=True)

    def _read_row(self, session: AttemptSession, effect: ReadRow) -> Effect:
        try:
            row = self._table.get(effect.key)
        except TableUnavailableError:
            return session.on_table_unavailable()
        now_s = self._clock.wall()
        if row is None:
            return session.on_row(None, ABSENT, now_s)
        return session.on_row(decode_attempt(row.value), row.version, now_s)

    def _write_row(self, session: AttemptSession, effect: WriteRow) -> Effect:
        value = encode_attempt(effect.row)
        write = Write(effect.key, value, effect.expected_version)
        try:
            (version,) = self._table.commit((write,))
        except RowConflictError:
            return session.on_conflict()
        except WriteOutcomeUnknownError:
            return session.on_write_unknown()
        except TableUnavailableError:
            return session.on_table_unavailable()
        return session.on_written(version, self._clock.wall())

    def _choose_endpoint(
        self, session: AttemptSession, effect: ChooseEndpoint
    ) -> Effect:
        endpoint = self._chooser.choose(effect.avoid)
        if endpoint is None:
            return session.on_no_endpoint()
        return session.on_endpoint(
            endpoint.endpoint_id, endpoint.address, endpoint.incarnation
        )

    def _request(self, session: AttemptSession, effect: Ask) -> Effect:
        timeout_s = TOMBSTONE_TIMEOUT_S
        if isinstance(effect.message, Invoke):
            timeout_s = effect.message.within_s + RESULT_GRACE_S
        started_s = self._clock.monotonic()
        try:
            with self._chooser.counting_in_flight(effect.endpoint_id):
                reply = self._link.request(
                    effect.address, effect.message, timeout_s
                )
        except OutboxFullError:
            return session.on_no_reply(sent=False)
        except ReplyTimeoutError:
            return session.on_no_reply(sent=True)
        if not isinstance(reply, InvokeResult | Refused | Tombstoned):
            return session.on_no_reply(sent=True)
        if isinstance(reply, InvokeResult):
            self._chooser.answered(effect.endpoint_id, started_s)
        next_effect = session.on_reply(reply)
        if isinstance(next_effect, KeepWaiting):
            return session.on_no_reply(sent=True)
        return next_effect

    def _complete(self, finish: Finish) -> None:
        if finish.pending_answer is not None:
            spawn(self._retry_recording, finish.pending_answer)
        if finish.acknowledge is not None:
            self._acknowledge(finish.endpoint_id, finish.acknowledge)

    def _acknowledge(self, endpoint_id: str, token: Token) -> None:
        address = self._chooser.address_of(endpoint_id)
        if address is None:
            return
        try:
            self._link.send(address, TaskEndedAck(token))
        except OutboxFullError as error:
            # The agent keeps the answer until it needs the space.
            logger.warning("acknowledgement not sent: {}", error.message)

    def _retry_recording(self, effect: WriteRow) -> None:
        """Retry recording an answer that could not be written."""
        for _ in range(MAX_RECORD_RETRIES):
            sleep(RECORD_RETRY_PERIOD_S)
            try:
                self._record_answer(effect)
            except (
                RowConflictError,
                TableUnavailableError,
                WriteOutcomeUnknownError,
            ):
                continue
            return
        logger.error("answer not recorded, giving up: {}", effect.key)

    def _record_answer(self, effect: WriteRow) -> None:
        """Record the answer in the current row, then acknowledge it.

        Other requests with the same key may have changed the row.
        """
        row = self._table.get(effect.key)
        current = None if row is None else decode_attempt(row.value)
        stamp = Stamp(secrets.token_hex(ID_BYTES), effect.row.owner)
        updated = record_late_answer(current, effect.row, stamp)
        if updated is not None and row is not None:
            write = Write(effect.key, encode_attempt(updated), row.version)
            self._table.commit((write,))
        if effect.row.token is not None:
            self._acknowledge(effect.row.endpoint_id, effect.row.token)
