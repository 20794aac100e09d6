"""Planners whose failure domains are evacuated and return to use."""

from __future__ import annotations

import attrs
import pytest

from filbertlb.batch.evacuation import Evacuations
from filbertlb.batch.evacuation import MAX_RETURN_S
from filbertlb.batch.evacuation import MIN_RETURN_S
from filbertlb.batch.evacuation import RETURN_STEPS
from filbertlb.batch.evacuation_log import MAX_LOGGED_WAITS
from filbertlb.batch.evacuation_log import MIN_LOGGED_WAIT_MS
from filbertlb.batch.evacuation_log import WAITS_PERIOD_S
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.planner import Planner
from filbertlb.batch.preemption import GUARANTEE_PREEMPTION_DELAY_MS
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import a_worker
from filbertlb.batch.testing import CAPACITY

WHOLE_WORKER = CAPACITY


class Site:
    """A planner and the workers that report to it, by domain."""

    def __init__(self, zones, **fields):
        self.planner = Planner(evacuations=Evacuations(), **fields)
        self.evacuations = self.planner.evacuations
        self.now_s = 0.0
        self.workers = {}
        for number, zone in enumerate(zones):
            self.add_worker(f"n{number}", zone)

    @property
    def state(self):
        return self.planner.state

    def add_worker(self, node, zone, **changes):
        worker = a_worker(incarnation=f"{node}@1", zone=zone, **changes)
        self.workers[node] = worker
        self.report(node)

    def report(self, node, **changes):
        fields = {"worker": self.workers[node]} | changes
        self.planner.record_report(a_report(node, **fields), self.now_s)

    def submit(self, job_id, *steps, **changes):
        accepted_ms = int(1000 * self.now_s)
        changes = {"accepted_ms": accepted_ms} | changes
        self.state.add_job(a_job(job_id, *steps, **changes))

    def decide(self, after_s=0.1):
        self.now_s += after_s
        if after_s >= 1:
            for node in self.workers:
                self.report(node)
        self.planner.decide(self.now_s, int(1000 * self.now_s))

    def nodes_of(self, job_id):
        """Return the nodes on which runs of a job are ordered."""
        return sorted(
            record.node
            for record in self.state.progress[job_id].tasks.values()
            if record.phase is TaskPhase.ORDERED
        )

    def phases(self, job_id):
        tasks = self.state.progress[job_id].tasks
        return [tasks[task].phase for task in sorted(tasks)]

    def begin(self, *tasks):
        """Report the runs of tasks in progress."""
        runs_by_node = {}
        for task in tasks:
            record = self.state.record(task)
            run = Run(task, record.attempt)
            runs_by_node.setdefault(record.node, []).append(run)
        for node, runs in runs_by_node.items():
            self.report(node, running=tuple(runs))

    def end(self, task, cause):
        record = self.state.record(task)
        ended = RunEnd(task, record.attempt, cause)
        self.report(record.node, ended=(ended,))


def test_evacuated_domain_gets_no_new_work():
    site = Site("ab")
    site.evacuations.request("a", 7)
    site.submit("j", a_step(2, needs=WHOLE_WORKER))
    site.decide()
    assert site.nodes_of("j") == ["n1"]


def test_worker_that_registers_in_an_evacuated_domain_gets_no_work():
    site = Site("a")
    site.evacuations.request("a", 7)
    site.decide()
    site.add_worker("n1", "a")
    site.submit("j")
    site.decide()
    assert site.nodes_of("j") == []


def test_guaranteed_job_gets_no_worker_of_an_evacuated_domain():
    # A claim within a guarantee must not reach into the domain either.
    site = Site("ab", guaranteed={"divers": 16})
    site.submit("other", a_step(needs=WHOLE_WORKER))
    site.decide()
    (node,) = site.nodes_of("other")
    site.begin("other.0.0.0")
    site.evacuations.request(site.workers[node].zone, 7)
    step = a_step(2, needs=WHOLE_WORKER)
    site.submit("urgent", step, priority=0)
    site.decide(GUARANTEE_PREEMPTION_DELAY_MS / 1000 + 0.1)
    assert site.phases("other") == [TaskPhase.ORDERED]
    assert len(site.nodes_of("urgent")) == 1
    assert site.nodes_of("urgent") != [node]


def test_domains_are_evacuated_in_succession():
    site = Site("abc")
    site.evacuations.request("a", 7)
    site.decide()
    site.evacuations.request("b", 9)
    site.submit("j", a_step(3, needs=WHOLE_WORKER))
    site.decide()
    assert site.nodes_of("j") == ["n2"]
    site.evacuations.withdraw("a", site.now_s)
    site.decide(MIN_RETURN_S)
    assert site.nodes_of("j") == ["n0", "n2"]
    assert site.evacuations.version_by_domain == {"b": 9}


def test_jobs_wait_while_all_workers_are_evacuated():
    site = Site("aa", guaranteed={"divers": 8})
    site.evacuations.request("a", 7)
    site.submit("j", a_step(2, gang=True, same_rack=True))
    site.submit("urgent", priority=0)
    for _ in range(20):
        site.decide(2.0)
    assert site.nodes_of("j") == site.nodes_of("urgent") == []
    assert site.state.progress["j"].state is JobState.QUEUED
    site.evacuations.withdraw("a", site.now_s)
    site.decide()
    assert len(site.nodes_of("j")) == 2
    assert len(site.nodes_of("urgent")) == 1


def test_order_whose_run_has_not_begun_is_withdrawn(lines):
    # An agent that carries it out late would start work after the bound.
    site = Site("ab")
    site.submit("j", a_step(2, needs=WHOLE_WORKER))
    site.decide()
    site.begin("j.0.0.1")
    site.evacuations.request("a", 7)
    site.evacuations.request("b", 8)
    site.decide()
    assert site.phases("j") == [TaskPhase.STOPPING, TaskPhase.ORDERED]
    node = site.state.record("j.0.0.0").node
    (order,) = site.state.orders_of(node, 1).orders
    assert order.stop
    (line,) = [line for line in lines if "withdrawn" in line]
    assert "j.0.0.0 attempt 1" in line
    assert str({site.workers[node].zone: 7 if node == "n0" else 8}) in line
    site.decide()
    assert len([line for line in lines if "withdrawn" in line]) == 1


def test_withdrawn_order_runs_elsewhere_and_counts_as_no_failure():
    site = Site("ab")
    site.submit("j", a_step(needs=WHOLE_WORKER), attempts=1)
    site.decide()
    (node,) = site.nodes_of("j")
    site.evacuations.request(site.workers[node].zone, 7)
    site.decide()
    assert site.nodes_of("j") == []
    site.end("j.0.0.0", EndCause.STOPPED)
    site.decide()
    (other,) = site.nodes_of("j")
    assert other != node
    assert site.state.record("j.0.0.0").failures == 0


def test_request_that_is_deleted_at_once_delays_only_what_was_withdrawn():
    site = Site("a")
    site.submit("begun")
    site.submit("late")
    site.decide()
    site.begin("begun.0.0.0")
    site.evacuations.request("a", 7)
    site.decide()
    site.evacuations.withdraw("a", site.now_s)
    site.decide()
    assert site.phases("begun") == [TaskPhase.ORDERED]
    assert site.phases("late") == [TaskPhase.STOPPING]
    site.end("late.0.0.0", EndCause.STOPPED)
    site.decide()
    assert site.nodes_of("late") == ["n0"]
    # A request that no decision has seen changes nothing but the share.
    site.evacuations.request("a", 9)
    site.evacuations.withdraw("a", site.now_s)
    site.decide()
    assert site.phases("late") == [TaskPhase.ORDERED]


def test_run_in_progress_continues_when_its_agent_restarts():
    # A restarted agent knows neither its worker nor its runs at first.
    site = Site("ab")
    site.submit("j", a_step(needs=WHOLE_WORKER))
    site.decide()
    (node,) = site.nodes_of("j")
    site.begin("j.0.0.0")
    site.decide()
    site.report(node, worker=None, answers=False)
    site.decide()
    site.evacuations.request(site.workers[node].zone, 7)
    site.decide()
    site.report(node)
    site.decide()
    assert site.nodes_of("j") == [node]


def test_order_in_another_domain_stays_when_its_agent_restarts():
    site = Site("ab")
    site.submit("j", a_step(needs=WHOLE_WORKER))
    site.decide()
    (node,) = site.nodes_of("j")
    site.report(node, worker=None, answers=False)
    site.evacuations.request("b" if node == "n0" else "a", 7)
    site.decide()
    assert site.nodes_of("j") == [node]


def test_order_of_a_worker_without_a_known_domain_is_withdrawn():
    # Its agent may start the run before it reports where the worker is.
    site = Site("ab")
    site.submit("j", a_step(needs=WHOLE_WORKER))
    site.decide()
    (node,) = site.nodes_of("j")
    view = site.planner.workers.pop(node)
    site.planner.record_report(a_report(node, worker=None), site.now_s)
    site.evacuations.request(view.report.worker.zone, 7)
    site.decide()
    assert site.phases("j") == [TaskPhase.STOPPING]


@pytest.mark.parametrize(
    ("begun", "phase"),
    [(2, TaskPhase.ORDERED), (1, TaskPhase.STOPPING), (0, TaskPhase.STOPPING)],
)
def test_gang_is_withdrawn_whole_or_not_at_all(lines, begun, phase):
    # Members that have begun would wait in vain for those withdrawn.
    site = Site("ab")
    site.submit("j", a_step(2, needs=WHOLE_WORKER, gang=True))
    site.decide()
    records = site.state.progress["j"].tasks
    # Members in the other domain have begun in any case.
    tasks = sorted(records, key=lambda task: records[task].node)
    site.begin(*tasks[2 - begun :])
    site.evacuations.request("a", 7)
    site.decide()
    assert site.phases("j") == [phase] * 2
    withdrawn = [line for line in lines if "withdrawn" in line]
    assert len(withdrawn) == (phase is TaskPhase.STOPPING)


def test_unknown_domain_is_logged_once_and_affects_nothing(lines):
    site = Site("ab")
    site.submit("before", a_step(2, needs=WHOLE_WORKER))
    site.decide()
    site.evacuations.request("nowhere", 7)
    for _ in range(5):
        site.decide()
    assert len(site.nodes_of("before")) == 2
    assert len([line for line in lines if "unknown" in line]) == 1
    site.add_worker("n2", "nowhere")
    site.submit("after")
    site.decide()
    assert site.nodes_of("after") == []
    assert [line for line in lines if "1 workers get no new work" in line]


def test_domain_evacuated_and_in_use_again_are_logged(lines):
    site = Site("aa")
    site.evacuations.request("a", 7)
    site.evacuations.request("a", 8)
    site.decide()
    site.evacuations.withdraw("a", site.now_s)
    site.evacuations.withdraw("a", site.now_s)
    site.decide(MIN_RETURN_S)
    assert [line.partition(":")[0] for line in lines if "domain" in line] == [
        "failure domain a evacuated by the request of version 7",
        "failure domain a",
        "failure domain a in use again, the request of version 8 is deleted",
        "failure domain a gets its full share of new work after 3.0 s",
    ]


def returned_site(**changes):
    """Return a site of one domain whose request was just deleted."""
    site = Site("", guaranteed={"divers": 64})
    for number in range(2 * RETURN_STEPS):
        rack = f"r{number % RETURN_STEPS}"
        site.add_worker(f"n{number}", "a", rack=rack, **changes)
    site.evacuations.request("a", 7)
    site.decide()
    site.evacuations.withdraw("a", site.now_s)
    return site


def test_share_of_a_returned_domain_grows_in_steps():
    site = returned_site()
    site.submit("j", a_step(2 * RETURN_STEPS, needs=WHOLE_WORKER))
    site.decide(0.0)
    counts = [len(site.nodes_of("j"))]
    for _ in range(RETURN_STEPS):
        site.decide(MIN_RETURN_S / (RETURN_STEPS - 1))
        counts.append(len(site.nodes_of("j")))
    assert counts == [2, 4, 6, 8, 8]


def test_whole_racks_return_in_turn():
    # A gang that shares a rack must not wait for the last step.
    site = returned_site()
    step = a_step(2, needs=WHOLE_WORKER, gang=True, same_rack=True)
    site.submit("j", step)
    site.decide(0.0)
    assert site.nodes_of("j") == ["n0", "n4"]


def test_warm_workers_of_a_returned_domain_get_work_first():
    site = returned_site(cold_left_ms=4000)
    for node in ("n6", "n7"):
        site.add_worker(node, "a")
    site.submit("j", a_step(2, needs=WHOLE_WORKER))
    site.decide(0.0)
    assert site.nodes_of("j") == ["n6", "n7"]


@pytest.mark.parametrize(
    ("cold_left_ms", "full_s"),
    [
        (0, MIN_RETURN_S),
        (1000, MIN_RETURN_S),
        (6000, 6.0),
        (-5000, MIN_RETURN_S),
        (10**9, MAX_RETURN_S),
    ],
)
def test_steps_take_until_workers_are_warm(cold_left_ms, full_s):
    # A worker that stays cold, or says so by mistake, must not hold its
    # domain back for ever.
    site = returned_site(cold_left_ms=cold_left_ms)
    site.submit("j", a_step(2 * RETURN_STEPS, needs=WHOLE_WORKER))
    site.decide(0.0)
    for elapsed_s in (full_s - 0.1, full_s + 0.1):
        assert len(site.nodes_of("j")) < 2 * RETURN_STEPS
        left_ms = cold_left_ms - int(1000 * elapsed_s)
        for node, worker in site.workers.items():
            site.workers[node] = attrs.evolve(worker, cold_left_ms=left_ms)
            site.report(node)
        site.decide(elapsed_s + 0.1 - site.now_s)
    assert len(site.nodes_of("j")) == 2 * RETURN_STEPS


def test_job_within_its_guarantee_uses_a_returned_domain_at_once():
    site = returned_site()
    step = a_step(2 * RETURN_STEPS, needs=WHOLE_WORKER)
    site.submit("urgent", step, priority=0)
    site.decide(0.0)
    assert len(site.nodes_of("urgent")) == 2 * RETURN_STEPS


def test_domain_evacuated_again_while_it_returns_gets_no_work(lines):
    site = returned_site()
    site.evacuations.request("a", 9)
    site.submit("j", a_step(2 * RETURN_STEPS, needs=WHOLE_WORKER))
    site.decide(MAX_RETURN_S)
    assert site.nodes_of("j") == []
    assert not [line for line in lines if "full share" in line]


def test_no_work_is_placed_while_requests_cannot_be_read(lines):
    # A request might have been confirmed meanwhile.
    site = Site("ab")
    site.evacuations.max_age_s = 2.5
    site.evacuations.complete_s = 0.0
    site.submit("a")
    site.decide(2.4)
    assert len(site.nodes_of("a")) == 1
    site.submit("b")
    for _ in range(3):
        site.decide(0.2)
    assert site.nodes_of("b") == []
    assert len([line for line in lines if "no new work is" in line]) == 1
    site.evacuations.complete_s = site.now_s
    site.decide()
    assert len(site.nodes_of("b")) == 1


def test_job_that_waits_for_an_evacuated_domain_is_logged_once(lines):
    site = Site("ab")
    site.submit("other", a_step(needs=WHOLE_WORKER))
    site.decide()
    site.begin("other.0.0.0")
    (node,) = site.nodes_of("other")
    evacuated = "b" if node == "n0" else "a"
    site.evacuations.request(evacuated, 7)
    site.submit("j", a_step(needs=WHOLE_WORKER))
    site.submit("elsewhere", service="other")
    site.decide(MIN_LOGGED_WAIT_MS / 1000 - 0.1)
    assert not [line for line in lines if "waits for" in line]
    for _ in range(3):
        site.decide(WAITS_PERIOD_S + 0.1)
    (line,) = [line for line in lines if "waits for" in line]
    assert "group j.0.0 waits" in line
    assert str({evacuated: 7}) in line


def test_lines_about_waiting_jobs_are_bounded(lines):
    site = Site("a")
    site.evacuations.request("a", 7)
    for number in range(MAX_LOGGED_WAITS + 50):
        site.submit(f"j{number}")
    for _ in range(3):
        site.decide(MIN_LOGGED_WAIT_MS / 1000)
    waits = [line for line in lines if "waits for" in line]
    assert len(waits) == MAX_LOGGED_WAITS
