from __future__ import annotations

import pytest

from filbertlb.batch.index import JobIndex
from filbertlb.batch.model import JobState
from filbertlb.batch.service import JobService
from filbertlb.batch.service import JobUnknownError
from filbertlb.batch.testing import a_job
from filbertlb.core.clock import VirtualClock
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.memory import MemoryTable
from filbertlb.table.mirror import Mirror


@pytest.fixture
def table():
    return MemoryTable()


def service_on(table):
    index, mirror = JobIndex(), Mirror()
    mirror.add_listener(index.apply_row)
    return JobService(table, mirror, index, VirtualClock())


def test_job_is_stored_once_by_several_entries(table):
    first, second = service_on(table), service_on(table)
    assert first.submit(a_job("a"))
    assert not second.submit(a_job("a", accepted_ms=5))
    assert not first.submit(a_job("a"))
    assert len(table.scan("state/job/")) == 1


def test_submit_resolves_lost_table_answer(table):
    table.faults.lose_acks = 1
    service = service_on(table)
    service.submit(a_job("a"))
    assert service.state("a") is JobState.QUEUED


def test_failed_submission_stores_nothing(table):
    service = service_on(table)
    table.faults.down = True
    with pytest.raises(TableUnavailableError):
        service.submit(a_job("a"))
    table.faults.down = False
    with pytest.raises(JobUnknownError):
        service.state("a")


def test_lagging_entry_reads_table_before_job_is_unknown(table):
    service_on(table).submit(a_job("a"))
    assert service_on(table).state("a") is JobState.QUEUED


def test_cancel_takes_effect_at_once_and_is_idempotent(table):
    service = service_on(table)
    service.submit(a_job("a"))
    service.cancel("a")
    service.cancel("a")
    assert service.state("a") is JobState.CANCELLED
    with pytest.raises(JobUnknownError):
        service.cancel("b")


def test_pending_counts_queued_jobs_by_queue(table):
    service = service_on(table)
    for job_id, queue in (("a", "batch"), ("b", "batch"), ("c", "other")):
        service.submit(a_job(job_id, queue=queue))
    service.cancel("b")
    assert service.pending("batch") == 1
    assert service.pending("none") == 0
