"""Decides which tasks run where; pure, under given time.

The decider feeds rows of the table in, calls :meth:`Planner.decide` and
writes what changed. After a failed write it starts again from the rows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.board import Board
from filbertlb.batch.board import Unit
from filbertlb.batch.fitting import best_group
from filbertlb.batch.fitting import Fit
from filbertlb.batch.fitting import fit
from filbertlb.batch.fitting import Held
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import job_of
from filbertlb.batch.model import JobState
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.model import unit_of
from filbertlb.batch.workers import may_run
from filbertlb.batch.workers import WorkerView
from filbertlb.core.amounts import minus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.batch.model import Job
    from filbertlb.batch.model import Step
    from filbertlb.batch.model import WorkerReport
    from filbertlb.core.amounts import Amount

EARLY_MS = 100
"""Occurrences start at most this long before they are due."""
CORES_PER_ACCELERATOR = 8
SAVE_INTERVAL_MS = 2000
"""Work since a checkpointable task saved last is at most this long."""
NEAR_PATIENCE_MS = 4000
"""Wait for the rack where a step runs three times as fast."""
CLAIM_PATIENCE_MS = 1000
"""Wait of a guaranteed job for room before it stops costly work.

The rest of the time that a claim may take is for the stop.
"""
KEPT_SHARE = 0.5
"""Share of the workers that may be kept free for units that wait."""
SHORTEST_REST_MS = 500
CHEAP_LOSS_CORE_S = 150.0
LOSS_PER_OWN_WORK = 0.15
"""Work that a job may throw away for each core-second of its own."""
MOST_CHANGED_ROWS = 80
"""A transaction holds at most 100 entries."""


@attrs.define
class _Space:
    """Room of the usable workers during one decision."""

    room: dict[str, Amount]
    views: dict[str, WorkerView]
    kept: set[str] = attrs.Factory(set)

    def take(self, node: str, needs: Amount) -> None:
        self.room[node] = minus(self.room[node], needs)


@attrs.define
class Planner:
    """The decider's state and decisions.

    Attributes
    ----------
    guaranteed : dict of str to int
        Accelerators guaranteed by organisation.
    """

    board: Board = attrs.Factory(Board)
    workers: dict[str, WorkerView] = attrs.Factory(dict)
    guaranteed: dict[str, int] = attrs.Factory(dict)
    _reported: set[str] = attrs.Factory(set)

    def saw_report(self, report: WorkerReport, now_s: float) -> None:
        """Take in a worker's report."""
        view = self.workers.get(report.node)
        if view is None:
            self.workers[report.node] = WorkerView(report, now_s)
        else:
            view.report = report
            view.seen_s = now_s
        self._reported.add(report.node)

    def decide(self, now_s: float, now_ms: int) -> None:
        """Change the board by what is known now."""
        for node in sorted(self._reported):
            self._take_report(self.workers[node], now_s, now_ms)
        self._reported.clear()
        self._drop_dead(now_s, now_ms)
        self._cancel(now_ms)
        self._evacuate(now_ms)
        self._settle(now_ms)
        self._place(now_s, now_ms)

    def _take_report(
        self, view: WorkerView, now_s: float, now_ms: int
    ) -> None:
        report = view.report
        for end in report.ended:
            job_id = job_of(end.task)
            if job_id not in self.board.jobs:
                continue
            record = self.board.record(end.task)
            if (record.attempt, record.node) != (end.attempt, report.node):
                continue
            if record.phase in (TaskPhase.ORDERED, TaskPhase.STOPPING):
                self._judge(view, end, now_s)
                self._apply_end(end, now_ms)
        for run in report.running:
            progress = self.board.progress.get(job_of(run.task))
            if progress is not None and not progress.started:
                progress.started = True
                self.board.changed_jobs.add(progress.job_id)
                if progress.state is JobState.QUEUED:
                    self.board.set_state(
                        progress.job_id, JobState.ACTIVE, now_ms
                    )

    def _judge(self, view: WorkerView, end: RunEnd, now_s: float) -> None:
        failed = end.cause is EndCause.FAILED
        if not failed and end.cause is not EndCause.DONE:
            return
        if view.saw_end(unit_of(end.task), failed, now_s):
            logger.warning(
                "worker {} put aside: runs of several jobs failed there",
                view.report.node,
            )

    def _apply_end(self, end: RunEnd, now_ms: int) -> None:
        board = self.board
        record = board.record(end.task)
        step = board.step_of(end.task)
        done = end.cause is EndCause.DONE and not step.long_running
        failed = end.cause is EndCause.FAILED
        logger.info(
            "end of {} attempt {} on {}: {}",
            *(end.task, end.attempt, record.node, end.cause.value),
        )
        board.update(
            end.task,
            attrs.evolve(
                record,
                phase=TaskPhase.DONE if done else TaskPhase.WAITING,
                failures=record.failures + failed,
                saved=end.saved or record.saved,
                since_ms=now_ms,
                avoid=record.node if failed else record.avoid,
            ),
        )
        if step.gang:
            self._end_gang(end.task, done, now_ms)

    def _end_gang(self, task: str, done: bool, now_ms: int) -> None:
        """Let the other members follow the first end of a gang."""
        saved = self.board.record(task).saved
        for other, record in self.board.members(unit_of(task)).items():
            if done and record.phase is not TaskPhase.DONE:
                self._move(other, TaskPhase.DONE, now_ms)
            elif record.phase is TaskPhase.ORDERED:
                self._move(other, TaskPhase.STOPPING, now_ms)
            if saved and not done:
                self.board.record(other).saved = saved

    def _move(self, task: str, phase: TaskPhase, now_ms: int) -> None:
        record = self.board.record(task)
        self.board.update(
            task, attrs.evolve(record, phase=phase, since_ms=now_ms)
        )

    def _drop_dead(self, now_s: float, now_ms: int) -> None:
        for node in self.board.nodes():
            view = self.workers.get(node)
            if view is None or not view.dead(now_s):
                continue
            logger.warning(
                "worker {} is silent for {:.1f} s: its leases have run out",
                *(node, now_s - view.seen_s),
            )
            for task in self.board.tasks_on(node):
                attempt = self.board.record(task).attempt
                self._apply_end(RunEnd(task, attempt, EndCause.LOST), now_ms)

    def _cancel(self, now_ms: int) -> None:
        for job_id in self.board.cancelled & self.board.jobs.keys():
            progress = self.board.progress[job_id]
            if progress.state in (JobState.COMPLETE, JobState.FAILED):
                continue
            self._stop_job(job_id, now_ms)
            if not self.board.holding(job_id):
                self.board.set_state(job_id, JobState.CANCELLED, now_ms)

    def _stop_job(self, job_id: str, now_ms: int) -> None:
        for task in self.board.holding(job_id):
            if self.board.record(task).phase is TaskPhase.ORDERED:
                self._move(task, TaskPhase.STOPPING, now_ms)

    def _evacuate(self, now_ms: int) -> None:
        """Move work that can be saved off workers that leave."""
        for node, view in self.workers.items():
            worker = view.report.worker
            if worker is None or not worker.draining:
                continue
            for task in self.board.tasks_on(node):
                step = self.board.step_of(task)
                movable = step.checkpointable or step.long_running
                if movable:
                    self._stop_unit(unit_of(task), step.gang, task, now_ms)

    def _stop_unit(
        self, unit: str, gang: bool, task: str, now_ms: int
    ) -> None:
        for other, record in self.board.members(unit).items():
            if record.phase is TaskPhase.ORDERED and (gang or other == task):
                self._move(other, TaskPhase.STOPPING, now_ms)

    def _settle(self, now_ms: int) -> None:
        """End jobs that are complete or have failed too often."""
        for job, progress in self.board.open_jobs():
            if job.job_id in self.board.cancelled:
                continue
            if self._gave_up(job):
                self._stop_job(job.job_id, now_ms)
                if not self.board.holding(job.job_id):
                    self.board.set_state(job.job_id, JobState.FAILED, now_ms)
            elif progress.tasks and self._complete(job):
                self.board.set_state(job.job_id, JobState.COMPLETE, now_ms)

    def _gave_up(self, job: Job) -> bool:
        failures: dict[str, int] = {}
        for task, record in self.board.progress[job.job_id].tasks.items():
            step = self.board.step_of(task)
            if record.failures and not step.long_running:
                name = unit_of(task) if step.gang else task
                failures[name] = failures.get(name, 0) + record.failures
        return any(count >= job.attempts for count in failures.values())

    def _complete(self, job: Job) -> bool:
        if any(step.long_running for step in job.steps):
            return False
        return all(
            self.board.done(Unit(job, occurrence, index))
            for occurrence in range(max(1, job.times))
            for index in range(len(job.steps))
        )

    def _place(self, now_s: float, now_ms: int) -> None:
        space = self._space(now_s)
        covered = self._covered()
        units = sorted(
            self._ready_units(now_ms),
            key=lambda unit: self._rank(unit, covered, now_ms),
        )
        most_kept = int(len(space.room) * KEPT_SHARE)
        for unit in units:
            changed = len(self.board.changed_jobs)
            if changed + len(self.board.changed_nodes) > MOST_CHANGED_ROWS:
                return
            self._place_unit(unit, space, covered, now_ms)
            waiting = self._waiting(unit)
            if waiting and len(space.kept) < most_kept:
                space.kept |= self._awaited(unit, waiting, space, now_ms)

    def _awaited(
        self, unit: Unit, waiting: list[str], space: _Space, now_ms: int
    ) -> set[str]:
        """Return the nodes where a unit can start soonest.

        They are kept from less urgent units, which would otherwise take
        each part that becomes free.
        """
        step = unit.step
        room = {
            node: space.room[node]
            for node in self._candidates(unit, space, waiting)
        }
        groups = [list(room)]
        if step.same_rack or step.data_rack:
            groups = self._near_groups(unit, room, space, now_ms)
        running = [
            self._remaining(task, node, now_ms)
            for node in room
            for task in self.board.tasks_on(node)
        ]
        found = best_group(
            groups,
            room,
            step.needs,
            step.count if step.gang else 1,
            step.max_per_worker,
            running,
        )
        return set() if found is None else set(found.nodes)

    def _remaining(self, task: str, node: str, now_ms: int) -> Held:
        """Return a run with the time until its end as its cost."""
        step = self.board.step_of(task)
        run_ms = now_ms - self.board.record(task).since_ms
        left_ms = max(SHORTEST_REST_MS, step.estimate_ms - run_ms)
        return Held(node, step.needs, task, left_ms)

    def _space(self, now_s: float) -> _Space:
        usable = {
            node: view
            for node, view in sorted(self.workers.items())
            if view.usable(now_s)
        }
        room = {}
        for node, view in usable.items():
            assert view.report.worker is not None
            taken = self.board.taken(node, stopping=False)
            room[node] = minus(view.report.worker.capacity, taken)
        return _Space(room, usable)

    def _ready_units(self, now_ms: int) -> Iterable[Unit]:
        for job, _ in self.board.open_jobs():
            if job.job_id in self.board.cancelled or job.advised:
                continue
            if self._gave_up(job):
                continue
            for occurrence in range(_due_count(job, now_ms)):
                yield from self._ready_steps(job, occurrence)

    def _ready_steps(self, job: Job, occurrence: int) -> Iterable[Unit]:
        units = [
            Unit(job, occurrence, index) for index in range(len(job.steps))
        ]
        for unit in units:
            waiting = self._waiting(unit)
            if waiting and all(
                self.board.done(units[index]) for index in unit.step.after
            ):
                yield unit

    def _waiting(self, unit: Unit) -> list[str]:
        tasks = unit.tasks()
        waiting = [
            task
            for task in tasks
            if self.board.record(task).phase is TaskPhase.WAITING
        ]
        if unit.step.gang and len(waiting) < len(tasks):
            return []
        return waiting

    def _covered(self) -> set[str]:
        """Return the urgent jobs that their guarantees cover."""
        covered = set()
        left = dict(self.guaranteed)
        for job, _ in sorted(
            self.board.open_jobs(), key=lambda one: one[0].accepted_ms
        ):
            if job.priority > 0 or job.job_id in self.board.cancelled:
                continue
            need = max(step.count * step.needs[0] for step in job.steps)
            if need <= left.get(job.organisation, 0):
                left[job.organisation] -= need
                covered.add(job.job_id)
        return covered

    def _rank(
        self, unit: Unit, covered: set[str], now_ms: int
    ) -> tuple[int, bool, int, str]:
        job = unit.job
        urgency = job.priority + 1
        if job.job_id in covered:
            urgency = 0
        late = self._late(unit, now_ms)
        return (urgency, late, _due_ms(job), unit.name)

    def _late(self, unit: Unit, now_ms: int) -> bool:
        """Tell whether a unit cannot end in time even if started now."""
        return now_ms + unit.step.estimate_ms > _due_ms(unit.job)

    def _place_unit(
        self, unit: Unit, space: _Space, covered: set[str], now_ms: int
    ) -> None:
        step = unit.step
        waiting = self._waiting(unit)
        nodes = self._candidates(unit, space, waiting)
        if not nodes or not waiting:
            return
        attempts = {node: space.room[node] for node in nodes}
        if step.gang:
            found = self._fit_gang(unit, attempts, space, covered, now_ms)
            if found is not None:
                self._order(unit, waiting, found, space, now_ms)
            return
        for task in waiting:
            found = self._fit_task(unit, nodes, space, covered, now_ms)
            if found is None:
                return
            self._order(unit, [task], found, space, now_ms)

    def _candidates(
        self, unit: Unit, space: _Space, waiting: list[str]
    ) -> list[str]:
        avoided = {self.board.record(task).avoid for task in waiting}
        nodes = []
        for node, view in space.views.items():
            worker = view.report.worker
            assert worker is not None
            if node not in space.kept and may_run(
                worker, unit.job.service, unit.step.required_label
            ):
                nodes.append(node)
        preferred = [node for node in nodes if node not in avoided]
        return preferred or nodes

    def _fit_gang(
        self,
        unit: Unit,
        room: dict[str, Amount],
        space: _Space,
        covered: set[str],
        now_ms: int,
    ) -> Fit | None:
        step = unit.step
        groups: list[list[str]] = [list(room)]
        if step.same_rack or step.data_rack:
            groups = self._near_groups(unit, room, space, now_ms)
        found = best_group(
            groups, room, step.needs, step.count, step.max_per_worker
        )
        if found is not None:
            return found
        victims = self._victims(unit, covered, now_ms)
        found = best_group(
            groups,
            room,
            step.needs,
            step.count,
            step.max_per_worker,
            victims,
        )
        return self._affordable(found, unit, covered, now_ms)

    def _affordable(
        self, found: Fit | None, unit: Unit, covered: set[str], now_ms: int
    ) -> Fit | None:
        """Return a fit unless it throws too much work away."""
        if found is None:
            return None
        job, step = unit.job, unit.step
        own = _core_s(step, step.estimate_ms)
        if found.cost <= CHEAP_LOSS_CORE_S + LOSS_PER_OWN_WORK * own:
            return found
        waited_ms = now_ms - job.accepted_ms
        forced = job.job_id in covered and waited_ms >= CLAIM_PATIENCE_MS
        return found if forced else None

    def _near_groups(
        self,
        unit: Unit,
        room: dict[str, Amount],
        space: _Space,
        now_ms: int,
    ) -> list[list[str]]:
        """Return the racks that can hold a unit, or all nodes as one."""
        step = unit.step
        racks: dict[str, list[str]] = {}
        for node in room:
            worker = space.views[node].report.worker
            assert worker is not None
            racks.setdefault(worker.rack, []).append(node)
        if step.data_rack in racks:
            racks = {step.data_rack: racks[step.data_rack]}
        able = [
            nodes
            for nodes in racks.values()
            if self._could_hold(unit, nodes, space)
        ]
        waited_ms = now_ms - unit.job.accepted_ms
        patient = waited_ms < NEAR_PATIENCE_MS or unit.job.priority == 0
        if able and patient:
            return able
        return [*able, list(room)]

    def _could_hold(self, unit: Unit, nodes: list[str], space: _Space) -> bool:
        """Tell whether a unit fits on nodes that run nothing else."""
        whole = {}
        for node in nodes:
            worker = space.views[node].report.worker
            assert worker is not None
            whole[node] = worker.capacity
        step = unit.step
        count = step.count if step.gang else 1
        return fit(whole, step.needs, count, step.max_per_worker) is not None

    def _fit_task(
        self,
        unit: Unit,
        nodes: list[str],
        space: _Space,
        covered: set[str],
        now_ms: int,
    ) -> Fit | None:
        step = unit.step
        room = {node: space.room[node] for node in nodes}
        groups = [nodes]
        if step.data_rack:
            groups = self._near_groups(unit, room, space, now_ms)
        used: dict[str, int] = {}
        for record in self.board.members(unit.name).values():
            if record.phase in (TaskPhase.ORDERED, TaskPhase.STOPPING):
                used[record.node] = used.get(record.node, 0) + 1
        for offered in ([], self._victims(unit, covered, now_ms)):
            for group in groups:
                found = fit(
                    {node: room[node] for node in group},
                    step.needs,
                    1,
                    step.max_per_worker,
                    offered,
                    used,
                )
                found = self._affordable(found, unit, covered, now_ms)
                if found is not None:
                    return found
        return None

    def _victims(
        self, unit: Unit, covered: set[str], now_ms: int
    ) -> list[Held]:
        """Return the runs that may be stopped for a more urgent unit."""
        held: list[Held] = []
        claims = unit.job.job_id in covered
        if not claims and self._late(unit, now_ms):
            return held
        for node in self.board.nodes():
            for task in self.board.tasks_on(node):
                record = self.board.record(task)
                if record.phase is not TaskPhase.ORDERED:
                    continue
                job = self.board.jobs[job_of(task)]
                borrows = (
                    job.priority == 0 and job.job_id not in covered and claims
                )
                if job.priority > unit.job.priority or borrows:
                    held.append(self._held(task, node, now_ms))
        return held

    def _held(self, task: str, node: str, now_ms: int) -> Held:
        step = self.board.step_of(task)
        name = unit_of(task) if step.gang else task
        run_ms = now_ms - self.board.record(task).since_ms
        if step.checkpointable:
            run_ms = min(run_ms, SAVE_INTERVAL_MS)
        cost = _core_s(step, run_ms)
        if not step.gang:
            cost /= step.count
        return Held(node, step.needs, name, cost)

    def _order(
        self,
        unit: Unit,
        tasks: list[str],
        found: Fit,
        space: _Space,
        now_ms: int,
    ) -> None:
        for victim in sorted(found.victims):
            self._preempt(victim, unit, space, now_ms)
        attempt = 1 + max(self.board.record(task).attempt for task in tasks)
        for task, node in zip(tasks, found.nodes, strict=True):
            worker = space.views[node].report.worker
            assert worker is not None
            record = self.board.record(task)
            number = attempt if unit.step.gang else record.attempt + 1
            self.board.update(
                task,
                TaskRecord(
                    TaskPhase.ORDERED,
                    number,
                    record.failures,
                    node,
                    worker.incarnation,
                    record.saved,
                    now_ms,
                    record.avoid,
                ),
            )
            space.take(node, unit.step.needs)
        logger.info(
            "order {} attempt {} on {} (waited {} ms, stops {})",
            *(unit.name, attempt, ",".join(found.nodes)),
            *(now_ms - unit.job.accepted_ms, sorted(found.victims)),
        )

    def _preempt(
        self, victim: str, unit: Unit, space: _Space, now_ms: int
    ) -> None:
        """Stop a unit or a single task for a more urgent unit."""
        tasks = list(self.board.members(victim)) or [victim]
        for task in tasks:
            record = self.board.record(task)
            if record.phase is not TaskPhase.ORDERED:
                continue
            node = record.node
            self._move(task, TaskPhase.STOPPING, now_ms)
            if node in space.room:
                taken = self.board.taken(node, stopping=False)
                worker = space.views[node].report.worker
                assert worker is not None
                space.room[node] = minus(worker.capacity, taken)
        logger.info("stop {} for {}", victim, unit.name)


def _core_s(step: Step, run_ms: int) -> float:
    """Return the work of all tasks of a step in core-seconds."""
    cores = step.needs[1] / 1000 + CORES_PER_ACCELERATOR * step.needs[0]
    return cores * step.count * run_ms / 1000


def _due_ms(job: Job) -> int:
    """Return until when a job is on time."""
    chain_ms = sum(step.estimate_ms for step in job.steps)
    return job.accepted_ms + job.target_ms + int(job.slack_factor * chain_ms)


def _due_count(job: Job, now_ms: int) -> int:
    """Return how many occurrences have come due."""
    if not job.times:
        return 1
    since_ms = now_ms + EARLY_MS - job.first_due_ms
    if since_ms < 0:
        return 0
    if job.interval_ms <= 0:
        return job.times
    return min(job.times, 1 + since_ms // job.interval_ms)
