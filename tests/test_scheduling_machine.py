from __future__ import annotations

from collections import Counter
from functools import partial

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from filbertlb.core.amounts import needed
from filbertlb.core.model import Adjacency
from filbertlb.core.model import Assignment
from filbertlb.core.model import Guarantee
from filbertlb.core.model import JobClass
from filbertlb.core.model import JobSpec
from filbertlb.core.model import Organisation
from filbertlb.core.model import Resources
from filbertlb.core.model import Shape
from filbertlb.core.model import Worker
from filbertlb.core.scheduling import GuaranteeRefusedError
from filbertlb.core.scheduling import ImpossibleJobError
from filbertlb.core.scheduling import JobEnd
from filbertlb.core.scheduling import RunEnd
from filbertlb.core.scheduling import StartJob
from filbertlb.core.scheduling import StopJob
from filbertlb.scheduling.admission import fits_guarantee
from filbertlb.scheduling.config import SchedulerConfig
from filbertlb.scheduling.config import WeightProfile
from filbertlb.scheduling.guaranteed import GuaranteedScheduler
from filbertlb.scheduling.reservations import LARGER_VICTIM_FACTOR

CAPACITY = Resources(accelerators=4, cores=8, memory_gib=16)
WORKERS = tuple(
    Worker(f"w{n}", f"r{n // 2}", f"d{n // 4}", CAPACITY) for n in range(8)
)
WORKER_BY_ID = {worker.worker_id: worker for worker in WORKERS}
CONFIG = SchedulerConfig(reserve_after_s=10, starvation_s=100)
INITIAL_ORGANISATIONS = (
    Organisation(
        "a",
        (
            Guarantee("g", Shape(2, Resources(4, 4, 4)), 2),
            Guarantee("h", Shape(1, Resources(2, 1, 1)), 2),
        ),
    ),
    Organisation(
        "b",
        (Guarantee("g", Shape(3, Resources(2, 4, 4), Adjacency.DOMAIN)),),
    ),
)

shapes = st.builds(
    Shape,
    members=st.integers(1, 4),
    each=st.builds(
        Resources,
        accelerators=st.integers(0, 4),
        cores=st.sampled_from((0.5, 2, 8)),
        memory_gib=st.sampled_from((1, 4)),
    ),
    adjacency=st.sampled_from(Adjacency),
    failure_domain=st.sampled_from((None, None, "d0")),
)
organisation_lists = st.lists(
    st.builds(
        Organisation,
        organisation_id=st.sampled_from(("a", "b")),
        guarantees=st.lists(
            st.builds(
                Guarantee,
                guarantee_id=st.sampled_from(("g", "h")),
                shape=shapes,
                count=st.integers(1, 2),
            ),
            max_size=2,
            unique_by=lambda item: item.guarantee_id,
        ).map(tuple),
    ),
    max_size=2,
    unique_by=lambda item: item.organisation_id,
)


def is_adjacent(shape, worker_ids):
    """Return whether workers satisfy a shape's adjacency and domain."""
    workers = [WORKER_BY_ID[name] for name in worker_ids]
    domains = {worker.failure_domain for worker in workers}
    if shape.failure_domain is not None:
        domains.add(shape.failure_domain)
    kind = {
        Adjacency.WORKER: "worker_id",
        Adjacency.RACK: "rack",
        Adjacency.DOMAIN: "failure_domain",
    }[shape.adjacency]
    has_same_group = len({getattr(worker, kind) for worker in workers}) == 1
    return has_same_group and len(domains) == 1


def overfull(members):
    """Return the workers on which the given members exceed the capacity."""
    used = {}
    for name, need in members:
        used[name] = used.get(name, Resources()) + need
    return {name for name, sum_ in used.items() if not CAPACITY.fits(sum_)}


def fits_beside(shape, members, online):
    """Return whether a shape fits on online workers beside the members."""
    used = Counter()
    for name, need in members:
        used[name, 0] += need.accelerators
        used[name, 1] += need.cores
        used[name, 2] += need.memory_gib
    each = (shape.each.accelerators, shape.each.cores, shape.each.memory_gib)
    total = (CAPACITY.accelerators, CAPACITY.cores, CAPACITY.memory_gib)
    members_by_group = Counter()
    for name in online:
        worker = WORKER_BY_ID[name]
        if shape.failure_domain in (None, worker.failure_domain):
            count = min(
                (total[part] - used[name, part]) // each[part]
                for part in range(3)
                if each[part]
            )
            key = {
                Adjacency.WORKER: name,
                Adjacency.RACK: worker.rack,
                Adjacency.DOMAIN: worker.failure_domain,
            }[shape.adjacency]
            members_by_group[key] += int(max(0, count))
    return max(members_by_group.values(), default=0) >= shape.members


class SchedulingMachine(RuleBasedStateMachine):
    """Checks the policy against a model of jobs, runs and workers.

    Guards against placements that exceed a worker or violate adjacency,
    stops of runs that may not be stopped, guarantees lost without being
    reported, and starvation of claims and of the oldest job.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.online = set()
        self.jobs = {}
        self.running = {}
        self.stopping = set()
        self.overusing = set()
        self.measured = {}
        self.count = 0

    @initialize(profile=st.sampled_from(WeightProfile))
    def start_workers(self, profile):
        self.config = attrs.evolve(CONFIG, profile=profile)
        self.large_first = profile is WeightProfile.FRAGMENTATION
        self.policy = GuaranteedScheduler(self.config)
        for worker in WORKERS:
            self.policy.add_worker(worker, 0.0)
            self.online.add(worker.worker_id)
        self.policy.set_organisations(INITIAL_ORGANISATIONS, 0.0)

    @rule(organisations=organisation_lists)
    def change_organisations(self, organisations):
        before = self.policy.risks()
        placed = [
            (unit, unit.worker_ids)
            for unit in self.policy.state.packing.units()
        ]
        try:
            self.policy.set_organisations(organisations, self.now_s)
        except GuaranteeRefusedError:
            assert self.policy.risks() == before
            after = self.policy.state.packing.units()
            assert [(u, u.worker_ids) for u in after] == placed

    @rule(
        shape=shapes,
        organisation=st.sampled_from(("a", "b", "c")),
        job_class=st.sampled_from(JobClass),
        idempotent=st.booleans(),
        checkpointable=st.booleans(),
        copies=st.sampled_from((1, 1, 6)),
    )
    def submit(
        self, shape, organisation, job_class, idempotent, checkpointable,
        copies,
    ):  # fmt: skip
        for _ in range(copies):
            self.submit_job(
                JobSpec(
                    "",
                    organisation,
                    shape,
                    job_class,
                    idempotent,
                    checkpointable,
                )  # fmt: skip
            )

    @rule(data=st.data(), idempotent=st.booleans())
    def submit_claim(self, data, idempotent):
        units = list(self.policy.state.packing.units())
        if units:
            unit = data.draw(st.sampled_from(units))
            self.submit_job(
                JobSpec(
                    "",
                    unit.organisation_id,
                    unit.guarantee.shape,
                    idempotent=idempotent,
                    guarantee_id=unit.guarantee.guarantee_id,
                )
            )

    def submit_job(self, job):
        self.count += 1
        job = attrs.evolve(
            job, job_id=f"j{self.count}", submitted_at_s=self.now_s
        )
        try:
            self.policy.submit(job, self.now_s)
        except ImpossibleJobError:
            return
        self.jobs[job.job_id] = job

    @precondition(lambda self: self.running)
    @rule(data=st.data(), end=st.sampled_from(JobEnd))
    def end(self, data, end):
        self.finish_run(data.draw(st.sampled_from(sorted(self.running))), end)

    def finish_run(self, job_id, end):
        job, workers = self.jobs[job_id], self.running.pop(job_id)
        self.stopping.discard(job_id)
        self.overusing.discard(job_id)
        self.measured.pop(job_id, None)
        checkpointed = job.checkpointable
        failed = workers[:1] if end is JobEnd.FAILED else ()
        run_end = RunEnd(job_id, end, failed, checkpointed=checkpointed)
        self.policy.ended(run_end, self.now_s)
        if self.policy.why(job_id, self.now_s) is None:
            del self.jobs[job_id]

    @precondition(lambda self: self.jobs)
    @rule(data=st.data())
    def cancel(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.jobs)))
        was_running = job_id in self.running
        cancelled = self.policy.cancel(job_id, self.now_s)
        assert cancelled is not was_running
        if cancelled:
            del self.jobs[job_id]

    @rule(group=st.sampled_from(("w0", "w5", "r0", "r3", "d0", "d1")))
    def lose(self, group):
        lost = set()
        for worker in WORKERS:
            if group in (worker.worker_id, worker.rack, worker.failure_domain):
                self.online.discard(worker.worker_id)
                lost.update(
                    self.policy.remove_worker(worker.worker_id, self.now_s)
                )
        for job_id in sorted(lost & self.running.keys()):
            self.finish_run(job_id, JobEnd.WORKER_LOST)

    @rule()
    def restore_workers(self):
        for worker in WORKERS:
            if worker.worker_id not in self.online:
                self.policy.add_worker(worker, self.now_s)
                self.online.add(worker.worker_id)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), cores=st.sampled_from((0, 3, 9)))
    def report_measured_usage(self, data, cores):
        job_id = data.draw(st.sampled_from(sorted(self.running)))
        self.policy.report_usage(job_id, Resources(cores=cores), self.now_s)
        self.measured[job_id] = cores
        self.overusing.discard(job_id)
        if cores > CONFIG.overuse_factor * self.jobs[job_id].shape.each.cores:
            self.overusing.add(job_id)

    @rule(shuffled=st.randoms(use_true_random=False))
    def take_over(self, shuffled):
        previous, self.policy = self.policy, GuaranteedScheduler(self.config)
        organisations = previous.state.shares.by_id.values()
        steps = [
            partial(self.policy.restore_organisations, organisations, 0.0)
        ]
        for name in sorted(self.online):
            steps.append(
                partial(self.policy.add_worker, WORKER_BY_ID[name], 0.0)
            )
        for job_id, workers in sorted(self.running.items()):
            assignment = Assignment(job_id, workers)
            job = self.jobs[job_id]
            steps.append(partial(self.policy.adopt, job, assignment))
        for job_id in sorted(self.jobs.keys() - self.running.keys()):
            job = self.jobs[job_id]
            steps.append(partial(self.policy.restore, job, self.now_s))
        shuffled.shuffle(steps)
        for step in steps:
            step()
        self.stopping.clear()

    @rule(seconds=st.sampled_from((0, 1, 20, 200)))
    def pass_time(self, seconds):
        self.now_s += seconds
        self.decide()

    def decide(self):
        decisions = self.policy.decide(self.now_s)
        for decision in decisions:
            if isinstance(decision, StopJob):
                self.stop(decision)
            else:
                self.start(decision)
        return decisions

    def start(self, decision: StartJob):
        job_id = decision.assignment.job_id
        workers = decision.assignment.worker_ids
        job = self.jobs[job_id]
        assert job_id not in self.running
        assert len(workers) == job.shape.members
        assert is_adjacent(job.shape, workers)
        assert self.online >= set(workers)
        self.running[job_id] = workers
        assert not overfull(self.members(self.running))

    def stop(self, decision: StopJob):
        job = self.jobs[decision.job_id]
        assert decision.job_id in self.running.keys() - self.stopping
        assert job.stoppable
        if decision.for_job_id:
            assert decision.job_id not in self.claimed()
        else:
            moved = job.checkpointable and self.large_first
            assert moved or decision.job_id in self.overusing
        assert decision.checkpoint is job.checkpointable
        self.stopping.add(decision.job_id)

    @rule(seconds=st.sampled_from((0, 200)))
    def run_until_idle(self, seconds):
        self.now_s += seconds
        while self.decide() or self.stopping:
            for job_id in sorted(self.stopping):
                self.finish_run(job_id, JobEnd.STOPPED)
        assert not self.policy.decide(self.now_s)
        self.check_claims_are_served()
        self.check_oldest_is_served()

    def check_claims_are_served(self):
        """Check that claims of free units wait only after failures."""
        for unit in self.policy.state.packing.units():
            key = (unit.organisation_id, unit.guarantee.guarantee_id)
            free = unit.worker_ids and not unit.claimed_by
            for job_id in self.jobs.keys() - self.running.keys():
                job = self.jobs[job_id]
                reason = self.policy.why(job_id, self.now_s)
                named = (job.organisation_id, job.guarantee_id) == key
                if named and fits_guarantee(job.shape, unit.guarantee):
                    assert not free or reason == "waits_after_failures"

    def check_oldest_is_served(self):
        """Check that the oldest job starves only if it cannot be fitted.

        It must not fit even with all eligible runs preempted.
        """
        queue = self.policy.state.queue
        waiting = next(
            (item for item in queue.oldest() if not queue.is_delayed(item)),
            None,
        )
        if waiting is None or not waiting.job.stoppable:
            return
        factor = LARGER_VICTIM_FACTOR if self.large_first else 1
        if self.now_s - waiting.since_s < CONFIG.starvation_s * factor:
            return
        claimed = self.claimed()
        ineligible = {
            job_id: workers
            for job_id, workers in self.running.items()
            if not self.jobs[job_id].stoppable
            or job_id in claimed
            or self.jobs[job_id].job_class is JobClass.URGENT
            or self.policy.state.waiting_by_id[job_id].place < waiting.place
        }
        avoided = (
            set(self.policy.state.health.aside_until_by_id) | waiting.avoid
        )
        with_failures = self.policy.state.health.record_by_id.keys()
        online = self.online - avoided - with_failures
        if waiting.need != needed(waiting.job.shape.each):
            return
        members = [
            (name, Resources(need.accelerators, cores, need.memory_gib))
            for job_id in ineligible
            for name, need in self.members({job_id: ineligible[job_id]})
            for cores in [max(need.cores, self.measured.get(job_id, 0))]
        ]
        assert not fits_beside(waiting.job.shape, members, online)

    def claimed(self):
        units = self.policy.state.packing.units()
        return {unit.claimed_by for unit in units if unit.claimed_by}

    def members(self, assignments):
        return [
            (name, self.jobs[job_id].shape.each)
            for job_id, workers in assignments.items()
            for name in workers
        ]

    @invariant()
    def every_unit_is_placed_or_at_risk(self):
        claimed = self.claimed()
        non_preemptible = {
            job_id: workers
            for job_id, workers in self.running.items()
            if not self.jobs[job_id].stoppable and job_id not in claimed
        }
        members = self.members(non_preemptible)
        missing = Counter()
        for unit in self.policy.state.packing.units():
            shape = unit.guarantee.shape
            if not unit.worker_ids:
                missing[unit.organisation_id, unit.guarantee.guarantee_id] += 1
                continue
            assert is_adjacent(shape, unit.worker_ids) or unit.claimed_by
            assert self.online >= set(unit.worker_ids) or unit.claimed_by
            if not unit.claimed_by:
                assert len(unit.worker_ids) == shape.members
            job_id = unit.claimed_by
            if job_id in self.running:
                members += self.members({job_id: self.running[job_id]})
            else:
                members += [(name, shape.each) for name in unit.worker_ids]
        assert not overfull(members)
        assert missing == {
            (risk.organisation_id, risk.guarantee_id): risk.missing
            for risk in self.policy.risks()
        }


SchedulingMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=40
)
TestSchedulingMachine = SchedulingMachine.TestCase
