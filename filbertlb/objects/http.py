"""Object store over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.httpcall import HttpCaller
from filbertlb.objects.base import ObjectConflictError
from filbertlb.objects.base import ObjectOutcomeUnknownError
from filbertlb.objects.base import ObjectsUnavailableError
from filbertlb.objects.wire import DeleteReply
from filbertlb.objects.wire import GetReply
from filbertlb.objects.wire import ListCall
from filbertlb.objects.wire import ListReply
from filbertlb.objects.wire import NameCall
from filbertlb.objects.wire import PutCall
from filbertlb.objects.wire import PutReply
from filbertlb.typedcall import TypedCaller

if TYPE_CHECKING:
    from filbertlb.objects.base import StoredObject

OBJECTS_TIMEOUT_S = 5.0


class HttpObjects:
    """Adapter to an object store that speaks HTTP.

    Parameters
    ----------
    base_url : str
        Such as ``http://10.0.0.1:8080``.
    timeout_s : float
        Longest wait for one answer in seconds.
    """

    def __init__(
        self, base_url: str, timeout_s: float = OBJECTS_TIMEOUT_S
    ) -> None:
        self._caller = HttpCaller(base_url)
        self._typed = TypedCaller(
            self._caller,
            timeout_s,
            refused=ObjectsUnavailableError,
            unknown=ObjectOutcomeUnknownError,
            errors=(ObjectConflictError,),
        )

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None."""
        call = NameCall(name)
        return self._typed.read("/objects/get", call, GetReply).stored

    def put(
        self, name: str, data: bytes, expected_version: int | None = None
    ) -> int:
        """Write an object whole and return its new version."""
        call = PutCall(name, data, expected_version)
        return self._typed.call("/objects/put", call, PutReply).version

    def delete(self, name: str) -> None:
        """Delete an object; without effect if there is none."""
        self._typed.call("/objects/delete", NameCall(name), DeleteReply)

    def names(self, prefix: str) -> tuple[str, ...]:
        """Return the names that start with a prefix, in order."""
        call = ListCall(prefix)
        return self._typed.read("/objects/names", call, ListReply).names

    def close(self) -> None:
        """Close the kept connections."""
        self._caller.close()
