"""Writes of an entry that lost its lease and has acquired it again."""

from __future__ import annotations

import attrs
import pytest

from filbertlb.core.clock import VirtualClock
from filbertlb.core.gang_plan import GangMember
from filbertlb.core.gang_plan import GangOutcome
from filbertlb.core.gang_plan import GangPlan
from filbertlb.core.gang_plan import GangTimeouts
from filbertlb.core.gang_plan import WriteStatus
from filbertlb.core.job_record import JobRecord
from filbertlb.core.job_transitions import decided
from filbertlb.core.lease import Lease
from filbertlb.core.model import JobSpec
from filbertlb.core.model import JobState
from filbertlb.core.model import Resources
from filbertlb.core.scheduling import JobEnd
from filbertlb.entry.decider import Decider
from filbertlb.entry.events import DecisionWritten
from filbertlb.entry.events import EndpointSeen
from filbertlb.entry.events import JobsLoaded
from filbertlb.entry.events import LeaseAcquired
from filbertlb.entry.events import OutcomeWritten
from filbertlb.entry.job_table import JobTable
from filbertlb.entry.job_writer import JobWriter
from filbertlb.errors import Ran
from filbertlb.messages import Announce
from filbertlb.messages import Release
from filbertlb.messages import Role
from filbertlb.messages import TaskPhase
from filbertlb.messages import TaskStatus
from filbertlb.scheduling.guaranteed import GuaranteedScheduler
from filbertlb.table.lease import LeaseManager
from filbertlb.table.memory import MemoryTable
from filbertlb.tasks import Mailbox

FIRST_EPOCH = 1
PLAN = GangPlan(
    *("a1", "j1", "org", "main", FIRST_EPOCH),
    (GangMember("w0", "i0"),),
    Resources(accelerators=1),
)
QUEUED = JobRecord(JobSpec("j1", "org"))
LOST = GangOutcome("a1", JobEnd.WORKER_LOST, Ran.UNKNOWN)


def writer_that_holds_the_lease_again(record):
    """Return a job writer, its jobs and mailbox.

    Its epoch is the second one after that of the plan.
    """
    table, clock = MemoryTable(), VirtualClock()
    jobs, mailbox = JobTable(table), Mailbox("decider")
    jobs.create(record)
    own = LeaseManager(table, "main", "e0", clock)
    other = LeaseManager(table, "main", "e1", clock)
    for keeper in (own, other):
        keeper.step()
        keeper.release()
    own.step()
    assert own.held().epoch == FIRST_EPOCH + 2
    return JobWriter(jobs, own, "main", mailbox), jobs, mailbox


def write_decision(writer):
    writer.write_decision(PLAN)


def write_outcome(writer):
    writer.write_outcome(PLAN, LOST, 3)


@pytest.mark.parametrize(
    ("write", "record", "state"),
    [
        (write_decision, QUEUED, JobState.QUEUED),
        (write_outcome, decided(QUEUED, PLAN), JobState.STARTING),
    ],
)
def test_write_of_an_earlier_epoch_changes_no_job(write, record, state):
    # A write that waited was applied under the lease acquired later.
    writer, jobs, mailbox = writer_that_holds_the_lease_again(record)
    write(writer)
    message = mailbox.get(5.0)
    assert jobs.get("org", "j1").state is state
    if isinstance(message, DecisionWritten):
        assert message.written is WriteStatus.CONFLICT
    else:
        assert message.job is None


@attrs.define
class RecordingLink:
    commands: list = attrs.Factory(list)

    def ask(self, address, command, on_reply, within_s):
        self.commands.append(command)

    def send(self, address, command):
        self.commands.append(command)


class SilentWriter:
    """Job writer whose answers the test gives."""

    def load_open_jobs(self, epoch, skip):
        pass

    def write_decision(self, plan):
        pass

    def write_outcome(self, plan, outcome, max_failures):
        pass

    def write_started(self, plan):
        pass

    def read_job(self, job):
        pass


def decider_that_claims_an_attempt(epoch):
    """Return a decider in whose new epoch a start is taken over."""
    link = RecordingLink()
    decider = Decider(
        *("main", link, SilentWriter(), Mailbox("decider")),
        *(GuaranteedScheduler, lambda hint: None, lambda: True),
        *(GangTimeouts(), VirtualClock()),
    )
    decider.receive(LeaseAcquired(Lease("main", epoch, 1e9)), 0.0)
    armed = TaskStatus(PLAN.token(0), "j1", "org", TaskPhase.ARMED, PLAN.needs)
    announce = Announce(
        *("w0", "i0", Role.WORKER, "addr", "main", "a", "r", 1),
        tasks=(armed,),
    )
    decider.receive(EndpointSeen(announce), 0.0)
    decider.receive(JobsLoaded(epoch, (decided(QUEUED, PLAN),)), 0.0)
    return decider, link


def releases(link):
    return [item for item in link.commands if isinstance(item, Release)]


def test_decision_written_in_an_earlier_epoch_releases_nothing():
    # The answer counted for the attempt as the new epoch takes it over.
    decider, link = decider_that_claims_an_attempt(epoch=3)
    decider.receive(DecisionWritten("a1", 1, WriteStatus.OK), 0.1)
    assert not releases(link)
    decider.receive(DecisionWritten("a1", 3, WriteStatus.OK), 0.2)
    assert [release.token.epoch for release in releases(link)] == [3]


@pytest.mark.parametrize("epoch", [1, 3])
def test_outcome_written_before_a_take_over_ends_no_gang(epoch):
    # The decider failed on a gang that had no outcome yet, and dropped it.
    decider, link = decider_that_claims_an_attempt(epoch=3)
    decider.receive(OutcomeWritten("a1", epoch, None), 0.1)
    decider.receive(DecisionWritten("a1", 3, WriteStatus.OK), 0.2)
    assert len(releases(link)) == 1
