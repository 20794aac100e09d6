"""The decider of a scope: schedules jobs and drives their gangs.

It acts only while it holds the lease of its scope. When the lease is
lost, the scheduling state is discarded; when it is acquired, the state
is rebuilt from the job rows and the agents' announcements.
"""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

from loguru import logger

from filbertlb.core.gang import Gang
from filbertlb.core.gang_plan import GangTimeouts
from filbertlb.core.gang_recovery import needs_recovery
from filbertlb.core.gang_recovery import orphan_command
from filbertlb.core.gang_recovery import recover
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
from filbertlb.entry.member_checks import MemberCheckLimiter
from filbertlb.entry.worker_view import worker_from_announce
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
    from filbertlb.entry.gang_driver import ActiveGang
    from filbertlb.entry.job_writer import JobWriter
    from filbertlb.messages import Announce
    from filbertlb.tasks import Mailbox
    from filbertlb.transport.link import Link

DECIDE_DELAY_S = 0.005
DECIDE_PERIOD_S = 0.25
RESCAN_PERIOD_S = 5.0
FULL_RELOAD_PERIOD_S = 60.0
TAKEOVER_GRACE_S = 2.5
RECOVERY_RETRY_S = 0.5


class Decider:
    """Task behaviour that schedules the jobs of one scope.

    Parameters
    ----------
    scope : str
        Scope whose jobs it schedules.
    link : Link
        Message transport of this process.
    writer : JobWriter
        Reads and writes the job rows asynchronously.
    mailbox : Mailbox
        Mailbox of this task; receives the agents' replies.
    make_policy : callable
        Returns a new scheduling policy for a configuration.
    broadcast_hint : callable
        Notifies all entries that a job's row has changed.
    holds_lease : callable
        Returns whether the lease of the scope is held now.
    bounds : GangBounds
        Timeouts of the gang start protocol.
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
        broadcast_hint: Callable[[JobHint], None],
        holds_lease: Callable[[], bool],
        bounds: GangTimeouts,
        clock: Clock,
    ) -> None:
        self._scope = scope
        self._link = link
        self._writer = writer
        self._make_policy = make_policy
        self._holds_lease = holds_lease
        self._bounds = bounds
        # Wall time, because waiting times count from the submission time
        # that another entry may have recorded.
        self._clock = clock
        self._worker_view = WorkerView()
        self._gangs = GangDriver(
            link,
            writer,
            mailbox,
            self._worker_view.announce_by_id,
            broadcast_hint,
        )
        self._config: SiteConfig | None = None
        self._rescan_due_s = math.inf
        self._full_reload_due_s = math.inf
        self._reset()

    @property
    def epoch(self) -> int:
        """Return the epoch of the lease that is held; 0 if none is."""
        return self._epoch

    def why(self, job_id: str) -> WaitReason | None:
        """Return why a queued job waits, or None if it is not queued."""
        return self._policy.why(job_id, self._clock.wall())

    def job_counts(self) -> tuple[int, int]:
        """Return the numbers of queued jobs and of jobs with a gang."""
        running = len(self._gangs.active())
        return max(0, len(self._job_by_id) - running), running

    def risks(self) -> tuple[GuaranteeAtRisk, ...]:
        """Return the guarantees that cannot be placed at present."""
        return self._policy.risks() if self._loaded else ()

    def receive(self, message: Any, now_s: float) -> None:
        """Handle one message."""
        self._check_lease()
        match message:
            case Envelope():
                self._handle_envelope(message, now_s)
            case EndpointSeen():
                self._on_endpoint_seen(message.announce, now_s)
            case EndpointLost():
                self._on_endpoint_lost(message.announce, now_s)
            case CommandAnswered():
                self._on_answered(message, now_s)
            case _:
                self._handle_event(message, now_s)

    def tick(self, now_s: float) -> None:
        """Tick gangs, rescan the open jobs and decide, as each is due."""
        self._check_lease()
        if not self._epoch:
            return
        if now_s >= self._gangs.next_due_s:
            self._gangs.tick(now_s)
        if now_s >= self._rescan_due_s:
            self._rescan_due_s = now_s + RESCAN_PERIOD_S
            self._member_check_limiter.evict_expired(now_s)
            self._writer.load_open_jobs(self._epoch, self._jobs_to_skip(now_s))
        if self._loaded and now_s >= self._decide_due_s:
            self._decide(now_s)

    def next_due_s(self, now_s: float) -> float:
        """Return the monotonic time of the next tick in seconds."""
        if not self._epoch:
            return math.inf
        due_s = min(self._gangs.next_due_s, self._rescan_due_s)
        return min(due_s, self._decide_due_s) if self._loaded else due_s

    def _check_lease(self) -> None:
        """Reset once the lease has expired on the local clock."""
        if self._epoch and not self._holds_lease():
            logger.warning("lease of scope {} lapsed", self._scope)
            self._reset()

    def _handle_event(self, message: Any, now_s: float) -> None:
        match message:
            case LeaseAcquired():
                self._on_elected(message, now_s)
            case LeaseLost():
                logger.warning("lease of scope {} lost", self._scope)
                self._reset()
            case ConfigChanged():
                self._on_config_changed(message.config, now_s)
            case JobsLoaded():
                self._on_jobs_loaded(message, now_s)
            case JobRead():
                self._on_job_read(message.job, now_s)
            case DecisionWritten():
                self._on_decision_written(message, now_s)
            case OutcomeWritten():
                self._on_outcome_written(message, now_s)
            case MemberChecked():
                self._on_member_checked(message, now_s)

    def _handle_envelope(self, envelope: Envelope, now_s: float) -> None:
        message = envelope.message
        if not self._epoch:
            return
        if isinstance(message, JobHint):
            self._writer.read_job(
                OpenJob(message.organisation_id, message.job_id)
            )
        elif isinstance(message, TaskEnded):
            status = message.status
            active = self._gangs.get(status.token.attempt_id)
            if active is not None:
                effects = active.gang.ended(status, now_s)
                self._gangs.execute(active, effects)

    def _reset(self) -> None:
        self._epoch = 0
        self._attempt_serial = 0
        self._loaded = False
        self._elected_at_s = math.inf
        self._decide_due_s = math.inf
        self._rescan_due_s = math.inf
        self._policy = self._make_policy(self._scheduler_config())
        self._gangs.clear()
        self._job_by_id: dict[str, JobRecord] = {}
        self._member_check_limiter = MemberCheckLimiter()

    def _scheduler_config(self) -> SchedulerConfig:
        if self._config is None:
            return SchedulerConfig()
        return self._config.scheduler

    def _on_elected(self, elected: LeaseAcquired, now_s: float) -> None:
        logger.info(
            "decides for {} in epoch {}", self._scope, elected.lease.epoch
        )
        self._start_epoch(elected.lease.epoch, now_s)

    def _start_epoch(self, epoch: int, now_s: float) -> None:
        attempt_serial = self._attempt_serial if epoch == self._epoch else 0
        self._reset()
        self._epoch = epoch
        self._attempt_serial = attempt_serial
        self._elected_at_s = now_s
        self._rescan_due_s = now_s + RESCAN_PERIOD_S
        for announce in self._worker_view.announce_by_id.values():
            self._add_worker(announce, now_s)
        self._restore_organisations(now_s)
        self._full_reload_due_s = now_s + FULL_RELOAD_PERIOD_S
        self._writer.load_open_jobs(self._epoch, frozenset())

    def _on_config_changed(self, config: SiteConfig, now_s: float) -> None:
        previous = self._config
        self._config = config
        if not self._epoch:
            return
        if previous is None or previous.scheduler != config.scheduler:
            # The policy's state depends on the scheduler settings. Rebuild
            # it as after a takeover: rows and announcements hold all of it.
            self._start_epoch(self._epoch, now_s)
            return
        self._restore_organisations(now_s)

    def _restore_organisations(self, now_s: float) -> None:
        if self._config is not None:
            self._policy.restore_organisations(
                self._config.model_organisations(), self._clock.wall()
            )
            self._schedule_decision(now_s)

    def _on_endpoint_seen(self, announce: Announce, now_s: float) -> None:
        if announce.role != Role.WORKER:
            return
        has_changed = self._worker_view.update(announce)
        if not self._epoch:
            return
        if has_changed:
            self._add_worker(announce, now_s)
        attempt_ids = {task.token.attempt_id for task in announce.tasks}
        for active in self._gangs.on_endpoint(
            announce.endpoint_id, attempt_ids
        ):
            effects = active.gang.announced(
                announce.endpoint_id,
                announce.incarnation,
                announce.tasks,
                now_s,
            )
            self._gangs.execute(active, effects)
        if self._loaded:
            self._check_untracked_members(announce, now_s)

    def _add_worker(self, announce: Announce, now_s: float) -> None:
        if announce.draining:
            self._drain_worker(announce.endpoint_id, now_s)
        else:
            self._policy.add_worker(
                worker_from_announce(announce), self._clock.wall()
            )
        self._schedule_decision(now_s)

    def _drain_worker(self, endpoint_id: str, now_s: float) -> None:
        """Checkpoint and stop the checkpointable jobs of a draining worker."""
        within_s = self._scheduler_config().reclaim_within_s
        for job_id in self._policy.remove_worker(
            endpoint_id, self._clock.wall()
        ):
            active = self._gangs.for_job(job_id)
            if active is not None and active.job.spec.checkpointable:
                stop = StopJob(job_id, checkpoint=True, within_s=within_s)
                self._stop_job(stop, now_s)

    def _on_endpoint_lost(self, announce: Announce, now_s: float) -> None:
        if (
            not self._worker_view.remove(announce.endpoint_id)
            or not self._epoch
        ):
            return
        self._policy.remove_worker(announce.endpoint_id, self._clock.wall())
        for active in self._gangs.on_endpoint(announce.endpoint_id, ()):
            effects = active.gang.lost(announce.endpoint_id, now_s)
            self._gangs.execute(active, effects)
        self._schedule_decision(now_s)

    def _check_untracked_members(
        self, announce: Announce, now_s: float
    ) -> None:
        """Read the job rows of announced members without an active gang.

        The row is read after the announcement was received, so that a
        member is never stopped because of older knowledge.
        """
        for status in announce.tasks:
            token = status.token
            if token.scope != self._scope:
                continue
            if self._gangs.get(token.attempt_id) is not None:
                continue
            if self._member_check_limiter.allow(token, now_s):
                self._writer.check_member(announce.address, status)

    def _on_member_checked(self, checked: MemberChecked, now_s: float) -> None:
        status = checked.status
        token = status.token
        if self._gangs.get(token.attempt_id) is not None:
            return
        command = orphan_command(status, checked.job, self._epoch)
        if command is not None:
            self._gangs.send_one_way(checked.address, command)
        elif checked.job is not None:
            self._on_job_read(checked.job, now_s)

    def _jobs_to_skip(self, now_s: float) -> frozenset[str]:
        """Return the IDs of the jobs whose rows need not be read again.

        Hints announce changes. Since hints can be lost, every row is
        read again after each ``FULL_RELOAD_PERIOD_S``.
        """
        if now_s >= self._full_reload_due_s:
            self._full_reload_due_s = now_s + FULL_RELOAD_PERIOD_S
            return frozenset()
        queued_ids = (
            job_id
            for job_id, job in self._job_by_id.items()
            if job.attempt is None
        )
        active_ids = (
            active.job.spec.job_id for active in self._gangs.active()
        )
        return frozenset((*queued_ids, *active_ids))

    def _on_jobs_loaded(self, loaded: JobsLoaded, now_s: float) -> None:
        if loaded.epoch != self._epoch:
            return
        for job in loaded.jobs:
            self._on_job_read(job, now_s)
        self._loaded = True
        self._schedule_decision(now_s)

    def _on_job_read(self, job: JobRecord, now_s: float) -> None:
        job_id = job.spec.job_id
        active = self._gangs.for_job(job_id)
        if active is not None:
            if job.cancel_requested and not active.is_closed:
                self._gangs.execute(active, active.gang.cancel(now_s))
            return
        known = self._job_by_id.get(job_id)
        if job.is_final:
            self._job_by_id.pop(job_id, None)
            self._policy.cancel(job_id, self._clock.wall())
        elif job.attempt is not None:
            self._recover_attempt(job, now_s)
        elif known is None:
            self._enqueue(job, now_s)
        self._schedule_decision(now_s)

    def _enqueue(self, job: JobRecord, now_s: float) -> None:
        # The job was checked against the configuration when it was
        # accepted. It is not checked again, since too few workers may be
        # known after a takeover to tell whether it can run.
        self._policy.restore(job.spec, self._clock.wall())
        self._job_by_id[job.spec.job_id] = job

    def _recover_attempt(self, job: JobRecord, now_s: float) -> None:
        assert job.attempt is not None
        reports = self._worker_view.agent_reports()
        if not needs_recovery(job, reports):
            return
        endpoint_ids = tuple(
            member.endpoint_id for member in job.attempt.members
        )
        all_reported = all(
            endpoint_id in reports for endpoint_id in endpoint_ids
        )
        if not all_reported and now_s < self._elected_at_s + TAKEOVER_GRACE_S:
            # The missing agents may still announce themselves.
            due_s = now_s + RECOVERY_RETRY_S
            self._rescan_due_s = min(self._rescan_due_s, due_s)
            return
        recovery = recover(job, self._epoch, reports, self._bounds, now_s)
        if recovery is None:
            return
        self._job_by_id[job.spec.job_id] = job
        self._policy.adopt(job.spec, Assignment(job.spec.job_id, endpoint_ids))
        active = self._gangs.add(recovery.gang, job)
        self._gangs.execute(active, recovery.effects)
        for endpoint_id in set(endpoint_ids) - set(reports):
            effects = active.gang.lost(endpoint_id, now_s)
            self._gangs.execute(active, effects)

    def _schedule_decision(self, now_s: float) -> None:
        self._decide_due_s = min(self._decide_due_s, now_s + DECIDE_DELAY_S)

    def _decide(self, now_s: float) -> None:
        self._decide_due_s = now_s + DECIDE_PERIOD_S
        decisions = self._policy.decide(self._clock.wall())
        for decision in decisions:
            self._apply_decision(decision, now_s)
        if decisions:
            # A call returns a bounded number of decisions, so there may be
            # more.
            self._schedule_decision(now_s)

    def _apply_decision(self, decision: Decision, now_s: float) -> None:
        if isinstance(decision, StartJob):
            self._start_job(decision.assignment, now_s)
        elif isinstance(decision, StopJob):
            self._stop_job(decision, now_s)

    def _start_job(self, assignment: Assignment, now_s: float) -> None:
        job = self._job_by_id[assignment.job_id]
        self._attempt_serial += 1
        attempt_id = new_attempt_id(
            job.spec.job_id, self._epoch, self._attempt_serial
        )
        members = self._worker_view.gang_members(assignment.worker_ids)
        plan = make_plan(job, attempt_id, self._epoch, members)
        active = self._gangs.add(Gang(plan, self._bounds), job)
        self._gangs.execute(active, active.gang.begin(now_s))

    def _stop_job(self, stop: StopJob, now_s: float) -> None:
        active = self._gangs.for_job(stop.job_id)
        if active is None or active.is_closed:
            return
        effects = active.gang.stop(
            now_s, checkpoint=stop.checkpoint, within_s=stop.within_s
        )
        self._writer.write_stopping(active.gang.plan)
        self._gangs.execute(active, effects)

    def _on_answered(self, answered: CommandAnswered, now_s: float) -> None:
        active = self._gangs.get(answered.attempt_id)
        if active is None:
            return
        effects = active.gang.answered(
            answered.member, answered.command, answered.reply, now_s
        )
        self._gangs.execute(active, effects)

    def _on_decision_written(
        self, message: DecisionWritten, now_s: float
    ) -> None:
        active = self._written_gang(message)
        if active is not None:
            effects = active.gang.decision_written(message.written, now_s)
            self._gangs.execute(active, effects)

    def _written_gang(
        self, message: DecisionWritten | OutcomeWritten
    ) -> ActiveGang | None:
        """Return the gang whose write was answered.

        The answer to a write of an earlier epoch tells nothing of the gang
        that was taken over under the same attempt.
        """
        active = self._gangs.get(message.attempt_id)
        if active is None or active.gang.plan.epoch != message.epoch:
            return None
        return active

    def _on_outcome_written(
        self, message: OutcomeWritten, now_s: float
    ) -> None:
        job = message.job
        active = self._written_gang(message)
        if active is None:
            return
        outcome = active.gang.outcome
        if outcome is None:
            # The gang was taken over from a row read before this write.
            return
        self._gangs.remove(message.attempt_id, acknowledge=job is not None)
        job_id = active.job.spec.job_id
        self._policy.ended(
            run_end(active.gang.plan, outcome), self._clock.wall()
        )
        self._schedule_decision(now_s)
        if job is None or job.is_final or job.state == JobState.UNKNOWN:
            self._job_by_id.pop(job_id, None)
            self._policy.cancel(job_id, self._clock.wall())
        else:
            self._job_by_id[job_id] = job
            self._policy.restore(job.spec, self._clock.wall())
        if job is None:
            spec = active.job.spec
            self._writer.read_job(OpenJob(spec.organisation_id, spec.job_id))
