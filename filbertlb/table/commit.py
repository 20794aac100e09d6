"""Conditional transactions whose lost answers are settled by reading.

A writer puts a token of its own into the value of one row of the
transaction, the proof row. When the answer is lost, the proof row
tells whether the transaction was applied. The same transaction is sent
again only while the proof row is unchanged: the condition on that row
lets at most one of the two copies take effect.
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
"""Times that one transaction is sent before its outcome stays unknown."""

TOKEN_BYTES = 8


class UnprovableWriteError(InvalidInputError):
    """The transaction has no conditional write that can prove it."""

    code = "unprovable_write"


class Settlement(StrEnum):
    """What the proof row tells about a transaction."""

    WRITTEN = "written"
    UNCHANGED = "unchanged"
    SUPERSEDED = "superseded"


@attrs.frozen
class Proof:
    """The row that tells whether a transaction was applied.

    Parameters
    ----------
    key : str
        Key of a conditional write of the transaction whose value holds
        a token that no other write has.
    write_once : bool
        No writer ever changes the row again, so that another value in
        it proves that this transaction was refused.
    """

    key: str
    write_once: bool = False


def new_token() -> str:
    """Return a token for one write."""
    return token_hex(TOKEN_BYTES)


def commit_with_read_back(
    table: TableService,
    writes: Sequence[Write],
    proof: Proof,
    *,
    attempts: int = DEFAULT_ATTEMPTS,
) -> tuple[int, ...]:
    """Commit a transaction and settle a lost answer by reading.

    Parameters
    ----------
    table : TableService
        The platform's table service.
    writes : sequence of Write
        The transaction.
    proof : Proof
        The row by which a lost answer is settled.
    attempts : int
        Times that the transaction is sent at most.

    Returns
    -------
    tuple of int
        New versions by write; ``ABSENT`` for a deleted row and, after a
        lost answer, for a row that another writer has changed since.

    Raises
    ------
    UnprovableWriteError
        If the proof row is not a conditional write of a value.
    RowConflictError
        If the transaction was refused.
    TableUnavailableError
        If the service refused the call; nothing is written.
    WriteOutcomeUnknownError
        If the outcome could not be read; call ``read_back`` later.
    """
    _proof_write(writes, proof)
    try:
        return table.commit(writes)
    except WriteOutcomeUnknownError:
        pass
    for _ in range(attempts - 1):
        versions = _settled_versions(table, writes, proof)
        if versions is not None:
            return versions
        try:
            return table.commit(writes)
        except (RowConflictError, WriteOutcomeUnknownError):
            # The first copy may have arrived late: read again.
            continue
        except TableUnavailableError as error:
            raise _unknown(proof) from error
    versions = _settled_versions(table, writes, proof)
    if versions is None:
        raise _unknown(proof)
    return versions


def read_back(
    table: TableService, writes: Sequence[Write], proof: Proof
) -> Settlement:
    """Tell from the proof row what became of a transaction.

    ``UNCHANGED`` means that it has not been applied so far; a copy that
    is still on its way may be.

    Raises
    ------
    TableUnavailableError
        If the service does not answer.
    """
    write = _proof_write(writes, proof)
    row = table.get(proof.key)
    if row is not None and row.value == write.value:
        return Settlement.WRITTEN
    version = ABSENT if row is None else row.version
    if version == write.expected_version:
        return Settlement.UNCHANGED
    return Settlement.SUPERSEDED


def _proof_write(writes: Sequence[Write], proof: Proof) -> Write:
    for write in writes:
        if write.key != proof.key:
            continue
        if write.value is None or write.expected_version is None:
            break
        return write
    raise UnprovableWriteError(
        f"row {proof.key!r} is no conditional write of a value in this "
        "transaction; give it a value with a token and an expected version"
    )


def _settled_versions(
    table: TableService, writes: Sequence[Write], proof: Proof
) -> tuple[int, ...] | None:
    """Return versions if written, or None if the proof is unchanged."""
    try:
        settlement = read_back(table, writes, proof)
        if settlement is Settlement.WRITTEN:
            return tuple(_present_version(table, write) for write in writes)
    except TableUnavailableError as error:
        raise _unknown(proof) from error
    if settlement is Settlement.UNCHANGED:
        return None
    if proof.write_once:
        raise RowConflictError(
            f"row {proof.key!r} was written by another; read it again"
        )
    raise _unknown(proof)


def _present_version(table: TableService, write: Write) -> int:
    row = table.get(write.key)
    if row is None or row.value != write.value:
        return ABSENT
    return row.version


def _unknown(proof: Proof) -> WriteOutcomeUnknownError:
    return WriteOutcomeUnknownError(
        f"whether row {proof.key!r} was written is not known yet; read it "
        "back later"
    )
