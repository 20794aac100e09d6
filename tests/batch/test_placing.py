"""Replays of load patterns in which capacity is insufficient."""

from __future__ import annotations

from collections import Counter

import attrs
import pytest
from loguru import logger

from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Run
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.placing_context import CheckpointCosts
from filbertlb.batch.planner import Planner
from filbertlb.batch.planner_state import PlannerState
from filbertlb.batch.preemption import GUARANTEE_PREEMPTION_DELAY_MS
from filbertlb.batch.preemption import LATER_CLAIM_DELAY_MS
from filbertlb.batch.preemption import LATEST_CLAIM_MS
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from tests.batch.replay import replay_on
from tests.batch.replay import ROUND_MS
from tests.batch.replay import STOP_MS

ALL_ACCELERATORS = (8, 8_000, 8_000)


@pytest.mark.parametrize("small_ms", [1000, 4000])
def test_gang_that_cannot_start_kept_all_workers_from_small_jobs(small_ms):
    # The run on each worker lasts until it is cancelled, so the gang can't
    # start; the small jobs were queued with 18 of 24 accelerators idle.
    replay = replay_on(3)
    lasting = a_step(
        3, needs=(2, 1, 1), long_running=True, max_per_worker=1, estimate_ms=0
    )
    replay.submit("lasting", lasting, priority=0)
    replay.play(100)
    gang = a_step(3, needs=ALL_ACCELERATORS, gang=True, estimate_ms=5000)
    replay.submit("gang", gang, priority=0)
    for number in range(3):
        step = a_step(estimate_ms=small_ms)
        replay.submit(f"s{number}", step, small_ms, priority=1)
    replay.play(200)
    assert all(replay.ordered(f"s{number}") for number in range(3))
    assert replay.ordered("gang") == []


def test_reservation_holds_only_what_the_group_will_use():
    # The rest of the worker was unused while the large task waited.
    replay = replay_on(1)
    replay.submit("busy", a_step(needs=(6, 1, 1), estimate_ms=8000), 8000)
    replay.play(100)
    replay.submit("large", a_step(needs=(4, 1, 1), estimate_ms=5000), 5000)
    late = {"target_ms": 60_000}
    step = a_step(2, needs=(1, 1, 1), estimate_ms=20_000)
    replay.submit("rest", step, 20_000, **late)
    replay.play(200)
    assert replay.ordered("rest") == ["n0", "n0"]
    replay.play(8300)
    assert replay.ordered("large") == ["n0"]


@pytest.mark.parametrize(
    ("changes", "starts"),
    [
        # Even twice the estimate ends before the gang can start.
        ({"estimate_ms": 3000}, True),
        ({"estimate_ms": 4500}, False),
        # Nobody knows how long these run.
        ({"estimate_ms": 0}, False),
        ({"estimate_ms": 3000, "long_running": True}, False),
    ],
)
def test_reserved_resources_are_used_by_work_that_ends_in_time(
    changes, starts
):
    replay = replay_on(2)
    for number in range(2):
        step = a_step(needs=(4, 1, 1), estimate_ms=8000)
        replay.submit(f"busy{number}", step, 8000)
    replay.play(100)
    gang = a_step(2, needs=ALL_ACCELERATORS, gang=True, estimate_ms=5000)
    replay.submit("gang", gang, 5000, priority=1)
    replay.submit("small", a_step(**changes))
    replay.play(200)
    assert bool(replay.ordered("small")) is starts


@pytest.mark.parametrize("gang_tasks", [2, 4])
@pytest.mark.parametrize("small_ms", [1500, 4000, 9000])
@pytest.mark.parametrize("estimate_factor", [0.5, 1.0, 2.0])
def test_gang_does_not_starve_under_a_stream_of_small_jobs(
    gang_tasks, small_ms, estimate_factor
):
    # Twice as much small work as fits comes all the time.
    replay = replay_on(4)
    estimate_ms = int(estimate_factor * small_ms)
    step = a_step(needs=(2, 1, 1), estimate_ms=estimate_ms)
    jobs_per_round = 2 * 16 * ROUND_MS / small_ms

    def arrive(now_ms):
        round_number = now_ms // ROUND_MS
        first = int(jobs_per_round * round_number)
        for number in range(first, int(jobs_per_round * (round_number + 1))):
            replay.submit(f"s{number}", step, small_ms, target_ms=90_000)

    replay.play(10_000, arrive)
    gang = a_step(
        gang_tasks, needs=ALL_ACCELERATORS, gang=True, estimate_ms=5000
    )
    replay.submit("gang", gang, 5000)
    start_ms = replay.now_ms
    replay.play(start_ms + small_ms + 1000, arrive)
    # The runs that were there end once; only what ends in time follows.
    started_ms = [
        replay.started_ms.get(f"gang.0.0.{index}", replay.now_ms)
        for index in range(gang_tasks)
    ]
    assert max(started_ms) - start_ms <= small_ms + 500


@pytest.mark.parametrize(
    "changes", [{"estimate_ms": 0}, {"long_running": True}]
)
def test_job_is_not_lost_beside_a_reservation_on_idle_workers(changes):
    # Nobody knows whether it ends before the gang can start. A job with
    # nothing running for 3 s while most capacity is idle counts as lost.
    replay = replay_on(3)
    busy = a_step(3, needs=(2, 1, 1), max_per_worker=1, estimate_ms=20_000)
    replay.submit("busy", busy, 20_000)
    replay.play(100)
    gang = a_step(3, needs=ALL_ACCELERATORS, gang=True, estimate_ms=5000)
    replay.submit("gang", gang, priority=0)
    replay.submit("small", a_step(**changes), priority=1)
    replay.play(200)
    assert replay.ordered("small") == []
    replay.play(3000)
    assert len(replay.ordered("small")) == 1


def test_gang_does_not_starve_under_small_jobs_that_leave_most_idle():
    # They run for long and use less than half of the service.
    replay = replay_on(4)
    step = a_step(needs=(1, 1, 1), estimate_ms=30_000)

    def arrive(now_ms):
        if now_ms % 2400 == 0:
            replay.submit(f"s{now_ms}", step, 30_000, target_ms=200_000)

    replay.play(10_000, arrive)
    gang = a_step(4, needs=ALL_ACCELERATORS, gang=True, estimate_ms=5000)
    replay.submit("gang", gang, 5000, target_ms=60_000)
    start_ms = replay.now_ms
    limit_ms = 30_000 + 500
    replay.play(start_ms + limit_ms, arrive)
    assert replay.started_ms["gang.0.0.0"] - start_ms <= limit_ms


def rack_replay(busy_ms, estimate_ms=None):
    """Return a replay with rack r1 occupied and r2 and r3 idle."""
    replay = replay_on(6, racks=["r1", "r1", "r2", "r2", "r3", "r3"])
    step = a_step(
        2,
        needs=ALL_ACCELERATORS,
        data_rack="r1",
        estimate_ms=busy_ms if estimate_ms is None else estimate_ms,
    )
    replay.submit("busy", step, busy_ms)
    replay.play(100)
    assert replay.ordered("busy") == ["n0", "n1"]
    return replay


def occupy(replay, nodes):
    """Occupy nodes of other racks, so that the service is not idle."""
    for node in nodes:
        rack = replay.racks[node]
        step = a_step(
            needs=ALL_ACCELERATORS, data_rack=rack, estimate_ms=60_000
        )
        replay.submit(f"on-{node}", step)
    replay.play(replay.now_ms)


@pytest.mark.parametrize("priority", [0, 1, 2])
@pytest.mark.parametrize(
    ("busy_ms", "run_ms", "local"),
    [
        # The run elsewhere would end at 18 s; the wait makes it 9 s.
        (3000, 6000, True),
        # The run elsewhere ends at 3 s, the rack is free after 8 s.
        (8000, 1000, False),
    ],
)
def test_step_waits_for_the_rack_of_its_data_if_it_is_done_sooner_there(
    busy_ms, run_ms, local, priority
):
    # Urgent steps waited without limit, others always up to 4 s.
    replay = rack_replay(busy_ms)
    occupy(replay, ["n2", "n3"])
    step = a_step(needs=ALL_ACCELERATORS, data_rack="r1", estimate_ms=run_ms)
    replay.submit("near", step, run_ms, priority=priority, target_ms=60_000)
    replay.play(replay.now_ms + 300)
    assert bool(replay.ordered("near")) is not local
    replay.play(busy_ms + 500)
    if local:
        assert replay.ordered("near")[0] in ("n0", "n1")


@pytest.mark.parametrize("priority", [0, 1])
def test_step_does_not_wait_without_limit_for_a_rack(priority):
    # The runs there last much longer than declared.
    replay = rack_replay(60_000, estimate_ms=1000)
    occupy(replay, ["n2", "n3"])
    step = a_step(needs=ALL_ACCELERATORS, data_rack="r1", estimate_ms=3000)
    replay.submit("near", step, 9000, priority=priority, target_ms=60_000)
    replay.play(replay.now_ms + 5000)
    assert replay.ordered("near") == []
    replay.play(replay.now_ms + 1500)
    assert replay.ordered("near")[0] in ("n4", "n5")


def test_gang_that_shares_a_rack_waits_for_one_that_has_room_soon():
    replay = rack_replay(3000)
    occupy(replay, ["n2", "n4", "n5"])
    gang = a_step(
        2,
        needs=(4, 1, 1),
        gang=True,
        same_rack=True,
        estimate_ms=6000,
        max_per_worker=1,
    )
    replay.submit("gang", gang, 6000, priority=0, target_ms=60_000)
    replay.play(4000)
    assert replay.ordered("gang") == ["n0", "n1"]


def test_step_does_not_wait_for_a_rack_where_runs_last():
    replay = replay_on(4, racks=["r1", "r1", "r2", "r2"])
    lasting = a_step(
        2, needs=ALL_ACCELERATORS, data_rack="r1", long_running=True
    )
    replay.submit("lasting", lasting)
    replay.play(100)
    step = a_step(needs=ALL_ACCELERATORS, data_rack="r1", estimate_ms=9000)
    replay.submit("near", step, priority=0, target_ms=60_000)
    replay.play(200)
    assert replay.ordered("near")[0] in ("n2", "n3")


def test_gang_does_not_wait_if_the_rack_of_its_data_has_no_usable_worker():
    # It waited for any rack that is large enough for all members.
    replay = replay_on(4, racks=["r1", "r1", "r2", "r2"])
    busy = a_step(needs=ALL_ACCELERATORS, estimate_ms=3000)
    for number, node in enumerate(("n0", "n2")):
        rack = replay.racks[node]
        step = attrs.evolve(busy, data_rack=rack)
        replay.submit(f"busy{number}", step, 3000)
    replay.play(100)
    gang = a_step(
        2,
        needs=ALL_ACCELERATORS,
        gang=True,
        data_rack="gone",
        estimate_ms=6000,
    )
    replay.submit("gang", gang, 6000, target_ms=60_000)
    replay.play(200)
    assert replay.ordered("gang") == ["n1", "n3"]


def test_step_waits_3_s_at_most_for_a_rack_of_an_idle_service():
    # A job with nothing running for 3 s counts as lost then.
    replay = rack_replay(9000)
    step = a_step(needs=(1, 1, 1), data_rack="r1", estimate_ms=20_000)
    replay.submit("near", step, priority=0, target_ms=60_000)
    replay.play(replay.now_ms + 3000)
    assert replay.ordered("near") != []


@pytest.mark.parametrize("small_tasks", [1, 16])
def test_gang_that_restarts_finds_its_nodes_free(small_tasks):
    # One member was refused. While the others were being stopped, small
    # tasks started on their nodes and were stopped again for the gang.
    replay = replay_on(4)
    gang = a_step(3, needs=ALL_ACCELERATORS, gang=True, estimate_ms=5000)
    replay.submit("gang", gang, 5000, priority=0)
    replay.play(100)
    step = a_step(small_tasks, needs=(1, 1, 1), estimate_ms=20_000)
    replay.submit("small", step, 20_000, priority=2)
    replay.end_now("gang.0.0.0", EndCause.REFUSED)
    replay.play(replay.now_ms + STOP_MS + ROUND_MS)
    nodes = set(replay.ordered("gang"))
    assert len(nodes) == 3
    assert nodes.isdisjoint(replay.ordered("small"))
    assert replay.ordered("small")


def claim_on_full_worker(low, reports=(), checkpoints=None, now_ms=6000):
    """Let a guaranteed job claim a worker full of less urgent runs.

    Parameters
    ----------
    reports : iterable of (int, str)
        Time of a report in milliseconds and the checkpoint it lists.
    """
    fields = {} if checkpoints is None else {"checkpoints": checkpoints}
    replay = replay_on(1, guaranteed={"divers": 8}, **fields)
    planner = replay.planner
    replay.submit("low", low)
    planner.decide(0.0, 0)
    claim = a_step(needs=ALL_ACCELERATORS, estimate_ms=1000)
    for at_ms, saved in (
        *reports,
        (now_ms, reports[-1][1] if reports else ""),
    ):
        if at_ms == now_ms:
            accepted_ms = now_ms - GUARANTEE_PREEMPTION_DELAY_MS
            planner.state.add_job(
                a_job("claim", claim, priority=0, accepted_ms=accepted_ms)
            )
        running = tuple(
            Run(task, 1, saved) for task in planner.state.tasks_on("n0")
        )
        view = planner.workers["n0"]
        listed = attrs.evolve(view.report, running=running)
        planner.record_report(listed, at_ms / 1000)
        planner.decide(at_ms / 1000, at_ms)
    assert replay.ordered("claim") == ["n0"]
    return planner


@pytest.mark.parametrize(
    ("step", "reports", "checkpoints", "lost_core_s"),
    [
        # 72 cores for 6 s; a gang loses the work of all members.
        ({"needs": ALL_ACCELERATORS}, (), None, 432.0),
        ({"count": 2, "needs": (4, 4000, 1), "gang": True}, (), None, 432.0),
        # What is saved is not lost, but its restoration takes time.
        ({"checkpointable": True}, (), None, 72 * 2.1),
        (
            {"checkpointable": True},
            (),
            CheckpointCosts(interval_ms=500, restore_ms=600),
            72 * (0.5 + 0.6),
        ),
        # The report tells of a checkpoint shortly before.
        ({"checkpointable": True}, [(4000, "a"), (5900, "b")], None, 72 * 0.7),
        # No checkpoint has been taken for a long time.
        ({"checkpointable": True}, [(0, "a"), (500, "a")], None, 72 * 6.1),
    ],
)
def test_lost_work_of_a_preempted_run_is_what_its_stop_really_costs(
    step, reports, checkpoints, lost_core_s
):
    # A gang, a restoration and a missing checkpoint cost nothing before.
    fields = {"needs": ALL_ACCELERATORS, "estimate_ms": 20_000} | step
    low = a_step(**fields)
    planner = claim_on_full_worker(low, reports, checkpoints)
    assert planner.lost_core_s == {"guarantee": pytest.approx(lost_core_s)}


def test_preemption_is_logged_with_its_loss_and_cause():
    lines: list[str] = []
    handler = logger.add(lines.append, format="{message}")
    try:
        claim_on_full_worker(
            a_step(needs=ALL_ACCELERATORS, estimate_ms=20_000)
        )
    finally:
        logger.remove(handler)
    assert [line.strip() for line in lines if line.startswith("stop ")] == [
        "stop low.0.0.0 for claim.0.0: guarantee after 6000 ms, "
        "432.0 core-seconds lost"
    ]


def claim(replay, step, job_id="claim", **changes):
    """Submit a job within its guarantee."""
    fields = {"priority": 0, "target_ms": 1000} | changes
    replay.submit(job_id, step, **fields)


def test_claim_stops_one_gang_if_that_loses_less_than_single_runs():
    # Each worker alone seemed cheaper to free of its single run.
    replay = replay_on(6, guaranteed={"divers": 24})
    gang = a_step(3, needs=ALL_ACCELERATORS, gang=True, estimate_ms=60_000)
    replay.submit("gang", attrs.evolve(gang, checkpointable=True))
    replay.play(100)
    step = a_step(needs=ALL_ACCELERATORS, estimate_ms=60_000)
    for number in range(3):
        replay.submit(f"single{number}", step)
    replay.play(1000)
    claim(replay, attrs.evolve(gang, estimate_ms=5000))
    replay.play(replay.now_ms + LATEST_CLAIM_MS + ROUND_MS)
    assert len(replay.ordered("claim")) == 3
    assert replay.stopped == {f"gang.0.0.{index}" for index in range(3)}


def test_claim_spares_victims_that_later_ones_make_needless():
    # The stop of the gang for one worker also frees the other.
    replay = replay_on(2, guaranteed={"divers": 8})
    gang = a_step(
        2, needs=(6, 1, 1), gang=True, estimate_ms=60_000, checkpointable=True
    )
    replay.submit("gang", gang)
    small = a_step(needs=(2, 1, 1), estimate_ms=60_000)
    replay.submit("kept", small, priority=0)
    replay.play(100)
    replay.submit("small", small)
    replay.play(1000)
    assert replay.ordered("gang") == ["n0", "n1"]
    step = a_step(
        2, needs=(2, 1, 1), gang=True, max_per_worker=1, estimate_ms=5000
    )
    claim(replay, step)
    replay.play(replay.now_ms + LATEST_CLAIM_MS + ROUND_MS)
    assert len(replay.ordered("claim")) == 2
    assert replay.stopped == {"gang.0.0.0", "gang.0.0.1"}


def test_task_was_preempted_twice_in_a_row_beside_another():
    # The restarted run had lost the least again.
    replay = replay_on(2, guaranteed={"divers": 8})
    for number in range(2):
        step = a_step(needs=ALL_ACCELERATORS, estimate_ms=90_000)
        replay.submit(f"low{number}", step)
        replay.play(replay.now_ms + 1000)
    first = a_step(needs=ALL_ACCELERATORS, estimate_ms=2000)
    claim(replay, first, run_ms=2000)
    replay.play(replay.now_ms + 7000)
    (stopped,) = {task.partition(".")[0] for task in replay.stopped}
    assert replay.ordered(stopped) != []
    claim(replay, attrs.evolve(first, estimate_ms=9000), "again")
    replay.play(replay.now_ms + LATEST_CLAIM_MS + ROUND_MS)
    assert replay.ordered("again") != []
    assert replay.planner.state.record(f"{stopped}.0.0.0").attempt == 2
    assert replay.ordered(stopped) != []


def test_task_is_preempted_again_if_there_is_no_other_choice():
    replay = replay_on(1, guaranteed={"divers": 8})
    step = a_step(needs=ALL_ACCELERATORS, estimate_ms=90_000)
    replay.submit("low", step)
    replay.play(1000)
    for number in range(2):
        short = attrs.evolve(step, estimate_ms=2000)
        claim(replay, short, f"claim{number}", run_ms=2000)
        replay.play(replay.now_ms + LATEST_CLAIM_MS + ROUND_MS)
        assert replay.ordered(f"claim{number}") == ["n0"]
        replay.play(replay.now_ms + 4000)
        assert replay.ordered("low") == ["n0"]


@pytest.mark.parametrize("gang", [False, True])
def test_preemption_was_remembered_after_its_run_was_done(gang):
    # The set grew for as long as a decider was in office.
    replay = replay_on(1, guaranteed={"divers": 8})
    step = a_step(needs=ALL_ACCELERATORS, estimate_ms=5000, gang=gang)
    first = attrs.evolve(step, estimate_ms=90_000)
    replay.submit("low", first, 6000, times=2, interval_ms=1000)
    replay.play(1000)
    claim(replay, attrs.evolve(step, estimate_ms=2000), run_ms=2000)
    replay.play(replay.now_ms + LATEST_CLAIM_MS + 1000)
    preempted = replay.planner.state.preempted
    assert preempted == {"low.0.0" if gang else "low.0.0.0"}
    replay.play(replay.now_ms + 9000)
    assert replay.planner.state.record("low.0.0.0").phase is TaskPhase.DONE
    assert replay.planner.state.progress["low"].state is JobState.ACTIVE
    assert replay.planner.state.preempted == set()


@pytest.mark.parametrize("state", [JobState.FAILED, JobState.CANCELLED])
def test_preemption_was_remembered_after_its_job_had_ended(state):
    # Names of ended jobs were kept until their rows were deleted.
    planner_state = PlannerState()
    for job_id in ("a", "b"):
        planner_state.add_job(a_job(job_id))
        planner_state.preempted |= {f"{job_id}.0.0", f"{job_id}.0.1.0"}
    planner_state.set_job_state("a", state, 1000)
    assert planner_state.preempted == {"b.0.0", "b.0.1.0"}


@pytest.mark.parametrize(
    ("remaining_ms", "stopped"),
    [
        (GUARANTEE_PREEMPTION_DELAY_MS + 300, False),
        (LATEST_CLAIM_MS + 500, True),
    ],
)
def test_claim_waits_for_runs_that_end_in_time(remaining_ms, stopped):
    replay = replay_on(1, guaranteed={"divers": 8})
    step = a_step(needs=ALL_ACCELERATORS, estimate_ms=8000)
    replay.submit("low", step, 8000)
    replay.play(8000 - remaining_ms - ROUND_MS)
    claim(replay, attrs.evolve(step, estimate_ms=2000))
    accepted_ms = replay.now_ms
    replay.play(accepted_ms + LATEST_CLAIM_MS + ROUND_MS)
    assert replay.ordered("claim") == ["n0"]
    assert bool(replay.stopped) is stopped


def test_claim_does_not_wait_for_runs_beyond_the_limit():
    # The run lasts longer than declared.
    replay = replay_on(1, guaranteed={"divers": 8})
    step = a_step(needs=ALL_ACCELERATORS, estimate_ms=8000)
    replay.submit("low", step, 20_000)
    replay.play(7000)
    claim(replay, attrs.evolve(step, estimate_ms=2000))
    accepted_ms = replay.now_ms
    replay.play(accepted_ms + LATEST_CLAIM_MS)
    assert replay.started_ms["claim.0.0.0"] - accepted_ms <= LATEST_CLAIM_MS


def test_later_step_of_a_guaranteed_job_does_not_stop_costly_runs_at_once():
    # It has no time limit, but waited since the acceptance of its job.
    replay = replay_on(1, guaranteed={"divers": 8})
    first = a_step(needs=(4, 1, 1), estimate_ms=4000)
    later = a_step(needs=ALL_ACCELERATORS, estimate_ms=2000, after=(0,))
    replay.planner.state.add_job(
        a_job("claim", first, later, priority=0, target_ms=60_000)
    )
    replay.run_ms["claim"] = 4000
    replay.submit("low", a_step(needs=(4, 1, 1), estimate_ms=90_000))
    replay.play(4000 + LATER_CLAIM_DELAY_MS - 2 * ROUND_MS)
    assert replay.planner.state.record("claim.0.1.0").attempt == 0
    assert replay.stopped == set()
    replay.play(4000 + LATER_CLAIM_DELAY_MS + 3 * ROUND_MS)
    assert replay.planner.state.record("claim.0.1.0").attempt == 1


@pytest.mark.parametrize(
    ("low", "nodes"),
    [
        # The stop would lose the work of 9 s.
        ({}, {"n2", "n3"}),
        # The stop loses less than a run elsewhere takes more.
        ({"checkpointable": True}, {"n0", "n1"}),
    ],
)
def test_claim_uses_free_workers_elsewhere_unless_a_stop_loses_little(
    low, nodes
):
    replay = replay_on(
        4,
        racks=["r1", "r1", "r2", "r2"],
        guaranteed={"divers": 16},
        checkpoints=CheckpointCosts(interval_ms=500, restore_ms=100),
    )
    fields = {"needs": ALL_ACCELERATORS, "estimate_ms": 90_000} | low
    replay.submit("low", a_step(2, data_rack="r1", **fields))
    replay.play(9000)
    step = a_step(
        2,
        needs=ALL_ACCELERATORS,
        data_rack="r1",
        gang=True,
        estimate_ms=10_000,
    )
    claim(replay, step)
    replay.play(replay.now_ms + LATEST_CLAIM_MS + ROUND_MS)
    assert set(replay.ordered("claim")) == nodes


def test_job_over_its_guarantee_stops_no_run_that_it_would_make_late():
    # One job was on time instead of the other, and work was lost.
    replay = replay_on(1)
    step = a_step(needs=ALL_ACCELERATORS, estimate_ms=4000)
    tight = {"slack_factor": 1.2, "target_ms": 0}
    replay.submit("low", step, 4000, priority=1, **tight)
    replay.play(700)
    replay.submit("urgent", step, 4000, priority=0, **tight)
    replay.play(1500)
    assert replay.stopped == set()


def test_urgent_gang_ran_across_racks_beside_a_cheap_stop():
    # It would end late across racks, and the stop loses half a second.
    replay = replay_on(4, racks=["r1", "r1", "r2", "r2"])
    for number in (0, 2):
        low = a_step(
            needs=ALL_ACCELERATORS,
            estimate_ms=30_000,
            data_rack=f"r{1 + number // 2}",
        )
        replay.submit(f"low{number}", low, 30_000, priority=2)
    replay.play(400)
    gang = a_step(
        2, needs=ALL_ACCELERATORS, gang=True, same_rack=True, estimate_ms=5000
    )
    tight = {"slack_factor": 1.5, "target_ms": 300, "priority": 0}
    replay.submit("gang", gang, 5000, **tight)
    replay.play(replay.now_ms + STOP_MS)
    assert {replay.racks[node] for node in replay.ordered("gang")} in (
        {"r1"},
        {"r2"},
    )


def test_placing_a_wide_step_took_longer_than_the_lease(monkeypatch):
    # Each task looked at all others: 8 s for 2,000, again at each decider.
    looks = Counter()
    record = PlannerState.record
    for count in (100, 400):
        planner = Planner()
        for number in range(count // 8 + 1):
            planner.record_report(a_report(f"n{number:02d}"), 0.0)
        planner.state.add_job(a_job("wide", a_step(count)))

        def counted(state, task, count=count):
            looks[count] += 1
            return record(state, task)

        monkeypatch.setattr(PlannerState, "record", counted)
        planner.decide(1.0, 1_000)
        assert len(planner.state.allocated_tasks("wide")) == count
    assert looks[400] < 5 * looks[100]
