from __future__ import annotations

from random import Random

import attrs
import pytest

from filbertlb.batch.benefit_order import AGED_FACTOR
from filbertlb.batch.benefit_order import AGED_SHARE
from filbertlb.batch.benefit_order import Band
from filbertlb.batch.benefit_order import BenefitOrder
from filbertlb.batch.benefit_order import LATE_FACTOR
from filbertlb.batch.demand import Demand
from filbertlb.batch.demand import MAX_SHAPE_AGE_MS
from filbertlb.batch.demand import MIN_ENTITLEMENT
from filbertlb.batch.demand import SETTLED_AGE_MS
from filbertlb.batch.durations import DeclaredDurations
from filbertlb.batch.evacuation import Evacuations
from filbertlb.batch.job_shape import shape_of
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.placing_context import available_capacity
from filbertlb.batch.placing_context import PlacingContext
from filbertlb.batch.planner_state import PlannerState
from filbertlb.batch.planner_state import TaskGroup
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.batch.workers import WorkerView
from tests.batch.replay import replay_of

SLACK = 3.0
TARGET_MS = 1000


def a_run(job_id, accelerators, run_ms, at_ms=0, **changes):
    """Return a job of one task."""
    needs = (accelerators, 1000, 1000)
    step = a_step(needs=needs, estimate_ms=run_ms)
    return a_job(job_id, step, accepted_ms=at_ms, **changes)


def exact_ms(job):
    return job.steps[0].estimate_ms


def inexact_ms(job):
    """Return a run time of half to twice the estimate."""
    return int(2 ** Random(job.job_id).uniform(-1, 1) * exact_ms(job))


def took_ms(played, job):
    return played.job_ended_ms.get(job.job_id, float("inf")) - job.accepted_ms


def objective_ms(played, job):
    return SLACK * played.run_ms[job.job_id] + TARGET_MS


def on_time(played, jobs):
    """Return the share of jobs that were done by their objective."""
    done = [took_ms(played, job) <= objective_ms(played, job) for job in jobs]
    return sum(done) / len(done)


def benefit(played, jobs):
    """Return what jobs earned: 1 on time, a quarter late, then nothing.

    Each level of priority halves it.
    """
    earned = 0.0
    for job in jobs:
        delay = took_ms(played, job) / objective_ms(played, job)
        value = 1.0 if delay <= 1 else 0.25 * (delay <= LATE_FACTOR)
        earned += value * 0.5**job.priority
    return earned


def both_orders(jobs, until_ms, true_ms):
    """Return the replay in the order by deadline and that by benefit."""
    return tuple(
        replay_of(jobs, 2, until_ms, by_benefit, true_ms)
        for by_benefit in (False, True)
    )


def test_burst_of_one_organisation_does_not_push_out_another():
    # A burst with earlier deadlines went before all work of the others.
    steady = [
        a_run(f"s{n}", 1, 4000, 500 * n, organisation="large")
        for n in range(120)
    ]
    small = [
        a_run(f"b{n}", 1, 4000, 1000 * n, organisation="small")
        for n in range(60)
    ]
    burst = [
        a_run(f"x{n}", 1, 2000, 30_000 + 50 * n, organisation="large")
        for n in range(300)
    ]
    jobs = [*steady, *small, *burst]
    old, new = both_orders(jobs, 75_000, exact_ms)
    assert on_time(old, small) < 1.0
    assert on_time(new, small) == 1.0
    old, new = both_orders(jobs, 75_000, inexact_ms)
    assert on_time(new, small) > on_time(old, small)
    assert benefit(new, jobs) > benefit(old, jobs)


def a_mix(seed, load):
    """Return jobs that need a multiple of the capacity for 50 s."""
    random = Random(seed)
    jobs, at_ms = [], 0.0
    while at_ms < 50_000:
        accelerators = random.choice([1, 1, 1, 2, 4])
        run_ms = int(1000 * 2 ** random.uniform(0, 4))
        at_ms += accelerators * run_ms / 16 / load
        jobs.append(
            a_run(
                f"m{len(jobs)}",
                *(accelerators, run_ms, int(at_ms)),
                priority=random.choice([0, 1, 2]),
            )
        )
    return jobs


@pytest.mark.parametrize("load", [1.8, 2.5])
def test_more_work_than_fits_earns_more_than_by_deadline(load):
    # The order by deadline starts what is about to be late, whatever it
    # costs, so with inaccurate estimates much of it ends late. One mix alone
    # may earn less by chance.
    earned = {False: 0.0, True: 0.0}
    for seed in range(1, 5):
        jobs = a_mix(seed, load)
        for played in both_orders(jobs, 200_000, inexact_ms):
            by_benefit = played.planner.demand is not None
            earned[by_benefit] += benefit(played, jobs)
            assert played.job_ended_ms.keys() == {job.job_id for job in jobs}
    assert earned[True] > earned[False]


@pytest.mark.parametrize("priority", [0, 1, 2])
def test_large_gang_starts_within_the_bound_beside_small_jobs(priority):
    # More urgent small jobs went before the gang for as long as they came.
    small = [a_run(f"s{n}", 1, 4000, 200 * n, priority=1) for n in range(500)]
    step = a_step(2, gang=True, needs=(8, 8000, 8000), estimate_ms=4000)
    gang = a_job("gang", step, accepted_ms=2000, priority=priority)
    old, new = both_orders([gang, *small], 110_000, exact_ms)
    longest_run_ms = 4000
    bound_ms = AGED_FACTOR * objective_ms(new, gang) + longest_run_ms
    if priority > 1:
        assert old.job_started_ms.get("gang", 110_000) > 100_000
    assert new.job_started_ms["gang"] - gang.accepted_ms <= bound_ms


def test_unequal_organisations_are_served_like_shares_of_their_demand():
    # The order by deadline serves the organisation with the longer jobs
    # least; equal amounts would serve the large one least.
    large = [
        a_run(f"l{n}", 1, 4000, 125 * n, organisation="large")
        for n in range(480)
    ]
    small = [
        a_run(f"s{n}", 1, 8000, 2000 * n, organisation="small")
        for n in range(30)
    ]
    old, new = both_orders([*large, *small], 90_000, inexact_ms)

    def worst(played):
        return min(on_time(played, part) for part in (large, small))

    assert worst(new) > worst(old)
    assert worst(new) >= 0.5 * max(on_time(new, large), on_time(new, small))


class Decision:
    """One decision of an order, on a site of two workers."""

    def __init__(self, *jobs, now_ms=0, guaranteed=(), running=(), known=()):
        self.state = PlannerState()
        for job in (*jobs, *running, *known):
            self.state.add_job(job)
        for job in running:
            for number in range(job.steps[0].count):
                self.state.set_record(
                    f"{job.job_id}.0.0.{number}",
                    TaskRecord(TaskPhase.ORDERED, 1, 0, "n0", since_ms=now_ms),
                )
        views = {
            node: WorkerView(a_report(node, worker=a_worker()), 0.0)
            for node in ("n0", "n1")
        }
        context = PlacingContext(
            self.state,
            available_capacity(self.state, views, 0.0, Evacuations()),
            set(guaranteed),
            DeclaredDurations(),
            now_ms,
            demand=Demand(),
        )
        self.order = BenefitOrder(context, context.demand)
        self.groups = self.order.sort(TaskGroup(job, 0, 0) for job in jobs)

    @property
    def names(self):
        return [group.job.job_id for group in self.groups]

    def band(self, job_id):
        (group,) = [g for g in self.groups if g.job.job_id == job_id]
        return self.order.sort_key(group)[0]


def test_groups_of_one_priority_are_placed_by_what_they_can_still_earn():
    # A late job with a high rate must not take the worker of one that can
    # still be on time.
    jobs = [
        a_run("expired", 1, 1000, 5000),
        a_run("late", 1, 1000, 12_000),
        a_run("timely", 8, 20_000, 14_000),
    ]
    # The oldest group takes up the share of aged ones.
    filler = a_run("filler", 8, 1000, 0)
    decision = Decision(filler, *jobs, now_ms=17_500)
    assert decision.names == ["filler", "timely", "late", "expired"]


def test_guarantees_come_first_in_the_order_of_their_start():
    jobs = [
        a_run("small", 1, 100, 0),
        a_run("second", 8, 60_000, 200, priority=0),
        a_run("first", 8, 60_000, 100, priority=0),
        a_run("old", 1, 100, 0, priority=2),
    ]
    decision = Decision(*jobs, now_ms=60_000, guaranteed=("first", "second"))
    assert decision.names[:2] == ["first", "second"]


def test_short_job_comes_before_a_long_one_of_its_priority():
    decision = Decision(a_run("long", 1, 20_000), a_run("short", 1, 2000))
    assert decision.names == ["short", "long"]


def test_urgent_job_comes_before_a_bulk_one_of_its_size():
    jobs = [a_run("b", 1, 2000, priority=2), a_run("u", 1, 2000, priority=0)]
    assert Decision(*jobs).names == ["u", "b"]


@pytest.mark.parametrize(
    ("priority", "names"), [(2, ["tight", "ample"]), (3, ["ample", "tight"])]
)
def test_job_with_ample_slack_counts_a_tenth_of_its_value(priority, names):
    # With a larger share, urgent jobs that could wait go before jobs that
    # would end too late; with none, jobs of little value go before them.
    ample = a_run("ample", 1, 10_000, priority=0, slack_factor=50.0)
    tight = a_run(
        "tight", 1, 10_000, priority=priority, slack_factor=1.0, target_ms=0
    )
    assert Decision(ample, tight).names == names


def test_rest_of_a_job_that_is_nearly_done_comes_first():
    # Its other steps are paid for, so little work earns its whole value.
    step = a_step(needs=(1, 1000, 1000), estimate_ms=2000)
    first = a_step(4, needs=(1, 1000, 1000), estimate_ms=2000)
    begun = a_job("begun", step, first, slack_factor=6.0)
    fresh = a_job("fresh", first, a_step(after=(0,), estimate_ms=2000))
    assert Decision(fresh, begun).names == ["begun", "fresh"]


def test_aged_groups_get_a_bounded_share_ahead_of_others():
    # Under lasting overload every waiting job is aged in the end.
    aged = [a_run(f"a{n}", 1, 1000, n) for n in range(8)]
    fresh = a_run("fresh", 1, 1000, 60_000)
    decision = Decision(*aged, fresh, now_ms=60_000)
    allowed = int(AGED_SHARE * 16)
    assert decision.names[: allowed + 1] == ["a0", "fresh"]
    decision = Decision(*aged, fresh, now_ms=60_000, running=[aged[0]])
    assert decision.names[0] == "fresh"


def test_aged_groups_of_one_age_are_advanced_in_the_order_of_their_names():
    # The next decider may know the jobs in another order.
    aged = [a_run(f"a{n}", 1, 1000, 0) for n in range(8)]
    for jobs in (aged, aged[::-1]):
        decision = Decision(*jobs, now_ms=60_000)
        bands = [decision.band(job.job_id) for job in aged]
        assert bands == [Band.AGED] + 7 * [Band.EXPIRED]


def test_younger_aged_runs_do_not_hold_up_an_older_group():
    # They are placed by benefit; if they used up the aged share, a large
    # gang would wait for ever under lasting overload.
    running = [
        a_run(f"r{n}", 1, 20_000, 1000, slack_factor=1.0) for n in range(8)
    ]
    gang = a_job("gang", a_step(16, gang=True), accepted_ms=500)
    decision = Decision(gang, running=running, now_ms=90_000)
    assert decision.band("gang") is Band.AGED
    older = [a_run(f"r{n}", 1, 20_000, 0, slack_factor=1.0) for n in range(8)]
    decision = Decision(gang, running=older, now_ms=90_000)
    assert decision.band("gang") is Band.EXPIRED


def test_task_that_lasts_does_not_expire_while_it_runs_on():
    # Its acceptance is long ago at a restart.
    job = a_job("a", a_step(long_running=True, estimate_ms=0))
    decision = Decision(job, now_ms=500)
    assert decision.band("a") is Band.ON_TIME
    decision.state.set_record("a.0.0.0", TaskRecord(since_ms=80_000))
    context = decision.order.context
    context.now_ms = 80_500
    again = BenefitOrder(context, context.demand)
    assert again.sort_key(again.sort([TaskGroup(job, 0, 0)])[0])[0] is (
        Band.ON_TIME
    )


def test_work_beyond_the_share_of_an_organisation_gives_way():
    jobs = [
        a_run("short", 1, 2000, organisation="a"),
        a_run("long", 1, 4000, organisation="b"),
    ]
    known = [
        a_job(name, a_step(8), organisation=name, accepted_ms=-90_000)
        for name in ("a", "b")
    ]
    within = a_job("r", a_step(8), organisation="a")
    beyond = a_job("r", a_step(12), organisation="a")
    decision = Decision(*jobs, known=known, running=[within])
    assert decision.names == ["short", "long"]
    decision = Decision(*jobs, known=known, running=[beyond])
    assert decision.names == ["long", "short"]


def test_entitlement_follows_usual_demand_and_not_a_burst():
    state = PlannerState()
    for number in range(20):
        state.add_job(a_run(f"a{number}", 1, 1000, 0, organisation="a"))
        state.add_job(a_run(f"b{number}", 4, 1000, 0, organisation="b"))
    demand = Demand()
    demand.update(state, DeclaredDurations(), SETTLED_AGE_MS)
    before = demand.entitlements({"a", "b"})
    assert before["b"] > 3 * before["a"]
    for number in range(200):
        job = a_run(f"x{number}", 4, 1000, SETTLED_AGE_MS, organisation="a")
        state.add_job(job)
    demand.update(state, DeclaredDurations(), SETTLED_AGE_MS)
    assert demand.entitlements({"a", "b"}) == before
    newcomer = demand.entitlements({"a", "b", "c"})["c"]
    assert newcomer >= 0.9 * MIN_ENTITLEMENT / 3


@attrs.frozen
class ScaledDurations(DeclaredDurations):
    """Multiples of the declared run times."""

    factor: int = 1

    def expected_ms(self, job, step):
        return self.factor * step.estimate_ms


def test_work_is_that_of_the_run_times_that_are_expected_now():
    # The first decider kept the work of the moment when it saw a job, so
    # entitlements changed when another took over.
    state = PlannerState()
    first = a_run("a", 1, 1000, 0, organisation="a")
    state.add_job(first)
    old = Demand()
    old.update(state, DeclaredDurations(), SETTLED_AGE_MS)
    state.add_job(a_run("b", 1, 1000, 0, organisation="b"))
    durations = ScaledDurations(factor=4)
    now_ms = SETTLED_AGE_MS + MAX_SHAPE_AGE_MS
    new = Demand()
    for demand in (old, new):
        demand.update(state, durations, now_ms)
    assert old.size_by_organisation == new.size_by_organisation
    assert old.mean_work_by_queue == new.mean_work_by_queue
    assert old.entitlements({"a", "b"}) == {"a": 0.5, "b": 0.5}
    mean_work = old.mean_work_by_queue[first.queue]
    assert old.shape(first, durations).work == mean_work


def test_forgotten_jobs_do_not_count_as_demand():
    state = PlannerState()
    state.add_job(a_run("a", 1, 1000, 0, organisation="a"))
    demand = Demand()
    demand.update(state, DeclaredDurations(), SETTLED_AGE_MS)
    state.forget("a")
    demand.update(state, DeclaredDurations(), SETTLED_AGE_MS)
    assert demand.size_by_organisation == {}
    assert demand.mean_work_by_queue == {}


@pytest.mark.parametrize(
    ("after", "rest_ms"),
    [
        ([(), (), ()], (1000, 2000, 3000)),
        ([(), (0,), (1,)], (6000, 5000, 3000)),
        ([(1,), (2,), ()], (1000, 3000, 6000)),
        ([(), (0,), (0,)], (4000, 2000, 3000)),
    ],
)
def test_rest_of_a_job_is_the_longest_chain_from_a_step_on(after, rest_ms):
    # The sum of all steps, which was used as the chain, gives jobs with
    # parallel steps too late an objective.
    steps = [
        a_step(estimate_ms=1000 * number, after=deps)
        for number, deps in enumerate(after, 1)
    ]
    shape = shape_of(a_job("a", *steps), DeclaredDurations())
    assert shape.rest_ms == rest_ms
    assert shape.objective_ms == int(SLACK * max(rest_ms)) + TARGET_MS


def test_steps_in_a_circle_and_without_estimate_are_ordered():
    circle = a_job("a", a_step(after=(1,)), a_step(after=(0,)))
    empty = a_job("b", a_step(needs=(0, 0, 0), estimate_ms=0), target_ms=0)
    names = Decision(circle, empty, a_job("c", priority=-(2**60))).names
    assert sorted(names) == ["a", "b", "c"]
