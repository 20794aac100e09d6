"""State machine with which an entry handles one attempt, without I/O.

Each method takes the result of the effect that the session returned last
and returns the next effect. The caller performs the reads, writes, sends
and waits. The last effect is ``Finish``, which reports the outcome.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

import attrs

from filbertlb.core.attempt_effects import Ask
from filbertlb.core.attempt_effects import ChooseEndpoint
from filbertlb.core.attempt_effects import Effect
from filbertlb.core.attempt_effects import Finish
from filbertlb.core.attempt_effects import KeepWaiting
from filbertlb.core.attempt_effects import ReadRow
from filbertlb.core.attempt_effects import TellUnknown
from filbertlb.core.attempt_effects import WriteRow
from filbertlb.core.attempt_rows import attempt_row_key
from filbertlb.core.attempt_rows import AttemptRow
from filbertlb.core.attempt_rows import AttemptState
from filbertlb.core.attempt_rows import KeyedRequest
from filbertlb.core.attempt_rows import Stamp
from filbertlb.core.attempt_steps import DispatchAttempt
from filbertlb.core.attempt_steps import ExpireAttempt
from filbertlb.core.attempt_steps import JoinDispatch
from filbertlb.core.attempt_steps import next_step
from filbertlb.core.attempt_steps import OpenAttempt
from filbertlb.core.attempt_steps import ReopenAttempt
from filbertlb.core.attempt_steps import TellAnswer
from filbertlb.core.attempt_steps import TellNotRun
from filbertlb.core.attempts import answer
from filbertlb.core.attempts import block_key
from filbertlb.core.attempts import cancel
from filbertlb.core.attempts import dispatch
from filbertlb.core.attempts import join
from filbertlb.core.attempts import lose
from filbertlb.core.attempts import open_attempt
from filbertlb.core.attempts import prove_not_run
from filbertlb.core.attempts import refuse
from filbertlb.core.attempts import reopen
from filbertlb.core.attempts import resolve_write
from filbertlb.core.attempts import WriteOutcome
from filbertlb.errors import Ran
from filbertlb.messages import Invoke
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.messages import Token
from filbertlb.messages import Tombstone
from filbertlb.messages import Tombstoned
from filbertlb.table.base import ABSENT

MAX_DISPATCHES = 4


class Purpose(StrEnum):
    """Why a session runs."""

    RUN = "run"
    ASK = "ask"
    CANCEL = "cancel"


@attrs.define
class AttemptSession:
    """Handles one request, from reading its row to its outcome.

    Parameters
    ----------
    request : KeyedRequest
        What the caller asks for.
    invoke : Invoke
        Message for the agent; its token and ``within_s`` are replaced
        for each dispatch.
    owner : str
        Incarnation of the entry.
    new_id : callable
        Returns a unique string at every call.
    new_token : callable
        Returns a new token for an attempt and an agent's incarnation.
    purpose : Purpose
        ``ASK`` and ``CANCEL`` never start anything. ``CANCEL`` ends with
        the answer or with a key that can never run.
    max_dispatches : int
        Maximum number of dispatches of one generation; after that it
        is refused.
    """

    request: KeyedRequest
    invoke: Invoke
    owner: str
    new_id: Callable[[], str]
    new_token: Callable[[str, str], Token]
    purpose: Purpose = Purpose.RUN
    max_dispatches: int = MAX_DISPATCHES
    _row: AttemptRow | None = None
    _version: int = ABSENT
    _last_write: WriteRow | None = None
    _previous_write_id: str = ""
    _is_write_in_doubt: bool = False
    _tried_endpoints: frozenset[str] = frozenset()
    _unsent_token: Token | None = None
    _unanswered_token: Token | None = None
    _refusal: tuple[str, str] = ("no_endpoint", "no endpoint was available")

    @property
    def key(self) -> str:
        """Return the key of the attempt's row."""
        return attempt_row_key(
            self.request.organisation_id, self.request.caller_key
        )

    def begin(self) -> Effect:
        """Return the first effect."""
        return ReadRow(self.key)

    def on_row(
        self, row: AttemptRow | None, version: int, now_s: float
    ) -> Effect:
        """Handle the row that was read; ``now_s`` is wall time."""
        if self._is_write_in_doubt and self._last_write is not None:
            self._is_write_in_doubt = False
            match resolve_write(
                self._last_write.row.write_id, row, self._previous_write_id
            ):
                case WriteOutcome.WRITTEN:
                    return self.on_written(version, now_s)
                case WriteOutcome.NOT_WRITTEN:
                    return self._last_write
        self._row = row
        self._version = version
        return self._next_effect(now_s)

    def on_written(self, version: int, now_s: float) -> Effect:
        """Handle a successful write of the row."""
        assert self._last_write is not None
        row = self._last_write.row
        self._row = row
        self._version = version
        match row.state:
            case AttemptState.DISPATCHED | AttemptState.UNKNOWN:
                return self._on_dispatch_written(row, now_s)
            case AttemptState.SUCCEEDED:
                assert row.answer is not None
                return Finish(
                    TellAnswer(row.answer),
                    row.endpoint_id,
                    acknowledge=row.token,
                )
        return self._next_effect(now_s)

    def on_conflict(self) -> Effect:
        """Read the row again after another entry wrote it first."""
        return ReadRow(self.key)

    def on_write_unknown(self) -> Effect:
        """Read the row again after the acknowledgement of a write was lost."""
        self._is_write_in_doubt = True
        return ReadRow(self.key)

    def on_table_unavailable(self) -> Effect:
        """End the session with what is known without the table service."""
        write = self._last_write
        if write is not None and write.row.answer is not None:
            return Finish(
                TellAnswer(write.row.answer),
                write.row.endpoint_id,
                pending_answer=write,
            )
        if self._row is None:
            return self._finish_unknown(
                "not_accepted",
                "the table service is down, so the request was not "
                "accepted and starts nothing; send it again with its key",
                accepted=False,
            )
        return self._finish_unknown(
            "outcome_unknown",
            "the table service is down; ask for the key later",
        )

    def on_endpoint(
        self, endpoint_id: str, address: str, incarnation: str
    ) -> Effect:
        """Dispatch to the chosen endpoint."""
        opened = self._row_or_new()
        token = self.new_token(opened.attempt_id, incarnation)
        row = dispatch(opened, token, endpoint_id, address, self._new_stamp())
        self._unsent_token = token
        return self._write_row(row)

    def on_no_endpoint(self) -> Effect:
        """Refuse the attempt because no endpoint can take it."""
        return self._write_refusal(*self._refusal)

    def on_reply(self, reply: InvokeResult | Refused | Tombstoned) -> Effect:
        """Handle an agent's reply; replies to other tokens are ignored."""
        row = self._row
        assert row is not None
        if reply.token != row.token:
            return KeepWaiting()
        self._unsent_token = None
        if isinstance(reply, InvokeResult):
            return self._write_row(answer(row, reply, self._new_stamp()))
        match reply.ran:
            case Ran.NO:
                return self._record_not_run(reply)
            case Ran.YES:
                return self._on_already_ran(reply)
        return self._record_unknown(f"the agent cannot tell: {reply!r}")

    def on_no_reply(self, sent: bool) -> Effect:
        """Handle a missing reply, for example after a connection error.

        Parameters
        ----------
        sent : bool
            Whether any part of the message may have been sent.
        """
        row = self._row
        assert row is not None
        # Other entries write the row before they join. The write below
        # succeeds only if none has, which proves the token was not sent.
        if (
            sent
            or self._unsent_token is None
            or self._unsent_token != row.token
        ):
            return self._record_unknown("no reply came from the agent")
        return self._record_not_run(
            Refused(
                "unreachable",
                f"endpoint {row.endpoint_id!r} cannot be reached",
                Ran.NO,
                row.token,
            )
        )

    def _next_effect(self, now_s: float) -> Effect:
        step = next_step(self._row, self.request, now_s)
        if self.purpose is Purpose.CANCEL:
            row = self._cancellation()
            if row is not None:
                return self._write_row(row)
        match step:
            case TellAnswer() | TellNotRun():
                return Finish(step)
            case JoinDispatch(may_start=may_start):
                return self._write_join(may_start)
            case ExpireAttempt():
                return self._write_refusal(
                    "expired", "its time to start has passed"
                )
        if self.purpose is Purpose.ASK:
            return self._finish_unknown(
                "not_started", "nothing has started yet"
            )
        return self._start(step)

    def _cancellation(self) -> AttemptRow | None:
        if self._row is None:
            return block_key(self.request, self.new_id(), self._new_stamp())
        if self._row.state in (AttemptState.NEW, AttemptState.REFUSED):
            return cancel(self._row, self._new_stamp())
        return None

    def _start(
        self, step: OpenAttempt | ReopenAttempt | DispatchAttempt
    ) -> Effect:
        if isinstance(step, OpenAttempt):
            # The first row includes its dispatch, which saves a write.
            return ChooseEndpoint(self._tried_endpoints)
        assert self._row is not None
        if isinstance(step, ReopenAttempt):
            row = reopen(
                self._row, self.request, self.new_id(), self._new_stamp()
            )
            return self._write_row(row)
        if self._row.dispatches >= self.max_dispatches:
            return self._write_refusal(*self._refusal)
        return ChooseEndpoint(self._tried_endpoints)

    def _write_join(self, may_start: bool) -> Effect:
        assert self._row is not None
        if self.purpose is Purpose.ASK and may_start:
            return self._finish_unknown("in_progress", "it may still run")
        if self._unanswered_token == self._row.token:
            return self._finish_unknown(
                "outcome_unknown", "no reply came from the agent"
            )
        self._unsent_token = None
        return self._write_row(join(self._row, self._new_stamp()))

    def _on_dispatch_written(self, row: AttemptRow, now_s: float) -> Effect:
        assert row.token is not None
        if row.token == self._unanswered_token:
            return self._finish_unknown(row.code, row.message)
        self._tried_endpoints |= {row.endpoint_id}
        may_start = self.purpose is Purpose.RUN and now_s < row.start_by_s
        if not may_start:
            return self._ask(Tombstone(row.token))
        return self._ask_invoke(row.start_by_s - now_s)

    def _ask(self, message: Invoke | Tombstone) -> Ask:
        assert self._row is not None
        return Ask(self._row.endpoint_id, self._row.address, message)

    def _ask_invoke(self, within_s: float) -> Ask:
        assert self._row is not None and self._row.token is not None
        invoke = attrs.evolve(
            self.invoke, token=self._row.token, within_s=within_s
        )
        return self._ask(invoke)

    def _record_not_run(self, proof: Refused | Tombstoned) -> Effect:
        assert self._row is not None
        if isinstance(proof, Refused):
            self._refusal = (proof.code, proof.message)
        return self._write_row(
            prove_not_run(self._row, proof, self._new_stamp())
        )

    def _on_already_ran(self, reply: Refused | Tombstoned) -> Effect:
        if isinstance(reply, Tombstoned):
            # The token has started, so this only fetches its answer.
            return self._ask_invoke(0.0)
        if reply.code == "result_recorded":
            return ReadRow(self.key)
        return self._finish_unknown(reply.code, reply.message, ran=Ran.YES)

    def _record_unknown(self, why: str) -> Effect:
        assert self._row is not None
        self._unanswered_token = self._row.token
        if self._row.state is AttemptState.DISPATCHED:
            row = lose(self._row, self._new_stamp())
            row = attrs.evolve(row, code="outcome_unknown", message=why)
            return self._write_row(row)
        return self._finish_unknown("outcome_unknown", why)

    def _write_refusal(self, code: str, message: str) -> Effect:
        row = refuse(self._row_or_new(), code, message, self._new_stamp())
        return self._write_row(row)

    def _row_or_new(self) -> AttemptRow:
        if self._row is not None:
            return self._row
        return open_attempt(self.request, self.new_id(), self._new_stamp())

    def _write_row(self, row: AttemptRow) -> WriteRow:
        self._previous_write_id = (
            "" if self._row is None else self._row.write_id
        )
        self._last_write = WriteRow(self.key, row, self._version)
        return self._last_write

    def _new_stamp(self) -> Stamp:
        return Stamp(self.new_id(), self.owner)

    def _finish_unknown(
        self,
        code: str,
        message: str,
        *,
        accepted: bool = True,
        ran: Ran = Ran.UNKNOWN,
    ) -> Finish:
        return Finish(TellUnknown(code, message, accepted, ran))
