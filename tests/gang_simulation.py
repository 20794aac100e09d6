"""Simulation of agents, deciders, the table and the network."""

from __future__ import annotations

from attrs import define
from attrs import evolve
from attrs import Factory
from attrs import field

from filbertlb.agent.book import ReservationBook
from filbertlb.agent.effects import ForgetTask
from filbertlb.agent.effects import ReportEnd
from filbertlb.agent.effects import StartTask
from filbertlb.agent.effects import StopTask
from filbertlb.core.gang import Gang
from filbertlb.core.gang_plan import Closed
from filbertlb.core.gang_plan import GangMember
from filbertlb.core.gang_plan import GangPlan
from filbertlb.core.gang_plan import GangTimeouts
from filbertlb.core.gang_plan import Send
from filbertlb.core.gang_plan import Started
from filbertlb.core.gang_plan import WriteDecision
from filbertlb.core.gang_plan import WriteStatus
from filbertlb.core.gang_recovery import AgentReport
from filbertlb.core.gang_recovery import needs_recovery
from filbertlb.core.gang_recovery import orphan_command
from filbertlb.core.gang_recovery import recover
from filbertlb.core.job_record import decode
from filbertlb.core.job_record import encode
from filbertlb.core.job_record import JobRecord
from filbertlb.core.job_record import new_attempt_id
from filbertlb.core.job_transitions import cancelled
from filbertlb.core.job_transitions import closed
from filbertlb.core.job_transitions import decided
from filbertlb.core.job_transitions import settle_decision
from filbertlb.core.job_transitions import started
from filbertlb.core.model import JobSpec
from filbertlb.core.model import JobState
from filbertlb.core.model import Resources
from filbertlb.core.model import Shape
from filbertlb.errors import ConflictError
from filbertlb.errors import Ran
from filbertlb.messages import Refused
from filbertlb.messages import StopMode
from filbertlb.messages import TaskEnded
from filbertlb.messages import TaskPhase
from filbertlb.messages import TaskStatus

TIMEOUTS = GangTimeouts()
CAPACITY = Resources(accelerators=8)


@define
class Agent:
    """An agent and its worker, which starts every task it receives."""

    endpoint_id: str
    book: ReservationBook
    sequence: int = 0
    status_by_key: dict = Factory(dict)
    stopping: set = Factory(set)

    @property
    def running(self):
        return [
            key
            for key, status in self.status_by_key.items()
            if status.phase is TaskPhase.RUNNING
        ]


@define(eq=False)
class Decider:
    """A decider that holds, or has lost, the lease of one scope."""

    scope: str
    epoch: int
    is_alive: bool = True
    serial: int = 0
    gang_by_job_id: dict[str, Gang] = Factory(dict)
    version_by_job_id: dict[str, int] = Factory(dict)
    jobs_with_unknown_write: set = Factory(set)
    announcement_by_endpoint_id: dict[str, tuple] = Factory(dict)


@define
class Row:
    value: bytes
    version: int = 1

    @property
    def record(self) -> JobRecord:
        return decode(self.value)


@define
class GangSimulation:
    """All participants of the start protocol in one process.

    ``in_flight`` holds messages and row writes that have not been
    delivered; tests deliver, duplicate or drop them.
    """

    agents: dict[str, Agent] = Factory(dict)
    deciders: list[Decider] = Factory(list)
    row_by_job_id: dict[str, Row] = Factory(dict)
    in_flight: list[tuple] = Factory(list)
    sent: list[tuple] = Factory(list)
    now_s: float = 0.0
    log: list[dict] = Factory(list)
    attempts: dict[str, int] = Factory(dict)
    decided_attempts: set = Factory(set)
    not_run: set = Factory(set)
    started_keys: set = Factory(set)
    succeeded: set = Factory(set)
    problems: list[str] = field(factory=list)

    # Set-up

    def add_agents(self, count):
        for index in range(count):
            name = f"w{index}"
            book = ReservationBook("1", CAPACITY)
            self.agents[name] = Agent(name, book)

    def add_job(self, job_id, members, each=8, **changes):
        shape = Shape(members=members, each=Resources(accelerators=each))
        spec = JobSpec(job_id, "org", shape, **changes)
        self.row_by_job_id[job_id] = Row(encode(JobRecord(spec)))

    def record(self, job_id) -> JobRecord:
        return self.row_by_job_id[job_id].record

    # Deciders

    def begin(self, decider, job_id):
        row = self.row_by_job_id[job_id]
        spec = row.record.spec
        decider.serial += 1
        agents = list(self.agents.values())
        members = tuple(
            GangMember(agent.endpoint_id, agent.book.incarnation)
            for agent in (
                agents[index % len(agents)]
                for index in range(spec.shape.members)
            )
        )
        attempt_id = new_attempt_id(job_id, decider.epoch, decider.serial)
        plan = GangPlan(
            attempt_id=f"{attempt_id}.{decider.scope}",
            job_id=job_id,
            organisation_id="org",
            scope=decider.scope,
            epoch=decider.epoch,
            members=members,
            needs=spec.shape.each,
            checkpoints=row.record.checkpoints,
        )
        self.attempts[plan.attempt_id] = len(members)
        gang = Gang(plan, TIMEOUTS)
        decider.version_by_job_id[job_id] = row.version
        decider.jobs_with_unknown_write.discard(job_id)
        decider.gang_by_job_id[job_id] = gang
        self.perform(decider, gang, gang.begin(self.now_s))

    def take_over(self, scope, unannounced=()):
        """Replace a scope's decider by one with the next epoch."""
        former = [d.epoch for d in self.deciders if d.scope == scope]
        decider = Decider(scope, max(former, default=0) + 1)
        self.deciders.append(decider)
        self.recover(decider, unannounced)
        return decider

    def recover(self, decider, unannounced=()):
        reports = {
            name: AgentReport(agent.book.incarnation, agent.book.statuses())
            for name, agent in self.agents.items()
            if name not in unannounced
        }
        for job_id, row in self.row_by_job_id.items():
            record = row.record
            if job_id in decider.gang_by_job_id or record.attempt is None:
                continue
            if record.attempt.scope != decider.scope:
                continue
            if not needs_recovery(record, reports):
                continue
            recovery = recover(
                record, decider.epoch, reports, TIMEOUTS, self.now_s
            )
            decider.version_by_job_id[job_id] = row.version
            decider.jobs_with_unknown_write.discard(job_id)
            decider.gang_by_job_id[job_id] = recovery.gang
            self.perform(decider, recovery.gang, recovery.effects)

    def perform(self, decider, gang, effects):
        for effect in effects:
            match effect:
                case Send():
                    self.send(decider, gang, effect)
                case WriteDecision():
                    self.in_flight.append(("write", decider, gang, effect))
                case Started() | Closed():
                    self.in_flight.append(("row", decider, gang, effect))

    def send(self, decider, gang, effect):
        item = ("command", decider, gang, effect)
        self.in_flight.append(item)
        self.sent.append(item)

    # Deliveries

    def deliver(self, index, *, repeat=False, fault=""):
        """Deliver one message or write."""
        item = self.in_flight[index]
        if not repeat:
            del self.in_flight[index]
        kind, decider, gang, effect = item
        getattr(self, f"_deliver_{kind}")(decider, gang, effect, fault)

    def _deliver_command(self, decider, gang, effect, fault):
        agent = self.agents[effect.endpoint_id]
        command = effect.command
        answer = agent.book.handle(command, self.now_s)
        self.note(command, agent.endpoint_id, answer.reply)
        self._apply_effects(agent, answer.effects)
        reply = (effect.member, command, answer.reply)
        if fault != "no_reply":
            self.in_flight.append(("reply", decider, gang, reply))

    def _deliver_reply(self, decider, gang, effect, fault):
        if decider.is_alive:
            self.perform(decider, gang, gang.answered(*effect, self.now_s))

    def _deliver_write(self, decider, gang, effect, fault):
        plan = effect.plan
        row = self.row_by_job_id[plan.job_id]
        expected = decider.version_by_job_id[plan.job_id]
        written = None
        if plan.job_id in decider.jobs_with_unknown_write:
            written = settle_decision(
                row.record, plan, is_unchanged=row.version == expected
            )
        if written is None and fault != "down":
            written = self._commit_decision(row, plan, expected)
        if fault in {"down", "no_ack"}:
            written = WriteStatus.UNKNOWN
            decider.jobs_with_unknown_write.add(plan.job_id)
        self.note(effect, "table", written)
        if decider.is_alive:
            effects = gang.decision_written(written, self.now_s)
            self.perform(decider, gang, effects)

    def _commit_decision(self, row, plan, expected):
        if row.version != expected:
            return WriteStatus.CONFLICT
        try:
            record = decided(row.record, plan)
        except ConflictError:
            return WriteStatus.CONFLICT
        self._commit(row, record)
        self.decided_attempts.add(plan.attempt_id)
        return WriteStatus.OK

    def _commit(self, row, record):
        row.value = encode(record)
        row.version += 1

    def _deliver_row(self, decider, gang, effect, fault):
        row = self.row_by_job_id[gang.plan.job_id]
        try:
            if isinstance(effect, Started):
                record = started(row.record, effect.plan)
            else:
                record = closed(
                    row.record,
                    effect.outcome,
                    decider.epoch,
                    max_failures=2,
                )
        except ConflictError as error:
            self.note(effect, "table", error.code)
            record = row.record
        else:
            self._commit(row, record)
            self.note(effect, "table", record.state)
            if isinstance(effect, Closed) and effect.outcome.ran is Ran.NO:
                self.not_run.add(effect.outcome.attempt_id)
        if isinstance(effect, Closed) and decider.is_alive:
            self._remove_gang(decider, gang, record)

    def _remove_gang(self, decider, gang, record):
        if decider.gang_by_job_id.get(gang.plan.job_id) is gang:
            del decider.gang_by_job_id[gang.plan.job_id]
        if record.state is not JobState.UNKNOWN:
            self.perform(decider, gang, gang.acknowledge_ends())

    def _deliver_ended(self, decider, agent, message, fault):
        job_id = message.status.job_id
        gang = decider.gang_by_job_id.get(job_id)
        attempt_id = message.status.token.attempt_id
        if gang is not None and gang.plan.attempt_id == attempt_id:
            effects = gang.ended(message.status, self.now_s)
            self.perform(decider, gang, effects)

    def _deliver_announce(self, decider, agent, message, fault):
        sequence, incarnation, statuses = message
        last = decider.announcement_by_endpoint_id.get(agent.endpoint_id, (0,))
        if not decider.is_alive or last[0] >= sequence:
            return
        decider.announcement_by_endpoint_id[agent.endpoint_id] = message
        own_attempts = set()
        for gang in list(decider.gang_by_job_id.values()):
            own_attempts.add(gang.plan.attempt_id)
            effects = gang.announced(
                agent.endpoint_id, incarnation, statuses, self.now_s
            )
            self.perform(decider, gang, effects)
        for status in statuses:
            if status.token.scope != decider.scope:
                continue
            if status.token.attempt_id not in own_attempts:
                self._command_orphan(decider, agent, status)

    def _command_orphan(self, decider, agent, status):
        record = self.record(status.job_id)
        command = orphan_command(status, record, decider.epoch)
        if command is not None:
            send = Send(status.token.member, agent.endpoint_id, command)
            self.in_flight.append(("order", decider, None, send))

    def _deliver_order(self, decider, gang, effect, fault):
        agent = self.agents[effect.endpoint_id]
        answer = agent.book.handle(effect.command, self.now_s)
        self.note(effect.command, agent.endpoint_id, answer.reply)
        self._apply_effects(agent, answer.effects)

    # Agents and workers

    def announce(self, agent):
        agent.sequence += 1
        book = agent.book
        message = (agent.sequence, book.incarnation, book.statuses())
        for decider in self.deciders:
            if decider.is_alive:
                self.in_flight.append(("announce", decider, agent, message))

    def restart(self, agent, *, survive):
        """Restart an agent; its tasks survive or are lost."""
        incarnation = str(int(agent.book.incarnation) + 1)
        agent.book = ReservationBook(incarnation, CAPACITY)
        if not survive:
            agent.status_by_key.clear()
        for status in agent.status_by_key.values():
            agent.book.adopt(status)

    def _apply_effects(self, agent, effects):
        for effect in effects:
            match effect:
                case StartTask():
                    self._start(agent, effect)
                case StopTask():
                    self._stop(agent, effect)
                case ForgetTask():
                    agent.status_by_key.pop(self.key(effect.token), None)
                case ReportEnd():
                    self._report(agent, effect.message)

    def key(self, token):
        return (token.attempt_id, token.member)

    def _start(self, agent, task):
        key = self.key(task.token)
        if task.token.attempt_id not in self.decided_attempts:
            self.problems.append(f"{key} started without a decision record")
        if task.token.attempt_id in self.not_run:
            self.problems.append(
                f"{key} started after it was reported as not run"
            )
        if key in self.started_keys:
            self.problems.append(f"{key} started twice")
        self.started_keys.add(key)
        agent.status_by_key[key] = TaskStatus(
            task.token,
            task.job_id,
            task.organisation_id,
            TaskPhase.RUNNING,
            task.needs,
        )
        used = Resources()
        for running in agent.running:
            used += agent.status_by_key[running].needs
        if not CAPACITY.fits(used):
            self.problems.append(f"{agent.endpoint_id} is over capacity")

    def _stop(self, agent, effect):
        key = self.key(effect.token)
        agent.stopping.add(key)
        if effect.mode is StopMode.CANCEL:
            self.end(agent, key, TaskPhase.STOPPED)

    def end(self, agent, key, phase, checkpoint=""):
        """End a running task on the worker."""
        status = agent.status_by_key.get(key)
        if status is None or status.phase is not TaskPhase.RUNNING:
            return
        status = evolve(status, phase=phase, checkpoint=checkpoint)
        agent.status_by_key[key] = status
        if phase is TaskPhase.SUCCEEDED:
            self.succeeded.add(key)
        effects = agent.book.ended(
            status.token, phase, self.now_s, checkpoint=checkpoint
        )
        self._apply_effects(agent, effects)

    def _report(self, agent, message: TaskEnded):
        for decider in self.deciders:
            if decider.is_alive:
                self.in_flight.append(("ended", decider, agent, message))

    # Time and cancellation

    def advance(self, seconds):
        self.now_s += seconds
        for agent in self.agents.values():
            self._apply_effects(agent, agent.book.tick(self.now_s))
        for decider in self.deciders:
            if decider.is_alive:
                self._tick(decider)

    def _tick(self, decider):
        for gang in list(decider.gang_by_job_id.values()):
            if gang.next_due_s() <= self.now_s:
                self.perform(decider, gang, gang.tick(self.now_s))

    def cancel(self, job_id):
        row = self.row_by_job_id[job_id]
        self._commit(row, cancelled(row.record))
        self.notify_cancel(job_id)

    def notify_cancel(self, job_id):
        for decider in self.deciders:
            gang = decider.gang_by_job_id.get(job_id)
            if decider.is_alive and gang is not None:
                self.perform(decider, gang, gang.cancel(self.now_s))

    def note(self, message, to, result):
        name = type(message).__name__
        reply = result
        if isinstance(result, Refused):
            reply = f"{result.code} ran {result.ran}"
        elif hasattr(result, "phase"):
            reply = result.phase
        line = {"at_s": self.now_s, "to": to, "message": name}
        token = getattr(message, "token", None)
        if token is not None:
            line["member"] = token.member
            line["epoch"] = token.epoch
        if isinstance(message, Closed):
            line["end"] = str(message.outcome.end)
            line["ran"] = str(message.outcome.ran)
            line["code"] = message.outcome.code
        self.log.append(
            {**line, "result": None if reply is None else str(reply)}
        )

    def deliver_all(self):
        """Deliver all messages in order, including those they cause."""
        while self.in_flight:
            self.deliver(0)

    def finish(self, steps_s=(1.0,) * 12 + (9.0,) * 5):
        """Run without faults until no attempt is starting or stopping."""
        for step_s in steps_s:
            self.deliver_all()
            for agent in self.agents.values():
                for key in list(agent.stopping):
                    self.end(agent, key, TaskPhase.STOPPED)
                self.announce(agent)
            self.deliver_all()
            for job_id, row in self.row_by_job_id.items():
                if row.record.cancel_requested:
                    self.notify_cancel(job_id)
            for decider in self.deciders:
                if decider.is_alive:
                    self.recover(decider)
            self.advance(step_s)

    def running(self, attempt_id):
        return [
            key
            for agent in self.agents.values()
            for key in agent.running
            if key[0] == attempt_id
        ]
