"""What a session on an attempt asks the task around it to do."""

from __future__ import annotations

import attrs

from filbertlb.core.attempt_rows import AttemptRow
from filbertlb.core.attempt_steps import TellAnswer
from filbertlb.core.attempt_steps import TellNotRun
from filbertlb.errors import Ran
from filbertlb.messages import Invoke
from filbertlb.messages import Token
from filbertlb.messages import Tombstone


@attrs.frozen
class ReadRow:
    """Read the attempt's row; then call ``on_row``."""

    key: str


@attrs.frozen
class WriteRow:
    """Write the row; then call ``on_written`` or one of its kin."""

    key: str
    row: AttemptRow
    expected_version: int


@attrs.frozen
class ChooseEndpoint:
    """Choose an endpoint; then call ``on_endpoint``."""

    avoid: frozenset[str]


@attrs.frozen
class Ask:
    """Send an agent a message; then call ``on_reply`` or ``on_no_reply``."""

    endpoint_id: str
    address: str
    message: Invoke | Tombstone


@attrs.frozen
class KeepWaiting:
    """The reply was not about this dispatch; wait on for the right one."""


@attrs.frozen
class TellUnknown:
    """The work may or may not have run; the key can be asked for.

    Parameters
    ----------
    accepted : bool
        False if this request was not accepted durably and starts
        nothing itself; an earlier one with its key may have run.
    ran : Ran
        ``YES`` if it ran and only the answer is missing.
    """

    code: str
    message: str
    accepted: bool = True
    ran: Ran = Ran.UNKNOWN


@attrs.frozen
class Finish:
    """Tell the caller; the session has ended.

    Parameters
    ----------
    telling : TellAnswer, TellNotRun or TellUnknown
        What the caller is told.
    acknowledge : Token, optional
        Token whose answer is recorded, so that its agent may forget it.
    pending_answer : WriteRow, optional
        Answer that could not be recorded yet; keep it and write it
        when the table service is back. Its agent keeps it as well.
    """

    telling: TellAnswer | TellNotRun | TellUnknown
    endpoint_id: str = ""
    acknowledge: Token | None = None
    pending_answer: WriteRow | None = None


Effect = ReadRow | WriteRow | ChooseEndpoint | Ask | KeepWaiting | Finish
