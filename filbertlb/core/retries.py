"""Retry policy: eligibility, back-off and retry budgets."""

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
    remaining_s: float,
    max_retries: int = MAX_RETRIES,
) -> bool:
    """Return whether a request may be retried at all.

    Parameters
    ----------
    idempotent : bool
        Whether a second execution is harmless.
    ran : Ran
        Whether the last attempt is known to have run.
    retries : int
        Number of retries so far.
    remaining_s : float
        Time left until the latest start of the request, in seconds.
    """
    if remaining_s <= 0 or retries >= max_retries:
        return False
    return idempotent or ran is Ran.NO


def backoff_s(
    retries: int, rng: Random, retry_after_s: float | None = None
) -> float:
    """Return the wait before the next retry, in seconds.

    Exponential back-off with full jitter, so that requests that failed
    together aren't retried together.

    Parameters
    ----------
    retries : int
        Number of retries so far.
    retry_after_s : float, optional
        Delay requested by the refusal; the wait is never shorter.
    """
    max_wait_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**retries)
    return (retry_after_s or 0.0) + rng.uniform(0.0, max_wait_s)


@attrs.define
class RetryBudget:
    """Limits retries to a share of recent successes.

    Parameters
    ----------
    success_share : float
        Retries added to the budget by each success.
    floor_per_s : float
        Retries added per second, so that an entry with little traffic
        can retry as well.
    max_saved : float
        Largest number of retries in the budget.
    """

    success_share: float = SUCCESS_SHARE
    floor_per_s: float = FLOOR_PER_S
    max_saved: float = MAX_SAVED
    saved: float = attrs.field(default=MAX_SAVED / 2)
    _refilled_at_s: float = 0.0

    def succeeded(self) -> None:
        """Add the share of a success to the budget."""
        self._earn(self.success_share)

    def spend(self, now_s: float, *, urgent: bool = False) -> bool:
        """Take one retry from the budget; return False if there is none.

        A reserve of ``URGENT_RESERVE`` retries is kept for urgent
        requests.
        """
        self._earn(max(0.0, now_s - self._refilled_at_s) * self.floor_per_s)
        self._refilled_at_s = now_s
        reserve = 0.0 if urgent else URGENT_RESERVE
        if self.saved < 1 + reserve:
            return False
        self.saved -= 1
        return True

    def _earn(self, retries: float) -> None:
        self.saved = min(self.max_saved, self.saved + retries)


@attrs.define
class RetryBudgets:
    """Retry budget per organisation, so that none uses up another's."""

    _budget_by_id: dict[str, RetryBudget] = attrs.Factory(dict)

    def of(self, organisation_id: str) -> RetryBudget:
        """Return the retry budget of an organisation."""
        return self._budget_by_id.setdefault(organisation_id, RetryBudget())
