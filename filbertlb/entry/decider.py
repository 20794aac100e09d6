"""The decider of a scope: places jobs and drives their gangs.

It acts only under the lease of its scope. When the lease is lost it
forgets everything; when it is gained, state is rebuilt from the job
rows and from the agents' announcements.
"""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

from loguru import logger

from filbertlb.core.gang import Gang
from filbertlb.core.gang_plan import GangBounds
from filbertlb.core.gang_recovery import has_news
from filbertlb.core.gang_recovery import recover
from filbertlb.core.gang_recovery import settle_status
from filbertlb.core.job_record import new_attempt_id
from filbertlb.core.model import Assignment
from filbertlb.core.model import JobState
from filbertlb.core.scheduling import StartJob
from filbertlb.core.scheduling import StopJob
from filbertlb.entry.attempt_plan import make_plan
from filbertlb.entry.attempt_plan import run_end
from filbertlb.entry.events import CommandAnswered
from filbertlb.entry.events import ConfigChanged
from filbertlb.entry.events import DecisionWritten
from filbertlb.entry.events import EndpointLost
from filbertlb.entry.events import EndpointSeen
from filbertlb.entry.events import JobRead
from filbertlb.entry.events import JobsLoaded
from filbertlb.entry.events import LeaseAcquired
from filbertlb.entry.events import LeaseLost
from filbertlb.entry.events import MemberChecked
from filbertlb.entry.events import OutcomeWritten
from filbertlb.entry.gang_driver import GangDriver
from filbertlb.entry.job_table import OpenJob
from filbertlb.entry.member_checks import MemberChecks
from filbertlb.entry.worker_view import worker_of
from filbertlb.entry.worker_view import WorkerView
from filbertlb.messages import JobHint
from filbertlb.messages import Role
from filbertlb.messages import TaskEnded
from filbertlb.scheduling.config import SchedulerConfig
from filbertlb.transport.codec import Envelope

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.core.clock import Clock
    from filbertlb.core.job_record import JobRecord
    from filbertlb.core.scheduling import Decision
    from filbertlb.core.scheduling import GuaranteeAtRisk
    from filbertlb.core.scheduling import SchedulingPolicy
    from filbertlb.core.scheduling import WaitReason
    from filbertlb.core.site import SiteConfig
    from filbertlb.entry.job_writer import JobWriter
    from filbertlb.messages import Announce
    from filbertlb.tasks import Mailbox
    from filbertlb.transport.link import Link

DECIDE_DELAY_S = 0.005
DECIDE_PERIOD_S = 0.25
RESCAN_PERIOD_S = 5.0
REREAD_PERIOD_S = 60.0
TAKEOVER_GRACE_S = 2.5
RECOVERY_PERIOD_S = 0.5


class Decider:
    """Behaviour that places jobs in one scope.

    Parameters
    ----------
    scope : str
        Scope that it decides for.
    link : Link
        This process's link.
    writer : JobWriter
        Reads and writes the job rows.
    mailbox : Mailbox
        This task's own mailbox.
    make_policy : callable
        Returns a fresh scheduling policy.
    announce : callable
        Tells all entries that a job's row has changed.
    holds : callable
        Tells whether the lease of the scope is held now.
    bounds : GangBounds
        Times of the gang start protocol.
    clock : Clock
        Source of wall time for the policy.
    """

    def __init__(
        self,
        scope: str,
        link: Link,
        writer: JobWriter,
        mailbox: Mailbox,
        make_policy: Callable[[SchedulerConfig], SchedulingPolicy],
        announce: Callable[[JobHint], None],
        holds: Callable[[], bool],
        bounds: GangBounds,
        clock: Clock,
    ) -> None:
        self._scope = scope
        self._link = link
        self._writer = writer
        self._make_policy = make_policy
        self._holds = holds
        self._bounds = bounds
        # Waits count from submission, which other entries recorded.
        self._clock = clock
        self._view = WorkerView()
        self._gangs = GangDriver(
            link, writer, mailbox, self._view.announce_by_id, announce
        )
        self._config: SiteConfig | None = None
        self._rescan_due_s = math.inf
        self._reread_due_s = math.inf
        self._forget()

    @property
    def epoch(self) -> int:
        """Return the epoch under which it acts; 0 if it does not."""
        return self._epoch

    def why(self, job_id: str) -> WaitReason | None:
        """Return why a queued job waits, or None."""
        return self._policy.why(job_id, self._clock.wall())

    def counts(self) -> tuple[int, int]:
        """Return how many jobs wait here and how many are under way."""
        running = len(self._gangs.running())
        return max(0, len(self._job_by_id) - running), running

    def risks(self) -> tuple[GuaranteeAtRisk, ...]:
        """Return the guarantees that have no placement at present."""
        return self._policy.risks() if self._loaded else ()

    def receive(self, message: Any, now_s: float) -> None:
        """Take one message."""
        self._check_lease()
        match message:
            case Envelope():
                self._take_envelope(message, now_s)
            case EndpointSeen():
                self._endpoint_seen(message.announce, now_s)
            case EndpointLost():
                self._endpoint_lost(message.announce, now_s)
            case CommandAnswered():
                self._answered(message, now_s)
            case _:
                self._take_own(message, now_s)

    def tick(self, now_s: float) -> None:
        """Repeat, enforce bounds, scan again and decide."""
        self._check_lease()
        if not self._epoch:
            return
        if now_s >= self._gangs.next_due_s:
            self._gangs.tick(now_s)
        if now_s >= self._rescan_due_s:
            self._rescan_due_s = now_s + RESCAN_PERIOD_S
            self._checks.forget_old(now_s)
            self._writer.load(self._epoch, self._known_jobs(now_s))
        if self._loaded and now_s >= self._decide_due_s:
            self._decide(now_s)

    def next_due_s(self, now_s: float) -> float:
        """Return the time of the next tick in seconds."""
        if not self._epoch:
            return math.inf
        due_s = min(self._gangs.next_due_s, self._rescan_due_s)
        return min(due_s, self._decide_due_s) if self._loaded else due_s

    def _check_lease(self) -> None:
        """Stop acting as soon as the lease has lapsed on this clock."""
        if self._epoch and not self._holds():
            logger.warning("lease of scope {} lapsed", self._scope)
            self._forget()

    def _take_own(self, message: Any, now_s: float) -> None:
        match message:
            case LeaseAcquired():
                self._elected(message, now_s)
            case LeaseLost():
                logger.warning("lease of scope {} lost", self._scope)
                self._forget()
            case ConfigChanged():
                self._config_changed(message.config, now_s)
            case JobsLoaded():
                self._jobs_loaded(message, now_s)
            case JobRead():
                self._job_read(message.job, now_s)
            case DecisionWritten():
                self._decision_written(message, now_s)
            case OutcomeWritten():
                self._outcome_written(message, now_s)
            case MemberChecked():
                self._member_checked(message, now_s)

    def _take_envelope(self, envelope: Envelope, now_s: float) -> None:
        message = envelope.message
        if not self._epoch:
            return
        if isinstance(message, JobHint):
            self._writer.read(OpenJob(message.organisation_id, message.job_id))
        elif isinstance(message, TaskEnded):
            status = message.status
            running = self._gangs.get(status.token.attempt_id)
            if running is not None:
                effects = running.gang.ended(status, now_s)
                self._gangs.carry_out(running, effects)

    def _forget(self) -> None:
        self._epoch = 0
        self._serial = 0
        self._loaded = False
        self._elected_at_s = math.inf
        self._decide_due_s = math.inf
        self._rescan_due_s = math.inf
        self._policy = self._make_policy(self._scheduler_config())
        self._gangs.clear()
        self._job_by_id: dict[str, JobRecord] = {}
        self._checks = MemberChecks()

    def _scheduler_config(self) -> SchedulerConfig:
        if self._config is None:
            return SchedulerConfig()
        return self._config.scheduler

    def _elected(self, elected: LeaseAcquired, now_s: float) -> None:
        logger.info(
            "decides for {} in epoch {}", self._scope, elected.lease.epoch
        )
        self._begin(elected.lease.epoch, now_s)

    def _begin(self, epoch: int, now_s: float) -> None:
        serial = self._serial if epoch == self._epoch else 0
        self._forget()
        self._epoch = epoch
        self._serial = serial
        self._elected_at_s = now_s
        self._rescan_due_s = now_s + RESCAN_PERIOD_S
        for announce in self._view.announce_by_id.values():
            self._add_worker(announce, now_s)
        self._restore_organisations(now_s)
        self._reread_due_s = now_s + REREAD_PERIOD_S
        self._writer.load(self._epoch, frozenset())

    def _config_changed(self, config: SiteConfig, now_s: float) -> None:
        known = self._config
        self._config = config
        if not self._epoch:
            return
        if known is None or known.scheduler != config.scheduler:
            # State under other thresholds is built afresh, as after a
            # takeover; rows and announcements hold all of it.
            self._begin(self._epoch, now_s)
            return
        self._restore_organisations(now_s)

    def _restore_organisations(self, now_s: float) -> None:
        if self._config is not None:
            self._policy.restore_organisations(
                self._config.model_organisations(), self._clock.wall()
            )
            self._wake(now_s)

    def _endpoint_seen(self, announce: Announce, now_s: float) -> None:
        if announce.role != Role.WORKER:
            return
        has_changed = self._view.take(announce)
        if not self._epoch:
            return
        if has_changed:
            self._add_worker(announce, now_s)
        attempt_ids = {task.token.attempt_id for task in announce.tasks}
        for running in self._gangs.at(announce.endpoint_id, attempt_ids):
            effects = running.gang.heard(
                announce.endpoint_id,
                announce.incarnation,
                announce.tasks,
                now_s,
            )
            self._gangs.carry_out(running, effects)
        if self._loaded:
            self._check_members(announce, now_s)

    def _add_worker(self, announce: Announce, now_s: float) -> None:
        if announce.draining:
            self._drain_worker(announce.endpoint_id, now_s)
        else:
            self._policy.add_worker(worker_of(announce), self._clock.wall())
        self._wake(now_s)

    def _drain_worker(self, endpoint_id: str, now_s: float) -> None:
        """Move what can be checkpointed away from a leaving worker."""
        within_s = self._scheduler_config().reclaim_within_s
        for job_id in self._policy.remove_worker(
            endpoint_id, self._clock.wall()
        ):
            running = self._gangs.of_job(job_id)
            if running is not None and running.job.spec.checkpointable:
                stop = StopJob(job_id, checkpoint=True, within_s=within_s)
                self._stop(stop, now_s)

    def _endpoint_lost(self, announce: Announce, now_s: float) -> None:
        if not self._view.drop(announce.endpoint_id) or not self._epoch:
            return
        self._policy.remove_worker(announce.endpoint_id, self._clock.wall())
        for running in self._gangs.at(announce.endpoint_id, ()):
            effects = running.gang.lost(announce.endpoint_id, now_s)
            self._gangs.carry_out(running, effects)
        self._wake(now_s)

    def _check_members(self, announce: Announce, now_s: float) -> None:
        """Look up the rows of members that no gang here accounts for.

        The row is read after the announcement came, so that a member
        is never judged by what was known before it.
        """
        for status in announce.tasks:
            token = status.token
            if token.scope != self._scope:
                continue
            if self._gangs.get(token.attempt_id) is not None:
                continue
            if self._checks.may_check(token, now_s):
                self._writer.check_member(announce.address, status)

    def _member_checked(self, checked: MemberChecked, now_s: float) -> None:
        status = checked.status
        token = status.token
        if self._gangs.get(token.attempt_id) is not None:
            return
        command = settle_status(status, checked.job, self._epoch)
        if command is not None:
            self._gangs.send(checked.address, command)
        elif checked.job is not None:
            self._job_read(checked.job, now_s)

    def _known_jobs(self, now_s: float) -> frozenset[str]:
        """Return the jobs whose rows need no second look now.

        Hints tell of changes; lost hints are made up for by reading
        every row now and then.
        """
        if now_s >= self._reread_due_s:
            self._reread_due_s = now_s + REREAD_PERIOD_S
            return frozenset()
        queued = (
            job_id
            for job_id, job in self._job_by_id.items()
            if job.attempt is None
        )
        running = (one.job.spec.job_id for one in self._gangs.running())
        return frozenset((*queued, *running))

    def _jobs_loaded(self, loaded: JobsLoaded, now_s: float) -> None:
        if loaded.epoch != self._epoch:
            return
        for job in loaded.jobs:
            self._job_read(job, now_s)
        self._loaded = True
        self._wake(now_s)

    def _job_read(self, job: JobRecord, now_s: float) -> None:
        job_id = job.spec.job_id
        running = self._gangs.of_job(job_id)
        if running is not None:
            if job.cancel_requested and not running.is_closed:
                self._gangs.carry_out(running, running.gang.cancel(now_s))
            return
        known = self._job_by_id.get(job_id)
        if job.is_final:
            self._job_by_id.pop(job_id, None)
            self._policy.cancel(job_id, self._clock.wall())
        elif job.attempt is not None:
            self._recover(job, now_s)
        elif known is None:
            self._queue(job, now_s)
        self._wake(now_s)

    def _queue(self, job: JobRecord, now_s: float) -> None:
        # It was checked against the configuration when it was accepted;
        # the workers that are known now may be too few to tell.
        self._policy.restore(job.spec, self._clock.wall())
        self._job_by_id[job.spec.job_id] = job

    def _recover(self, job: JobRecord, now_s: float) -> None:
        assert job.attempt is not None
        reports = self._view.reports()
        if not has_news(job, reports):
            return
        ids = tuple(member.endpoint_id for member in job.attempt.members)
        is_known = all(endpoint_id in reports for endpoint_id in ids)
        if not is_known and now_s < self._elected_at_s + TAKEOVER_GRACE_S:
            # Its agents may still announce themselves.
            due_s = now_s + RECOVERY_PERIOD_S
            self._rescan_due_s = min(self._rescan_due_s, due_s)
            return
        recovery = recover(job, self._epoch, reports, self._bounds, now_s)
        if recovery is None:
            return
        self._job_by_id[job.spec.job_id] = job
        self._policy.adopt(job.spec, Assignment(job.spec.job_id, ids))
        running = self._gangs.add(recovery.gang, job)
        self._gangs.carry_out(running, recovery.effects)
        for endpoint_id in set(ids) - set(reports):
            effects = running.gang.lost(endpoint_id, now_s)
            self._gangs.carry_out(running, effects)

    def _wake(self, now_s: float) -> None:
        self._decide_due_s = min(self._decide_due_s, now_s + DECIDE_DELAY_S)

    def _decide(self, now_s: float) -> None:
        self._decide_due_s = now_s + DECIDE_PERIOD_S
        decisions = self._policy.decide(self._clock.wall())
        for decision in decisions:
            self._act(decision, now_s)
        if decisions:
            # One call returns a bounded number; a burst takes several.
            self._wake(now_s)

    def _act(self, decision: Decision, now_s: float) -> None:
        if isinstance(decision, StartJob):
            self._start(decision.assignment, now_s)
        elif isinstance(decision, StopJob):
            self._stop(decision, now_s)

    def _start(self, assignment: Assignment, now_s: float) -> None:
        job = self._job_by_id[assignment.job_id]
        self._serial += 1
        attempt_id = new_attempt_id(job.spec.job_id, self._epoch, self._serial)
        members = self._view.members(assignment.worker_ids)
        plan = make_plan(job, attempt_id, self._epoch, members)
        running = self._gangs.add(Gang(plan, self._bounds), job)
        self._gangs.carry_out(running, running.gang.begin(now_s))

    def _stop(self, stop: StopJob, now_s: float) -> None:
        running = self._gangs.of_job(stop.job_id)
        if running is None or running.is_closed:
            return
        effects = running.gang.stop(
            now_s, checkpoint=stop.checkpoint, within_s=stop.within_s
        )
        self._writer.write_stopping(running.gang.plan)
        self._gangs.carry_out(running, effects)

    def _answered(self, answered: CommandAnswered, now_s: float) -> None:
        running = self._gangs.get(answered.attempt_id)
        if running is None:
            return
        effects = running.gang.answered(
            answered.member, answered.command, answered.reply, now_s
        )
        self._gangs.carry_out(running, effects)

    def _decision_written(
        self, message: DecisionWritten, now_s: float
    ) -> None:
        running = self._gangs.get(message.attempt_id)
        if running is not None:
            effects = running.gang.decision_written(message.written, now_s)
            self._gangs.carry_out(running, effects)

    def _outcome_written(self, message: OutcomeWritten, now_s: float) -> None:
        job = message.job
        running = self._gangs.remove(
            message.attempt_id, acknowledge=job is not None
        )
        if running is None:
            return
        outcome = running.gang.outcome
        assert outcome is not None
        job_id = running.job.spec.job_id
        self._policy.ended(
            run_end(running.gang.plan, outcome), self._clock.wall()
        )
        self._wake(now_s)
        if job is None or job.is_final or job.state == JobState.UNKNOWN:
            self._job_by_id.pop(job_id, None)
            self._policy.cancel(job_id, self._clock.wall())
        else:
            self._job_by_id[job_id] = job
            self._policy.restore(job.spec, self._clock.wall())
        if job is None:
            spec = running.job.spec
            self._writer.read(OpenJob(spec.organisation_id, spec.job_id))
