"""Deciders that cannot read, fail or lose the lease."""

from __future__ import annotations

from contextlib import ExitStack

import attrs
import pytest

from filbertlb.batch import decider as decider_module
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import JOB_PREFIX
from filbertlb.batch.model import JobState
from filbertlb.batch.model import Progress
from filbertlb.batch.model import PROGRESS_PREFIX
from filbertlb.batch.model import RunEnd
from filbertlb.batch.model import TaskPhase
from filbertlb.batch.model import TaskRecord
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WORKER_TABLE
from filbertlb.batch.planner import Planner
from filbertlb.batch.testing import a_job
from filbertlb.batch.testing import a_report
from filbertlb.batch.testing import a_step
from filbertlb.batch.testing import CAPACITY
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import TableUnavailableError
from filbertlb.table.base import WriteOutcomeUnknownError
from tests.batch.deciding import DEADLINE_S
from tests.batch.deciding import deciding
from tests.batch.deciding import LimitedTable
from tests.batch.deciding import orders_on
from tests.batch.deciding import progress_of
from tests.batch.deciding import put
from tests.batch.deciding import put_job
from tests.batch.deciding import put_running_jobs
from tests.batch.deciding import put_workers
from tests.batch.deciding import UnreadableTable
from tests.batch.deciding import wait_until


class DefectiveTable(UnreadableTable):
    """A process's view of a table whose progress makes it fail."""

    def snapshot(self, prefix):
        if prefix == PROGRESS_PREFIX:
            raise KeyError(prefix)
        return self._table.snapshot(prefix)


@pytest.mark.parametrize("view", [UnreadableTable, DefectiveTable])
def test_holder_that_cannot_read_leaves_the_lease_to_others(monkeypatch, view):
    monkeypatch.setattr(decider_module, "STALL_TIMEOUT_S", 0.2)
    table = LimitedTable()
    put_workers(table, ["n0"])
    put(table, JOB_PREFIX + "j", a_job("j"))
    with ExitStack() as stack:
        stack.enter_context(deciding(view(table), "cut-off"))
        wait_until(lambda: table.get("lease/coast") is not None)
        stack.enter_context(deciding(table, "sound"))
        wait_until(lambda: orders_on(table, "n0") == ["j.0.0.0"])


class OnceDefectiveTable(UnreadableTable):
    """A process's view of a table whose first read of a row fails."""

    def __init__(self, table):
        super().__init__(table)
        self.failures = 0

    def get(self, key):
        if not self.failures:
            self.failures += 1
            raise KeyError(key)
        return self._table.get(key)

    def snapshot(self, prefix):
        return self._table.snapshot(prefix)


def test_entry_decides_after_an_unexpected_error_of_its_lease():
    # The task that renews the lease ended, and its entry never decided.
    table = LimitedTable()
    put_workers(table, ["n0"])
    view = OnceDefectiveTable(table)
    with deciding(view) as decider:
        wait_until(lambda: decider.deciding)
    assert view.failures == 1


class ReportlessTable(UnreadableTable):
    """A process's view of a table whose feed of reports gets no answer."""

    def snapshot(self, prefix):
        return self._table.snapshot(prefix)

    def changes(self, table, *call):
        if table == WORKER_TABLE:
            raise TableUnavailableError("no answer")
        return self._table.changes(table, *call)


def test_holder_without_reports_leaves_the_lease_to_others(monkeypatch):
    # It renewed its lease, and no worker was fresh enough for new work.
    monkeypatch.setattr(decider_module, "REPORTS_TIMEOUT_S", 0.3)
    table = LimitedTable()
    put_workers(table, ["n0"])
    with ExitStack() as stack:
        view = ReportlessTable(table)
        cut_off = stack.enter_context(deciding(view, "cut-off"))
        wait_until(lambda: cut_off.deciding)
        sound = stack.enter_context(deciding(table, "sound"))
        wait_until(lambda: sound.deciding)


def test_free_lease_is_left_to_a_faster_machine(monkeypatch):
    monkeypatch.setattr(decider_module, "SLOW_MACHINE_DELAY_S", DEADLINE_S)
    table = LimitedTable()
    with deciding(table, "slow", slow=True) as slow:
        with deciding(table, "fast") as fast:
            wait_until(lambda: fast.deciding)
        assert not slow.deciding


@attrs.define
class LateTable(LimitedTable):
    """Carries out one transaction after the next read of the progress.

    It takes effect only if its conditions still hold then.

    Parameters
    ----------
    late_key : str
        Transactions of several rows with this one get no answer.
    """

    late_key: str = ""
    late_writes: tuple = ()
    landed: bool = False

    def commit(self, writes):
        keys = {write.key for write in writes}
        if self.late_key in keys and not self.landed:
            self.late_writes = tuple(writes)
            raise WriteOutcomeUnknownError("no answer")
        return LimitedTable.commit(self, writes)

    def snapshot(self, prefix):
        snapshot = LimitedTable.snapshot(self, prefix)
        if prefix == PROGRESS_PREFIX and self.late_writes and not self.landed:
            self.landed = True
            self._carry_out_late()
            version = self.get("lease/coast").version
            wait_until(lambda: self.get("lease/coast").version > version)
        return snapshot

    def _carry_out_late(self):
        try:
            LimitedTable.commit(self, self.late_writes)
        except RowConflictError:
            return
        # The agent has forgotten the end, as it is no longer ordered.
        put(self, WORKER_PREFIX + "n0", a_report("n0"))


def test_late_transaction_is_not_overwritten_with_older_progress():
    # The renewal of the lease went on from it, the decision did not know it.
    table = LateTable()
    end = RunEnd("job-n0.0.0.0", 1, EndCause.DONE)
    put(table, WORKER_PREFIX + "n0", a_report("n0", ended=(end,)))
    put_running_jobs(table, ["n0"])
    table.late_key = PROGRESS_PREFIX + "job-n0"
    with deciding(table):
        wait_until(lambda: table.landed)
        put(table, JOB_PREFIX + "j", a_job("j"))
        wait_until(lambda: "j.0.0.0" in (orders_on(table, "n0") or ()))
    assert progress_of(table, "job-n0").state is JobState.COMPLETE
    assert orders_on(table, "n0") == ["j.0.0.0"]


def test_decision_of_an_earlier_term_was_written_under_a_later_lease(
    monkeypatch,
):
    # A paused holder lost the lease and took it again within one step, and
    # overwrote what another had decided meanwhile.
    table = LimitedTable()
    put_workers(table, ["n"])
    put_job(table, "j", a_step(needs=CAPACITY), 10)
    done = TaskRecord(TaskPhase.DONE, attempt=7)
    decide = Planner.decide
    with deciding(table) as decider:
        wait_until(lambda: orders_on(table, "n"))
        keeper = decider._keeper

        def lose_and_take_lease(planner, now_s, now_ms):
            monkeypatch.setattr(Planner, "decide", decide)
            keeper.release()
            progress = Progress("j", JobState.ACTIVE, True, {"j.0.0.0": done})
            put(table, PROGRESS_PREFIX + "j", progress)
            while keeper.held() is None:
                keeper.step()
            planner.state.set_phase("j.0.0.0", TaskPhase.STOPPING, now_ms)
            decide(planner, now_s, now_ms)

        monkeypatch.setattr(Planner, "decide", lose_and_take_lease)
        wait_until(lambda: Planner.decide is decide)
        wait_until(lambda: progress_of(table, "j").state is JobState.COMPLETE)
    assert progress_of(table, "j").tasks == {"j.0.0.0": done}
