"""Retries: who may retry, how often and after how long."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.errors import Ran

if TYPE_CHECKING:
    from random import Random

SUCCESS_SHARE = 0.1
FLOOR_PER_S = 1.0
MAX_SAVED = 20.0
URGENT_RESERVE = 5.0
MAX_RETRIES = 3
BACKOFF_BASE_S = 0.02
BACKOFF_CAP_S = 2.0


def may_retry(
    idempotent: bool,
    ran: Ran,
    retries: int,
    left_s: float,
    max_retries: int = MAX_RETRIES,
) -> bool:
    """Tell whether a request may be sent again at all.

    Parameters
    ----------
    idempotent : bool
        Whether a second execution does no harm.
    ran : Ran
        What is known about the last try.
    retries : int
        Retries made so far.
    left_s : float
        Time until the request must have started, in seconds.
    """
    if left_s <= 0 or retries >= max_retries:
        return False
    return idempotent or ran is Ran.NO


def backoff_s(
    retries: int, rng: Random, retry_after_s: float | None = None
) -> float:
    """Return the wait before the next retry, in seconds.

    The wait is drawn evenly below a bound that doubles, so that
    requests that failed together do not come back together.

    Parameters
    ----------
    retries : int
        Retries made so far.
    retry_after_s : float, optional
        What the refusal asked for; the wait is never shorter.
    """
    bound_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**retries)
    return (retry_after_s or 0.0) + rng.uniform(0.0, bound_s)


@attrs.define
class RetryBudget:
    """Retries as a share of recent successes.

    Parameters
    ----------
    success_share : float
        Retries that each success earns.
    floor_per_s : float
        Retries earned by each second, so that a quiet entry retries.
    max_saved : float
        Most retries that can be saved up.
    """

    success_share: float = SUCCESS_SHARE
    floor_per_s: float = FLOOR_PER_S
    max_saved: float = MAX_SAVED
    saved: float = attrs.field(default=MAX_SAVED / 2)
    _at_s: float = 0.0

    def succeeded(self) -> None:
        """Earn a share of a retry."""
        self._earn(self.success_share)

    def spend(self, now_s: float, *, urgent: bool = False) -> bool:
        """Pay for one retry; return False if it is not affordable.

        Requests that are not urgent leave a reserve for those that are.
        """
        self._earn(max(0.0, now_s - self._at_s) * self.floor_per_s)
        self._at_s = now_s
        reserve = 0.0 if urgent else URGENT_RESERVE
        if self.saved < 1 + reserve:
            return False
        self.saved -= 1
        return True

    def _earn(self, retries: float) -> None:
        self.saved = min(self.max_saved, self.saved + retries)


@attrs.define
class RetryBudgets:
    """One budget for each organisation, so that none spends another's."""

    _budget_by_id: dict[str, RetryBudget] = attrs.Factory(dict)

    def of(self, organisation_id: str) -> RetryBudget:
        """Return the budget of an organisation."""
        return self._budget_by_id.setdefault(organisation_id, RetryBudget())
