"""Whether the table service answers this process."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from filbertlb.core.response_timeout import ResponseTimeout
    from filbertlb.table.mirror import Follower

UNREACHABLE_AFTER_S = 1.0
"""Time without an answer after which a failed call means no contact.

A single reset connection must not cause this.
"""


class Contact(Protocol):
    """Contact of this process with the table service."""

    @property
    def reachable(self) -> bool:
        """Whether the table has answered lately and its copy is loaded."""
        ...

    @property
    def age_s(self) -> float:
        """Time in seconds since the last answered call was sent."""
        ...


@attrs.frozen
class FollowerContact:
    """Contact as the follower of a table has it."""

    follower: Follower

    @property
    def reachable(self) -> bool:
        """Whether the table has answered lately and its copy is loaded."""
        if not self.follower.mirror.loaded:
            return False
        return (
            self.follower.failure is None or self.age_s < UNREACHABLE_AFTER_S
        )

    @property
    def age_s(self) -> float:
        """Time in seconds since the last answered call was sent."""
        return self.follower.clock.monotonic() - self.follower.contact_s


@attrs.frozen
class PromptContact:
    """Contact that is also fast enough for calls on behalf of callers.

    A copy of a table can be kept up to date from a service that is so slow
    that every write for a caller would be given up with an unknown outcome.

    Parameters
    ----------
    contact : Contact
        Contact at any speed.
    response : ResponseTimeout
        Response time of the table service.
    limit_s : float
        Response time from which callers are not served.
    """

    contact: Contact
    response: ResponseTimeout
    limit_s: float

    @property
    def reachable(self) -> bool:
        """Whether the table answers in time for callers."""
        return (
            self.contact.reachable and self.response.response_s < self.limit_s
        )

    @property
    def age_s(self) -> float:
        """Time in seconds since the last answered call was sent."""
        return self.contact.age_s
