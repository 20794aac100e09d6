"""Site configuration used by entries to handle requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.api.calls import UnauthenticatedError
from filbertlb.errors import NotFoundError
from filbertlb.errors import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Mapping


class NoConfigurationError(UnavailableError):
    """No configuration is known yet."""

    code = "no_configuration"


class NoQueueError(NotFoundError):
    """No queue serves the host and path."""

    code = "no_queue"


@attrs.frozen
class Queue:
    """Queue that callers submit jobs to.

    Parameters
    ----------
    slack_factor, target_ms : float, int
        The deadline of a job is ``slack_factor`` times its longest chain
        of work plus ``target_ms`` after its start time.
    advised : bool
        Only workers selected by the queue's advisor may run its steps.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    slack_factor: float
    target_ms: int
    public: bool
    advised: bool


@attrs.frozen
class SiteConfiguration:
    """One version of the configuration.

    Parameters
    ----------
    organisation_by_key : mapping of str to str
        Organisation that owns each API key.
    guaranteed : dict of str to int
        Guaranteed number of accelerators by organisation.
    """

    version: int
    queues_by_host: Mapping[str, tuple[Queue, ...]]
    organisation_by_key: Mapping[str, str]
    guaranteed: dict[str, int]

    def queue_for(self, host: str, path: str) -> Queue:
        """Return the queue with the longest matching path prefix.

        Raises
        ------
        NoQueueError
            If no queue matches.
        """
        matching = [
            queue
            for queue in self.queues_by_host.get(host, ())
            if path.startswith(queue.prefix)
        ]
        if not matching:
            raise NoQueueError(
                f"no queue serves {path!r} on host {host!r} in "
                f"configuration {self.version}"
            )
        return max(matching, key=lambda queue: len(queue.prefix))

    def organisation_of(self, queue: Queue, api_key: str) -> str:
        """Return the organisation that owns a key; empty if anonymous.

        Raises
        ------
        UnauthenticatedError
            If the key is unknown and the queue is not public.
        """
        owner = self.organisation_by_key.get(api_key)
        if owner is not None:
            return owner
        if queue.public:
            return ""
        raise UnauthenticatedError(
            f"API key not found in configuration {self.version}"
        )


@attrs.define
class CurrentConfiguration:
    """The newest known configuration; the version never decreases."""

    _current: SiteConfiguration | None = None

    @property
    def version(self) -> int:
        """Version of the current configuration; -1 for none."""
        return -1 if self._current is None else self._current.version

    def update_if_newer(self, offered: SiteConfiguration, source: str) -> bool:
        """Replace the configuration if the offered one is newer.

        Returns whether it was replaced.
        """
        if offered.version <= self.version:
            return False
        logger.info(
            "configuration {} in force, was {}, from {}",
            *(offered.version, self.version, source),
        )
        self._current = offered
        return True

    def get(self) -> SiteConfiguration:
        """Return the current configuration.

        Raises
        ------
        NoConfigurationError
            If no configuration has been loaded yet.
        """
        if self._current is None:
            raise NoConfigurationError(
                "no configuration loaded yet; retry later",
                retry_after_s=1.0,
            )
        return self._current

    def guaranteed(self) -> dict[str, int]:
        """Return the guaranteed accelerators by organisation."""
        return {} if self._current is None else self._current.guaranteed
