"""Compares what callers were told with what the backends did."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from filbertlb.agent.labels import decode_label
from filbertlb.agent.labels import LABEL_PREFIX
from filbertlb.demo.night import JobArrival
from filbertlb.demo.night import RequestArrival

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from filbertlb.backend.ledger import Ledger
    from filbertlb.demo.night import Told

SETTLED_STATES = ("succeeded", "failed", "cancelled", "answered", "not_run")


@attrs.frozen
class Accounts:
    """What a night's books say.

    Parameters
    ----------
    count_by_state : dict of str to int
        Number of callers by what they were told.
    lost : tuple of str
        Keys without a final answer.
    doubled : tuple of str
        Keys of non-idempotent work that ran more than once.
    half_run : tuple of str
        Attempts of which only a part of the members started.
    false_answers : tuple of str
        Keys whose caller was told what is not so.
    """

    count_by_state: dict[str, int]
    lost: tuple[str, ...]
    doubled: tuple[str, ...]
    half_run: tuple[str, ...]
    false_answers: tuple[str, ...]

    @property
    def clean(self) -> bool:
        """Tell whether nothing was lost, doubled, half-run or false."""
        return not (
            self.lost or self.doubled or self.half_run or self.false_answers
        )


def settle_accounts(told: Sequence[Told], ledger: Ledger) -> Accounts:
    """Return the accounts of a night."""
    return Accounts(
        count_by_state=dict(Counter(_state(one) for one in told)),
        lost=tuple(
            one.arrival.key for one in told if one.state not in SETTLED_STATES
        ),
        doubled=tuple(_doubled(told, ledger)),
        half_run=tuple(_half_run(told, ledger)),
        false_answers=tuple(
            one.arrival.key for one in told if _is_false(one, ledger)
        ),
    )


def _state(told: Told) -> str:
    kind = "job" if isinstance(told.arrival, JobArrival) else "request"
    return f"{kind} {told.state}"


def _members(arrival: JobArrival | RequestArrival) -> int:
    return arrival.members if isinstance(arrival, JobArrival) else 1


def _doubled(told: Iterable[Told], ledger: Ledger) -> Iterable[str]:
    for one in told:
        arrival = one.arrival
        starts = ledger.starts_by_key[arrival.key]
        if not arrival.idempotent and starts > _members(arrival):
            yield arrival.key
    yield from (
        label for label in ledger.doubled() if label.startswith(LABEL_PREFIX)
    )


def _half_run(told: Iterable[Told], ledger: Ledger) -> Iterable[str]:
    members_by_job = {
        one.job_id: _members(one.arrival) for one in told if one.job_id
    }
    started_by_attempt: Counter[tuple[str, str]] = Counter()
    for label in ledger.starts_by_task_id:
        if label.startswith(LABEL_PREFIX):
            status = decode_label(label)
            key = (status.job_id, status.token.attempt_id)
            started_by_attempt[key] += 1
    for (job_id, attempt_id), started in started_by_attempt.items():
        if started != members_by_job.get(job_id, started):
            yield attempt_id


def _is_false(told: Told, ledger: Ledger) -> bool:
    """Tell whether a caller was told what the ledger contradicts."""
    arrival = told.arrival
    started = ledger.starts_by_key[arrival.key]
    done = ledger.done_by_key[arrival.key]
    if told.ran == "no" and started:
        return True
    has_succeeded = told.state in ("succeeded", "answered")
    if has_succeeded and done < _members(arrival):
        return True
    is_request = isinstance(arrival, RequestArrival)
    if is_request and told.state == "answered":
        return told.answer_key != arrival.key
    return False
