"""Commit of conditional transactions with read-back after a lost answer.

The writer puts a unique token into the value of one row of the
transaction, the proof row. If the answer to the commit is lost, reading
the proof row shows whether the transaction was applied. The transaction
is sent again only while the proof row is unchanged; the expected version
of that row then allows at most one of the copies to take effect.
"""

from __future__ import annotations

from enum import StrEnum
from secrets import token_hex
from typing import TYPE_CHECKING

import attrs

from filbertlb.errors import InvalidInputError
from filbertlb.table.base import ABSENT
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import WriteOutcomeUnknownError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from filbertlb.table.base import TableService
    from filbertlb.table.base import Write

DEFAULT_ATTEMPTS = 3
"""How often a transaction is sent before its outcome counts as unknown."""

TOKEN_BYTES = 8


class UnprovableWriteError(InvalidInputError):
    """The transaction has no conditional write of its proof row."""

    code = "unprovable_write"


class TransactionOutcome(StrEnum):
    """Outcome of a transaction as read from its proof row."""

    WRITTEN = "written"
    UNCHANGED = "unchanged"
    SUPERSEDED = "superseded"


@attrs.frozen
class Proof:
    """The row that shows whether a transaction was applied.

    Parameters
    ----------
    key : str
        Key of a conditional write of the transaction whose value
        contains a token that is unique to this write.
    write_once : bool
        The row is never changed after its first write, so a different
        value in it means that this transaction was rejected.
    """

    key: str
    write_once: bool = False


def new_token() -> str:
    """Return a unique token for one write."""
    return token_hex(TOKEN_BYTES)


def commit_with_read_back(
    table: TableService,
    writes: Sequence[Write],
    proof: Proof,
    *,
    attempts: int = DEFAULT_ATTEMPTS,
) -> tuple[int, ...]:
    """Commit a transaction and read its proof row if the answer is lost.

    Parameters
    ----------
    table : TableService
        The platform's table service.
    writes : sequence of Write
        The transaction.
    proof : Proof
        The row that is read if the answer is lost.
    attempts : int
        Maximum number of times that the transaction is sent.

    Returns
    -------
    tuple of int
        New version for each write; ``ABSENT`` for a deleted row and,
        after a lost answer, for a row that has been changed since.

    Raises
    ------
    UnprovableWriteError
        If the proof row is not a conditional write of a value.
    RowConflictError
        If the transaction was rejected.
    TableUnavailableError
        If the service refused the call; nothing is written.
    WriteOutcomeUnknownError
        If the outcome could not be determined; call ``read_outcome``
        later.
    """
    _proof_write(writes, proof)
    try:
        return table.commit(writes)
    except WriteOutcomeUnknownError:
        pass
    for _ in range(attempts - 1):
        versions = _versions_if_written(table, writes, proof)
        if versions is not None:
            return versions
        try:
            return table.commit(writes)
        except (RowConflictError, WriteOutcomeUnknownError):
            # An earlier copy may have been applied late: read again.
            continue
        except TableUnavailableError as error:
            raise _outcome_unknown(proof) from error
    versions = _versions_if_written(table, writes, proof)
    if versions is None:
        raise _outcome_unknown(proof)
    return versions


def read_outcome(
    table: TableService, writes: Sequence[Write], proof: Proof
) -> TransactionOutcome:
    """Determine the outcome of a transaction from its proof row.

    ``UNCHANGED`` means that the transaction has not been applied so far;
    a copy that is still in transit may be applied later.

    Raises
    ------
    TableUnavailableError
        If the service does not answer.
    """
    write = _proof_write(writes, proof)
    row = table.get(proof.key)
    if row is not None and row.value == write.value:
        return TransactionOutcome.WRITTEN
    version = ABSENT if row is None else row.version
    if version == write.expected_version:
        return TransactionOutcome.UNCHANGED
    return TransactionOutcome.SUPERSEDED


def _proof_write(writes: Sequence[Write], proof: Proof) -> Write:
    for write in writes:
        if write.key != proof.key:
            continue
        if write.value is None or write.expected_version is None:
            break
        return write
    raise UnprovableWriteError(
        f"proof row {proof.key!r} is not a conditional write of a value in "
        "this transaction; write a value with a unique token and set an "
        "expected version"
    )


def _versions_if_written(
    table: TableService, writes: Sequence[Write], proof: Proof
) -> tuple[int, ...] | None:
    """Return the versions if written, None if the proof row is unchanged."""
    try:
        outcome = read_outcome(table, writes, proof)
        if outcome is TransactionOutcome.WRITTEN:
            return tuple(_current_version(table, write) for write in writes)
    except TableUnavailableError as error:
        raise _outcome_unknown(proof) from error
    if outcome is TransactionOutcome.UNCHANGED:
        return None
    if proof.write_once:
        raise RowConflictError(
            f"row {proof.key!r} was written by another writer; read it again"
        )
    raise _outcome_unknown(proof)


def _current_version(table: TableService, write: Write) -> int:
    row = table.get(write.key)
    if row is None or row.value != write.value:
        return ABSENT
    return row.version


def _outcome_unknown(proof: Proof) -> WriteOutcomeUnknownError:
    return WriteOutcomeUnknownError(
        f"it is unknown whether row {proof.key!r} was written; read it again "
        "later"
    )
