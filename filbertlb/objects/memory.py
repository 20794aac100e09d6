"""Object store held in memory, with switches for its failures."""

from __future__ import annotations

import attrs
from gevent import sleep

from filbertlb.objects.base import ObjectConflictError
from filbertlb.objects.base import ObjectOutcomeUnknownError
from filbertlb.objects.base import ObjectsUnavailableError
from filbertlb.objects.base import StoredObject
from filbertlb.table.base import ABSENT
from filbertlb.table.memory import Faults


@attrs.define
class MemoryObjects:
    """Objects in one process.

    Parameters
    ----------
    faults : Faults
        Failures shown to callers.
    """

    faults: Faults = attrs.Factory(Faults)
    _object_by_name: dict[str, StoredObject] = attrs.Factory(dict)
    _last_version: int = ABSENT

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None."""
        self._enter()
        return self._object_by_name.get(name)

    def put(
        self, name: str, data: bytes, expected_version: int | None = None
    ) -> int:
        """Write an object whole and return its new version."""
        self._enter()
        self._check(name, expected_version)
        # One counter for all names: a deleted and recreated object never
        # shows a version that it had before.
        self._last_version += 1
        version = self._last_version
        self._object_by_name[name] = StoredObject(name, data, version)
        self._leave()
        return version

    def delete(self, name: str) -> None:
        """Delete an object; without effect if there is none."""
        self._enter()
        self._object_by_name.pop(name, None)
        self._leave()

    def names(self, prefix: str) -> tuple[str, ...]:
        """Return the names that start with a prefix, in order."""
        self._enter()
        return tuple(
            name
            for name in sorted(self._object_by_name)
            if name.startswith(prefix)
        )

    def _check(self, name: str, expected_version: int | None) -> None:
        stored = self._object_by_name.get(name)
        current = ABSENT if stored is None else stored.version
        if expected_version not in (None, current):
            raise ObjectConflictError(
                f"object {name!r} is at version {current}, not "
                f"{expected_version}; read it again"
            )

    def _enter(self) -> None:
        if self.faults.delay_s:
            sleep(self.faults.delay_s)
        if self.faults.down:
            raise ObjectsUnavailableError("the object store is down")

    def _leave(self) -> None:
        if self.faults.lose_acks > 0:
            self.faults.lose_acks -= 1
            raise ObjectOutcomeUnknownError("the answer was lost")
