"""Writes of an entry that lost its lease and has acquired it again."""

from __future__ import annotations

import pytest

from filbertlb.core.clock import VirtualClock
from filbertlb.core.gang_plan import GangMember
from filbertlb.core.gang_plan import GangOutcome
from filbertlb.core.gang_plan import GangPlan
from filbertlb.core.gang_plan import WriteStatus
from filbertlb.core.job_record import JobRecord
from filbertlb.core.job_transitions import decided
from filbertlb.core.model import JobSpec
from filbertlb.core.model import JobState
from filbertlb.core.model import Resources
from filbertlb.core.scheduling import JobEnd
from filbertlb.entry.events import DecisionWritten
from filbertlb.entry.job_table import JobTable
from filbertlb.entry.job_writer import JobWriter
from filbertlb.errors import Ran
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
