"""Timing of announcements and failure detection."""

from __future__ import annotations

import attrs
from attrs.validators import ge
from attrs.validators import gt

from filbertlb.errors import InvalidInputError


class MembershipTimesError(InvalidInputError):
    """The membership times contradict each other."""

    code = "membership_times"


@attrs.frozen
class MembershipTimes:
    """Timing of announcements and failure detection.

    Parameters
    ----------
    period_s : float
        Shortest period of announcements, in seconds.
    max_period_s : float
        Longest period, used in large scopes, in seconds.
    jitter : float
        Largest share of the period by which an announcement may be sent
        early.
    missed_suspect : float
        Number of periods of silence after which an endpoint is suspect.
    missed_dead : float
        Number of periods of silence after which an endpoint is
        considered dead.
    forget_s : float
        Silence after which an endpoint that is dead or has left is
        removed, in seconds.
    drain_repeat_s : float
        Interval at which a draining endpoint repeats its announcement
        to each entry until that entry acknowledges it, in seconds.
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
                f"max_period_s {self.max_period_s!r} must be at least "
                f"period_s {self.period_s!r}"
            )
        if self.missed_dead <= self.missed_suspect:
            raise MembershipTimesError(
                f"missed_dead {self.missed_dead!r} must be greater than "
                f"missed_suspect {self.missed_suspect!r}"
            )
        if self.jitter >= 1:
            raise MembershipTimesError(
                f"jitter {self.jitter!r} must be less than 1"
            )
