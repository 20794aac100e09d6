"""Interface to the platform's object store."""

from __future__ import annotations

from typing import Protocol

import attrs

from filbertlb.errors import ConflictError
from filbertlb.errors import OutcomeUnknownError
from filbertlb.errors import UnavailableError


class ObjectConflictError(ConflictError):
    """A conditional write met another version; nothing was written."""

    code = "object_conflict"


class ObjectsUnavailableError(UnavailableError):
    """The object store refused the call; nothing was written."""

    code = "objects_unavailable"


class ObjectOutcomeUnknownError(OutcomeUnknownError):
    """The answer was lost; the object may have been written."""

    code = "object_outcome_unknown"


@attrs.frozen
class StoredObject:
    """One stored object.

    Parameters
    ----------
    name : str
        Path-like name.
    data : bytes
        Whole content.
    version : int
        Grows with every write; at least 1.
    """

    name: str
    data: bytes
    version: int


class ObjectStore(Protocol):
    """What the system asks of the platform's object store.

    Every method raises ``ObjectsUnavailableError`` if it had no effect.
    """

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None."""
        ...

    def put(
        self, name: str, data: bytes, expected_version: int | None = None
    ) -> int:
        """Write an object whole and return its new version.

        Parameters
        ----------
        expected_version : int, optional
            Version that must be current; ``ABSENT`` for no object and
            None for any.

        Raises
        ------
        ObjectConflictError
            If the expected version is not current.
        ObjectOutcomeUnknownError
            If the answer was lost.
        """
        ...

    def delete(self, name: str) -> None:
        """Delete an object; without effect if there is none.

        Raises
        ------
        ObjectOutcomeUnknownError
            If the answer was lost.
        """
        ...

    def names(self, prefix: str) -> tuple[str, ...]:
        """Return the names that start with a prefix, in order."""
        ...
