"""Use of each role at two sizes, worked out from the slopes."""

from __future__ import annotations

import attrs

from benchmarks.capacity_slopes import Line
from filbertlb.core.announcing import announce_period_s
from filbertlb.core.membership import BEATS_PER_ANSWER
from filbertlb.core.membership_times import MembershipTimes
from filbertlb.entry.directory import CONTROL_BYTES_PER_S
from filbertlb.entry.directory import EXCHANGE_BYTES

DAY_S = 86_400.0
MIB = 1024 * 1024
TIMES = MembershipTimes()
MEAN_WAIT_PERIODS = 1.0 - TIMES.jitter / 2

CPU_LIMIT_PERCENT = 4.2
MEMORY_LIMIT_MIB = 128.0
LINK_LIMIT_BYTES_PER_S = 9_000.0
TABLE_READS_LIMIT_PER_S = 2_000.0
TABLE_WRITES_LIMIT_PER_S = 300.0
URGENT_LIMIT_S = 1.4
IN_FORCE_LIMIT_S = 10.0


@attrs.frozen
class Size:
    """The size of a site.

    Parameters
    ----------
    entries, scopes, workers, runners : int
        Processes and scopes.
    tasks : int
        Members that run at once.
    jobs_per_day, gang_members : int
        Jobs, and members of the largest.
    changes_per_day : int
        Changes of configuration.
    """

    entries: int
    scopes: int
    workers: int
    runners: int
    tasks: int
    jobs_per_day: int
    gang_members: int
    changes_per_day: int

    @property
    def agents(self) -> int:
        """Return the number of all agents."""
        return self.workers + self.runners

    @property
    def period_s(self) -> float:
        """Return the period that an entry tells its agents, in seconds."""
        return announce_period_s(
            self.agents, EXCHANGE_BYTES, CONTROL_BYTES_PER_S, TIMES
        )

    @property
    def beats_per_s(self) -> float:
        """Return the beats a second of an agent to one entry."""
        return 1 / (self.period_s * MEAN_WAIT_PERIODS)

    @property
    def tasks_per_worker(self) -> float:
        """Return the members that run on a worker."""
        return self.tasks / self.workers

    @property
    def jobs_per_s(self) -> float:
        """Return the jobs a second, evenly over the day."""
        return self.jobs_per_day / DAY_S


# Every accelerator of ten workers runs a member of its own.
TODAY = Size(3, 1, 10, 10, 80, 0, 8, 0)
DESIGN = Size(7, 2, 750, 0, 2_300, 830, 64, 780)


@attrs.frozen
class Term:
    """One summand: a count times what one of it adds."""

    count: float
    each: float

    @property
    def value(self) -> float:
        """Return the product."""
        return self.count * self.each

    def text(self) -> str:
        """Return the arithmetic."""
        if self.count == 1:
            return number(self.each)
        return f"{number(self.count)} x {number(self.each)}"


@attrs.frozen
class Row:
    """A quantity of a role at both sizes.

    Parameters
    ----------
    today, design : tuple of Term
        Summands; none for a size that is not worked out.
    limit : float, optional
        Bound; None where none is given.
    mechanism : str
        What carries it.
    """

    what: str
    today: tuple[Term, ...]
    design: tuple[Term, ...]
    limit: float | None
    mechanism: str

    def cells(self) -> tuple[str, ...]:
        """Return the cells of the page's table."""
        today = total(self.today) if self.today else None
        design = total(self.design)
        return (
            self.what,
            "" if today is None else number(today),
            "" if today is None else margin(today, self.limit),
            number(design),
            " + ".join(term.text() for term in self.design),
            "" if self.limit is None else number(self.limit),
            margin(design, self.limit),
            self.mechanism,
        )


def total(terms: tuple[Term, ...]) -> float:
    """Return the sum of terms."""
    return sum(term.value for term in terms)


def number(value: float) -> str:
    """Return a number with three digits that count, or whole."""
    if abs(value) >= 100 or value == int(value):
        return f"{value:,.0f}"
    if abs(value) >= 1:
        return f"{value:.3g}"
    return f"{value:.2g}"


def margin(value: float, limit: float | None) -> str:
    """Return how far a value is from its limit."""
    if limit is None:
        return ""
    if value <= limit:
        return f"{100 * (1 - value / limit):.0f}% left"
    return f"**{value / limit:.3g} times the limit**"


def both(make) -> dict[str, tuple[Term, ...]]:
    """Return the terms of both sizes."""
    return {"today": make(TODAY), "design": make(DESIGN)}


def entry_rows(lines: dict[str, Line], role: str) -> list[Row]:
    """Return the rows of an entry, or of an entry as decider."""
    line = lines.__getitem__

    each = {
        "bytes_in": line("frame.Beat.frame_bytes").base,
        "bytes_out": line("frame.AnnounceAck.frame_bytes").base
        / BEATS_PER_ANSWER,
    }

    def links(field: str):
        def make(size: Size) -> tuple[Term, ...]:
            gang = line(f"gang.{role}.{field}").at(size.gang_members)
            return (
                Term(
                    size.agents * size.beats_per_s,
                    each[field],
                ),
                Term(
                    size.entries - 1, line(f"entries.follower.{field}").slope
                ),
                Term(size.jobs_per_s, gang),
            )

        return make

    def processor(size: Size) -> tuple[Term, ...]:
        gang = line(f"gang.{role}.cpu").at(size.gang_members)
        return (
            Term(1, 100 * line(f"{role}.cpu").base),
            Term(size.agents, 100 * line(f"{role}.cpu").slope),
            Term(
                size.agents * size.beats_per_s,
                100 * line(f"beat.{role}.cpu").slope,
            ),
            Term(size.tasks, 100 * line(f"running.{role}.cpu").slope),
            Term(size.jobs_per_s, 100 * gang),
        )

    def memory(size: Size) -> tuple[Term, ...]:
        idle = line(f"{role}.rss_bytes")
        task = line(f"running.{role}.rss_bytes")
        return (
            Term(1, idle.base / MIB),
            Term(size.agents, idle.slope / MIB),
            Term(size.tasks, task.slope / MIB),
        )

    def reads(size: Size) -> tuple[Term, ...]:
        gang = line(f"gang.{role}.table_reads").at(size.gang_members)
        terms = (
            Term(1, line(f"{role}.table_reads").base),
            Term(size.jobs_per_s, gang),
        )
        if role == "decider":
            jobs = size.jobs_per_day or size.tasks
            each = line("open.decider.table_reads").slope
            terms += (Term(jobs, each),)
        return terms

    def writes(size: Size) -> tuple[Term, ...]:
        gang = line(f"gang.{role}.rows_written").at(size.gang_members)
        return (
            Term(1, line(f"{role}.rows_written").base),
            Term(size.jobs_per_s, gang),
        )

    heard = "beats of every agent, greetings of entries: built"
    return [
        Row("links in, B/s", **both(links("bytes_in")), limit=None,
            mechanism=heard),
        Row("links out, B/s", **both(links("bytes_out")), limit=None,
            mechanism="one answer to five beats, greetings: built"),
        _sum_row(links("bytes_in"), links("bytes_out")),
        Row("processor, %", **both(processor), limit=CPU_LIMIT_PERCENT,
            mechanism="as above"),
        Row("memory, MiB", **both(memory), limit=MEMORY_LIMIT_MIB,
            mechanism="directory and scheduler's state: built"),
        Row("table reads/s", **both(reads), limit=None,
            mechanism="polls of lease and configuration, scan of open "
            "jobs each 5 s: built"),
        Row("table rows written/s", **both(writes), limit=None,
            mechanism="lease renewal, job rows: built"),
    ]  # fmt: skip


def _sum_row(inward, outward) -> Row:
    def make(size: Size) -> tuple[Term, ...]:
        return (Term(1, total(inward(size))), Term(1, total(outward(size))))

    return Row(
        "links together, B/s",
        **both(make),
        limit=LINK_LIMIT_BYTES_PER_S,
        mechanism="as above",
    )


def worker_rows(lines: dict[str, Line]) -> list[Row]:
    """Return the rows of an agent beside a worker."""
    line = lines.__getitem__

    def links(size: Size) -> tuple[Term, ...]:
        gang = _both_ways(lines, "gang.worker").at(size.gang_members)
        return (
            Term(
                size.entries * size.beats_per_s,
                _exchange_bytes(lines),
            ),
            Term(size.jobs_per_s / size.workers, gang),
        )

    def processor(size: Size) -> tuple[Term, ...]:
        return (
            Term(1, 100 * line("worker.cpu").slope),
            Term(
                size.entries * size.beats_per_s,
                100 * line("beat.worker.cpu").slope,
            ),
            Term(size.tasks_per_worker, 100 * line("running.lone.cpu").slope),
        )

    def memory(size: Size) -> tuple[Term, ...]:
        task = line("running.lone.rss_bytes").slope / MIB
        base = line("running.lone.rss_bytes").base / MIB
        return (Term(1, base), Term(size.tasks_per_worker, max(0.0, task)))

    return _agent_rows(
        links, processor, memory, "a poll of each task, 0.1 to 2 s by its age"
    )


def runner_rows(lines: dict[str, Line]) -> list[Row]:
    """Return the rows of an agent beside a runner, without requests."""
    line = lines.__getitem__

    def links(size: Size) -> tuple[Term, ...]:
        beats = size.entries * size.beats_per_s
        return (Term(beats, _exchange_bytes(lines)),)

    def processor(size: Size) -> tuple[Term, ...]:
        return (
            Term(1, 100 * line("runner.cpu").slope),
            Term(
                size.entries * size.beats_per_s,
                100 * line("beat.runner.cpu").slope,
            ),
        )

    def memory(size: Size) -> tuple[Term, ...]:
        one = line("runner.rss_bytes")
        return (Term(1, one.base / MIB), Term(1, one.slope / MIB))

    return _agent_rows(links, processor, memory, "announcements")


def _both_ways(lines: dict[str, Line], series: str) -> Line:
    inward, outward = lines[f"{series}.bytes_in"], lines[f"{series}.bytes_out"]
    return Line(inward.base + outward.base, inward.slope + outward.slope)


def _exchange_bytes(lines: dict[str, Line]) -> float:
    """Return the bytes of a beat and its share of an answer."""
    answer_bytes = lines["frame.AnnounceAck.frame_bytes"].base
    beat_bytes = lines["frame.Beat.frame_bytes"].base
    return beat_bytes + answer_bytes / BEATS_PER_ANSWER


def _agent_rows(links, processor, memory, work: str) -> list[Row]:
    def nothing(size: Size) -> tuple[Term, ...]:
        return (Term(1, 0.0),)

    return [
        Row("links together, B/s", **both(links),
            limit=LINK_LIMIT_BYTES_PER_S,
            mechanism="beats to every entry: built"),
        Row("processor, %", **both(processor), limit=CPU_LIMIT_PERCENT,
            mechanism=f"{work}: built"),
        Row("memory, MiB", **both(memory), limit=MEMORY_LIMIT_MIB,
            mechanism="slot and task books: built"),
        Row("table reads/s", **both(nothing), limit=None,
            mechanism="only while no entry answers: built"),
    ]  # fmt: skip


def platform_rows(lines: dict[str, Line]) -> list[Row]:
    """Return the rows of the platform's service."""
    line = lines.__getitem__

    def calls(field: str):
        def make(size: Size) -> tuple[Term, ...]:
            gang = sum(
                line(f"gang.{role}.{field}").at(size.gang_members)
                for role in ("decider", "follower")
            )
            return (
                Term(size.scopes, line(f"decider.{field}").base),
                Term(
                    size.entries - size.scopes, line(f"follower.{field}").base
                ),
                Term(size.jobs_per_s, gang),
                Term(
                    size.changes_per_day / DAY_S, line(f"change.{field}").base
                ),
            )

        return make

    def reads(size: Size) -> tuple[Term, ...]:
        jobs = size.jobs_per_day or size.tasks
        each = line("open.decider.table_reads").slope
        return (*calls("table_reads")(size), Term(jobs, each))

    return [
        Row("reads/s", **both(reads), limit=TABLE_READS_LIMIT_PER_S,
            mechanism="polls, rescans: built"),
        Row("rows written/s", **both(calls("rows_written")),
            limit=TABLE_WRITES_LIMIT_PER_S,
            mechanism="leases, job rows, entries' rows: built"),
        Row("bytes/s", **both(calls("table_bytes")), limit=None,
            mechanism="calls and answers over HTTP"),
    ]  # fmt: skip


def time_rows(lines: dict[str, Line]) -> list[Row]:
    """Return the rows of what has to be done in a bounded time."""
    gang = lines["gang.decider.cpu"]
    change = lines["change.in_force_s"]

    def start(size: Size) -> tuple[Term, ...]:
        return (Term(1, gang.base), Term(size.gang_members, gang.slope))

    def in_force(size: Size) -> tuple[Term, ...]:
        return (Term(1, change.base + change.residual),)

    return [
        Row("decider's processor time for the largest gang, s",
            **both(start), limit=URGENT_LIMIT_S,
            mechanism="gang start protocol: built"),
        Row("slowest change in force on the entries, s", **both(in_force),
            limit=IN_FORCE_LIMIT_S,
            mechanism="poll of the head each 2 s: built"),
    ]  # fmt: skip
