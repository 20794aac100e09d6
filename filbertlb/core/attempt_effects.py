"""Effects that an attempt session returns for its caller to execute."""

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
    """Read the row; then call ``on_row`` or ``on_table_unavailable``."""

    key: str


@attrs.frozen
class WriteRow:
    """Write the row if its version is the expected one.

    Then call ``on_written``, ``on_conflict``, ``on_write_unknown`` or
    ``on_table_unavailable``, depending on the result.
    """

    key: str
    row: AttemptRow
    expected_version: int


@attrs.frozen
class ChooseEndpoint:
    """Choose an endpoint; then call ``on_endpoint`` or ``on_no_endpoint``."""

    avoid: frozenset[str]


@attrs.frozen
class Ask:
    """Send an agent a message; then call ``on_reply`` or ``on_no_reply``."""

    endpoint_id: str
    address: str
    message: Invoke | Tombstone


@attrs.frozen
class KeepWaiting:
    """Keep waiting: the reply belongs to another dispatch."""


@attrs.frozen
class TellUnknown:
    """It is not known whether the work ran, or its answer is missing.

    The caller can ask for the outcome later with the same key.

    Parameters
    ----------
    accepted : bool
        False if this request was not stored durably and starts nothing
        itself; an earlier request with the same key may have run.
    ran : Ran
        ``YES`` if the work ran and only the answer is missing.
    """

    code: str
    message: str
    accepted: bool = True
    ran: Ran = Ran.UNKNOWN


@attrs.frozen
class Finish:
    """End the session and report the outcome to the caller.

    Parameters
    ----------
    telling : TellAnswer, TellNotRun or TellUnknown
        The outcome to report.
    acknowledge : Token, optional
        Token whose answer is recorded, so that its agent may discard
        its own copy.
    pending_answer : WriteRow, optional
        Answer that could not be recorded because the table service was
        unavailable; keep it and retry the write. The agent keeps it as
        well.
    """

    telling: TellAnswer | TellNotRun | TellUnknown
    endpoint_id: str = ""
    acknowledge: Token | None = None
    pending_answer: WriteRow | None = None


Effect = ReadRow | WriteRow | ChooseEndpoint | Ask | KeepWaiting | Finish
