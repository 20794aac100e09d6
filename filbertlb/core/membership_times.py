"""Times of announcements and of failure detection."""

from __future__ import annotations

import attrs
from attrs.validators import ge
from attrs.validators import gt

from filbertlb.errors import InvalidInputError


class MembershipTimesError(InvalidInputError):
    """The times of membership do not go together."""

    code = "membership_times"


@attrs.frozen
class MembershipTimes:
    """When an endpoint announces itself and when it is given up.

    Parameters
    ----------
    period_s : float
        Shortest period of announcements, in seconds.
    max_period_s : float
        Longest period that a large scope may stretch it to, in seconds.
    jitter : float
        Share of the period by which each announcement is early.
    missed_suspect : float
        Periods of silence after which an endpoint is suspect.
    missed_dead : float
        Periods of silence after which an endpoint is dead.
    forget_s : float
        Silence after which a dead or left endpoint is forgotten, in
        seconds.
    drain_repeat_s : float
        Period at which a leaving endpoint repeats its announcement
        until every entry has acknowledged it, in seconds.
    """

    period_s: float = attrs.field(default=1.0, validator=gt(0))
    max_period_s: float = attrs.field(default=5.0, validator=gt(0))
    jitter: float = attrs.field(default=0.2, validator=ge(0))
    missed_suspect: float = attrs.field(default=2.5, validator=gt(1))
    missed_dead: float = attrs.field(default=6.0, validator=gt(1))
    forget_s: float = attrs.field(default=600.0, validator=gt(0))
    drain_repeat_s: float = attrs.field(default=0.3, validator=gt(0))

    def __attrs_post_init__(self) -> None:
        if self.max_period_s < self.period_s:
            raise MembershipTimesError(
                f"max_period_s {self.max_period_s!r} is less than period_s "
                f"{self.period_s!r}; raise it"
            )
        if self.missed_dead <= self.missed_suspect:
            raise MembershipTimesError(
                f"missed_dead {self.missed_dead!r} is not more than "
                f"missed_suspect {self.missed_suspect!r}; raise it"
            )
        if self.jitter >= 1:
            raise MembershipTimesError(
                f"jitter {self.jitter!r} is not less than 1; lower it"
            )
