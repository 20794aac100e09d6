"""The design size after the planned changes, worked out from slopes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.capacity_roles import CPU_LIMIT_PERCENT
from benchmarks.capacity_roles import DESIGN
from benchmarks.capacity_roles import LINK_LIMIT_BYTES_PER_S
from benchmarks.capacity_roles import MEAN_WAIT_PERIODS
from benchmarks.capacity_roles import Row
from benchmarks.capacity_roles import Term
from filbertlb.core.membership import BEATS_PER_ANSWER

if TYPE_CHECKING:
    from benchmarks.capacity_slopes import Line

GROUP_AGENTS = 16
LISTENERS = 3
POLLS_LEFT = 0.1
"""Share of status polls left when a worker is asked once a second."""
HELLOS_LEFT = 1 / 3
"""Share of greetings left when entries greet every 3 s."""
CHANGES_PER_MEMBER = 2
"""Full announcements of a member's start and of its end."""


def exchange_bytes(sizes: dict[str, int], form: str = "") -> float:
    """Return the bytes of a beat and its share of an answer."""
    answer_bytes = sizes[f"ack{form}"]
    return sizes[f"beat{form}"] + answer_bytes / BEATS_PER_ANSWER


def full_bytes(sizes: dict[str, int]) -> float:
    """Return the bytes of a full announcement and its answer."""
    return sizes["announce_with_tasks"] + sizes["ack"]


def groups() -> int:
    """Return the groups of agents in one scope."""
    return -(-DESIGN.workers // DESIGN.scopes // GROUP_AGENTS)


def full_per_s() -> float:
    """Return the full announcements a second in one scope."""
    members_per_s = DESIGN.jobs_per_s * DESIGN.gang_members
    return members_per_s * CHANGES_PER_MEMBER / DESIGN.scopes


def planned_rows(lines: dict[str, Line], sizes: dict[str, int]) -> list[Row]:
    """Return what the planned changes leave.

    Parameters
    ----------
    lines : dict of str to Line
        Slopes by name.
    sizes : dict of str to int
        Bytes of messages by kind.
    """
    return [
        *_decider_rows(lines, sizes),
        *_worker_rows(lines, sizes),
    ]


def _decider_rows(lines: dict[str, Line], sizes: dict[str, int]) -> list[Row]:
    hello = sum(
        lines[f"entries.follower.{field}"].slope
        for field in ("bytes_in", "bytes_out")
    )
    gang = sum(
        lines[f"gang.decider.{field}"].at(DESIGN.gang_members)
        for field in ("bytes_in", "bytes_out")
    )
    jobs_per_s = DESIGN.jobs_per_s / DESIGN.scopes
    others = (
        Term(full_per_s(), full_bytes(sizes)),
        Term((DESIGN.entries - 1) * HELLOS_LEFT, hello),
        Term(jobs_per_s, gang),
    )
    digests_per_s = groups() / MEAN_WAIT_PERIODS
    processor = (
        Term(1, 100 * lines["decider.cpu"].base),
        Term(
            digests_per_s + full_per_s(),
            100 * lines["beat.decider.cpu"].slope,
        ),
        Term(
            jobs_per_s, 100 * lines["gang.decider.cpu"].at(DESIGN.gang_members)
        ),
    )
    return [
        Row(
            "decider of one scope: links together, B/s",
            (),
            (Term(digests_per_s, exchange_bytes(sizes)), *others),
            LINK_LIMIT_BYTES_PER_S,
            "digests of 16 agents each second, full announcements on a "
            "change, greetings each 3 s: planned",
        ),
        Row(
            "the same, beats and answers without field names, B/s",
            (),
            (Term(digests_per_s, exchange_bytes(sizes, "_as_array")), *others),
            LINK_LIMIT_BYTES_PER_S,
            "as above; frames as arrays: planned",
        ),
        Row(
            "decider of one scope: processor, %",
            (),
            processor,
            CPU_LIMIT_PERCENT,
            "as above, a digest taken as dear as a beat",
        ),
    ]


def _worker_rows(lines: dict[str, Line], sizes: dict[str, int]) -> list[Row]:
    full = full_per_s() * DESIGN.scopes / DESIGN.workers
    links = (
        Term(LISTENERS / MEAN_WAIT_PERIODS, exchange_bytes(sizes)),
        Term(LISTENERS * full, full_bytes(sizes)),
    )
    processor = (
        Term(1, 100 * lines["worker.cpu"].slope),
        Term(
            LISTENERS / MEAN_WAIT_PERIODS,
            100 * lines["beat.worker.cpu"].slope,
        ),
        Term(
            DESIGN.tasks_per_worker * POLLS_LEFT,
            100 * lines["running.lone.cpu"].slope,
        ),
    )
    return [
        Row(
            "agent beside a worker: links together, B/s",
            (),
            links,
            LINK_LIMIT_BYTES_PER_S,
            "beats to three entries each second: planned",
        ),
        Row(
            "agent beside a worker: processor, %",
            (),
            processor,
            CPU_LIMIT_PERCENT,
            "as above; one poll of all tasks a second: planned",
        ),
    ]
