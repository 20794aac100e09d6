"""Carries out what an attempt's session asks for."""

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

TOMBSTONE_REPLY_S = 2.0
RESULT_GRACE_S = 30.0
UNWRITTEN_RETRY_S = 1.0
UNWRITTEN_TRIES = 600
ID_BYTES = 8


class AttemptRunner:
    """Reads, writes, sends and waits for attempts' sessions.

    Parameters
    ----------
    link : Link
        This process's link.
    table : TableService
        Holds the attempts' rows.
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

    def carry(self, session: AttemptSession) -> Finish:
        """Carry a session to its end and return what to tell."""
        effect: Effect = session.begin()
        while not isinstance(effect, Finish):
            effect = self._step(session, effect)
        self._after(effect)
        return effect

    def _step(self, session: AttemptSession, effect: Effect) -> Effect:
        match effect:
            case ReadRow():
                return self._read(session, effect)
            case WriteRow():
                return self._write(session, effect)
            case ChooseEndpoint():
                return self._choose(session, effect)
            case Ask():
                return self._ask(session, effect)
        return session.on_no_reply(sent=True)

    def _read(self, session: AttemptSession, effect: ReadRow) -> Effect:
        try:
            row = self._table.get(effect.key)
        except TableUnavailableError:
            return session.on_table_unavailable()
        now_s = self._clock.wall()
        if row is None:
            return session.on_row(None, ABSENT, now_s)
        return session.on_row(decode_attempt(row.value), row.version, now_s)

    def _write(self, session: AttemptSession, effect: WriteRow) -> Effect:
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

    def _choose(
        self, session: AttemptSession, effect: ChooseEndpoint
    ) -> Effect:
        endpoint = self._chooser.choose(effect.avoid)
        if endpoint is None:
            return session.on_no_endpoint()
        return session.on_endpoint(
            endpoint.endpoint_id, endpoint.address, endpoint.incarnation
        )

    def _ask(self, session: AttemptSession, effect: Ask) -> Effect:
        within_s = TOMBSTONE_REPLY_S
        if isinstance(effect.message, Invoke):
            within_s = effect.message.within_s + RESULT_GRACE_S
        started_s = self._clock.monotonic()
        try:
            with self._chooser.counted(effect.endpoint_id):
                reply = self._link.request(
                    effect.address, effect.message, within_s
                )
        except OutboxFullError:
            return session.on_no_reply(sent=False)
        except ReplyTimeoutError:
            return session.on_no_reply(sent=True)
        if not isinstance(reply, InvokeResult | Refused | Tombstoned):
            return session.on_no_reply(sent=True)
        if isinstance(reply, InvokeResult):
            self._chooser.answered(effect.endpoint_id, started_s)
        answer = session.on_reply(reply)
        if isinstance(answer, KeepWaiting):
            return session.on_no_reply(sent=True)
        return answer

    def _after(self, finish: Finish) -> None:
        if finish.pending_answer is not None:
            spawn(self._write_later, finish.pending_answer)
        if finish.acknowledge is not None:
            self._acknowledge(finish.endpoint_id, finish.acknowledge)

    def _acknowledge(self, endpoint_id: str, token: Token) -> None:
        address = self._chooser.address_of(endpoint_id)
        if address is None:
            return
        try:
            self._link.send(address, TaskEndedAck(token))
        except OutboxFullError as error:
            # The agent gives the answer up when it needs the room.
            logger.warning("acknowledgement dropped: {}", error.message)

    def _write_later(self, effect: WriteRow) -> None:
        """Write an answer once the table service is back."""
        for _ in range(UNWRITTEN_TRIES):
            sleep(UNWRITTEN_RETRY_S)
            try:
                self._record_later(effect)
            except (
                RowConflictError,
                TableUnavailableError,
                WriteOutcomeUnknownError,
            ):
                continue
            return
        logger.error("an answer could not be recorded: {}", effect.key)

    def _record_later(self, effect: WriteRow) -> None:
        """Write the answer over what others wrote meanwhile."""
        row = self._table.get(effect.key)
        current = None if row is None else decode_attempt(row.value)
        stamp = Stamp(secrets.token_hex(ID_BYTES), effect.row.owner)
        kept = record_late_answer(current, effect.row, stamp)
        if kept is not None and row is not None:
            write = Write(effect.key, encode_attempt(kept), row.version)
            self._table.commit((write,))
        if effect.row.token is not None:
            self._acknowledge(effect.row.endpoint_id, effect.row.token)
