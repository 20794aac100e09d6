"""Agent beside a worker: follows orders, holds leases, reports ends."""

from __future__ import annotations

from secrets import token_hex
from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from gevent import spawn
from gevent.event import Event
from loguru import logger
from msgspec.json import encode

from filbertlb.batch.model import Orders
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import orders_table
from filbertlb.batch.model import WORKER_PREFIX
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.reconciler import WorkerReconciler
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StopCall
from filbertlb.batch.worker_link import WorkerSilentError
from filbertlb.batch.workers import CONTACT_LOST_S
from filbertlb.errors import FilbertlbError
from filbertlb.table.base import ABSENT
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import Write
from filbertlb.table.base import WriteOutcomeUnknownError
from filbertlb.table.mirror import Follower
from filbertlb.table.mirror import Mirror
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import UnreadableRowError

if TYPE_CHECKING:
    from filbertlb.batch.model import Worker
    from filbertlb.batch.worker_link import RunListing
    from filbertlb.batch.worker_link import WorkerLink
    from filbertlb.core.clock import Clock
    from filbertlb.metrics import Metrics
    from filbertlb.table.base import Row
    from filbertlb.table.base import WatchedTable

REPORT_PERIOD_S = 1.0
REPORT_GATHER_S = 0.02
LOOK_WAIT_S = 1.0
RETRY_S = 0.25
UNANSWERED_S = 3.0
"""Silence after which the worker counts as not answering."""


class SupersededError(FilbertlbError):
    """Another agent process has registered for the same worker."""

    code = "agent_superseded"


class Agent:
    """Runs one worker's orders.

    Parameters
    ----------
    node : str
        Name of the machine; key of the agent's rows.
    """

    def __init__(
        self, table: WatchedTable, link: WorkerLink, clock: Clock, node: str
    ) -> None:
        self._table = table
        self._link = link
        self._clock = clock
        self._node = node
        self._registration = token_hex(6)
        self._key = WORKER_PREFIX + node
        self._reconciler = WorkerReconciler(clock.monotonic())
        self._wake = Event()
        self._report_wake = Event()
        self._mirror = Mirror()
        self._mirror.listen(self._saw_orders)
        self._follower = Follower(
            table,
            orders_table(node),
            self._mirror,
            clock,
            orders_key(node),
        )
        self._version = ABSENT
        self._fence = 0
        self._sequence = 0
        self._contact_s = float("-inf")
        self._answered_s = float("-inf")
        self._silent = False
        self._acked_number = 0

    def update_worker(self, worker: Worker) -> None:
        """Take in what the worker says of itself."""
        former = self._reconciler.worker
        self._reconciler.set_worker(worker)
        if former is None or former.incarnation != worker.incarnation:
            self._acked_number = 0
            logger.info("worker {} of {}", worker.incarnation, worker.service)
        elif former.draining != worker.draining:
            logger.info(
                "worker {} drains, {} ms left",
                *(worker.incarnation, worker.remaining_ms),
            )
        self._touch()

    def worker_left(self) -> None:
        """Take in that the worker ends now."""
        worker = self._reconciler.worker
        if worker is None:
            return
        logger.info("worker {} leaves", worker.incarnation)
        self._reconciler.record_departure(
            worker.incarnation, self._clock.monotonic()
        )
        self._touch()

    def sample(self, metrics: Metrics) -> None:
        """Set the gauges of this agent."""
        metrics.runs.set(len(self._reconciler.running()))
        age_s = self._clock.monotonic() - self._contact_s
        metrics.contact_age_s.set(age_s)

    def run(self) -> None:
        """Register, then serve until killed or superseded."""
        self._register()
        tasks = [
            spawn(task)
            for task in (
                self._follower.run,
                self._look_loop,
                self._call_loop,
            )
        ]
        try:
            self._report_loop()
        finally:
            for task in tasks:
                task.kill()

    def _register(self) -> None:
        """Write the agent's row; its version is the fencing token."""
        while True:
            try:
                self._try_register()
                return
            except FilbertlbError as error:
                logger.warning("not registered yet: {}", error)
                sleep(RETRY_S)

    def _try_register(self) -> None:
        sent_s = self._clock.monotonic()
        row = self._table.get(self._key)
        former = self._former(row)
        report = WorkerReport(self._node, self._registration)
        if former is not None and former.registration == self._registration:
            assert row is not None
            self._version = row.version
        else:
            if former is not None:
                self._reconciler.restore(former.ended)
                report = attrs.evolve(
                    report, ended=former.ended, worker=former.worker
                )
            version = ABSENT if row is None else row.version
            write = Write(self._key, encode(report), version)
            self._version = self._table.commit((write,))[0]
        self._fence = self._version
        self._contact_s = sent_s
        logger.info("registered with fencing token {}", self._fence)

    def _former(self, row: Row | None) -> WorkerReport | None:
        if row is None:
            return None
        try:
            return decode_row(row, WorkerReport)
        except UnreadableRowError as error:
            logger.error("report row replaced: {}", error)
            return None

    def _saw_orders(self, key: str, row: Row | None) -> None:
        if key != orders_key(self._node) or row is None:
            return
        try:
            orders = decode_row(row, Orders)
        except UnreadableRowError as error:
            logger.error("orders not followed: {}", error)
            return
        self._reconciler.set_orders(orders)
        self._touch()

    def _extends(self) -> bool:
        """Tell whether leases may be extended now.

        The decider waits out the longest lease that follows from the
        agent's contact with the table. A worker that does not answer
        gets no extensions either, so that its runs end by a known time.
        """
        now_s = self._clock.monotonic()
        return (
            now_s - self._contact_s < CONTACT_LOST_S
            and now_s - self._answered_s < UNANSWERED_S
        )

    def _look_loop(self) -> None:
        while not self._reconciler.fenced:
            if (
                self._reconciler.worker is None
                or self._reconciler.worker_departed
            ):
                sleep(RETRY_S)
                continue
            sent_s = self._clock.monotonic()
            extends = self._extends()
            if extends:
                self._reconciler.record_extension(sent_s)
            try:
                listing = self._link.list_runs(
                    self._fence, self._acked_number, extends, LOOK_WAIT_S
                )
            except WorkerSilentError as error:
                self._unanswered(error)
                sleep(RETRY_S)
                continue
            self._take(listing, sent_s)

    def _unanswered(self, error: WorkerSilentError) -> None:
        if not self._silent:
            self._silent = True
            silent_s = self._clock.monotonic() - self._answered_s
            logger.warning(
                "worker does not answer, silent for {:.1f} s: {}",
                *(silent_s, error),
            )
        self._touch()

    def _answered(self, worker: Worker) -> None:
        now_s = self._clock.monotonic()
        if self._silent:
            self._silent = False
            logger.info(
                "worker {} answers again after {:.1f} s",
                *(worker.incarnation, now_s - self._answered_s),
            )
        self._answered_s = now_s

    def _take(self, listing: RunListing, sent_s: float) -> None:
        worker = self._reconciler.worker
        assert worker is not None
        self._answered(worker)
        if listing.incarnation and listing.incarnation != worker.incarnation:
            # Its announcement tells more; wait for that.
            sleep(REPORT_GATHER_S)
            return
        self._reconciler.record_listing(
            sent_s, listing.running, listing.ends, listing.ends_complete
        )
        self._touch()
        if self._reconciler.last_end_number > self._acked_number:
            # The next look acknowledges ends once they are stored.
            self._report_wake.set()
            sleep(REPORT_GATHER_S)

    def _call_loop(self) -> None:
        while not self._reconciler.fenced:
            now_s = self._clock.monotonic()
            for call in self._reconciler.due_calls(now_s):
                if isinstance(call, StartCall):
                    spawn(self._start, call)
                else:
                    spawn(self._stop, call)
            if self._reconciler.report_changed:
                self._report_wake.set()
            self._wake.wait(self._reconciler.next_pause_s(now_s))
            self._wake.clear()

    def _start(self, call: StartCall) -> None:
        now_s = self._clock.monotonic()
        extends = self._extends()
        if extends:
            self._reconciler.record_extension(now_s)
        result = self._link.start(
            call.order, call.payload, self._fence, extends
        )
        logger.info(
            "start {} attempt {} with fence {}: {}",
            *(call.order.task, call.order.attempt, self._fence),
            result.value,
        )
        self._reconciler.record_start(
            call.order, result, self._clock.monotonic()
        )
        self._touch()

    def _stop(self, call: StopCall) -> None:
        answered = self._link.stop(call.task, call.attempt, self._fence)
        logger.info(
            "stop {} attempt {}: {}",
            *(call.task, call.attempt),
            "answered" if answered else "no answer",
        )
        self._reconciler.record_stop(call, answered, self._clock.monotonic())
        self._touch()

    def _touch(self) -> None:
        self._wake.set()
        if self._reconciler.report_changed:
            self._report_wake.set()

    def _report_loop(self) -> None:
        while not self._reconciler.fenced:
            try:
                self._report()
            except SupersededError as error:
                logger.error("stops: {}", error)
                return
            except FilbertlbError as error:
                logger.warning(
                    "report {} not stored: {}", self._sequence, error
                )
                sleep(RETRY_S)
                self._report_wake.set()
            self._report_wake.wait(REPORT_PERIOD_S)
            self._report_wake.clear()
            sleep(REPORT_GATHER_S)
        logger.error("stops: the worker obeys a newer agent process")

    def _report(self) -> None:
        sent_s = self._clock.monotonic()
        self._sequence += 1
        worker = self._reconciler.worker
        incarnation = "" if worker is None else worker.incarnation
        last_end_number = self._reconciler.last_end_number
        self._reconciler.report_changed = False
        report = WorkerReport(
            self._node,
            self._registration,
            self._sequence,
            worker,
            sent_s - self._answered_s < UNANSWERED_S,
            self._reconciler.running(),
            self._reconciler.ended(),
        )
        try:
            write = Write(self._key, encode(report), self._version)
            self._version = self._table.commit((write,))[0]
        except (RowConflictError, WriteOutcomeUnknownError):
            self._reconciler.report_changed = True
            self._learn_version()
            raise
        except FilbertlbError:
            self._reconciler.report_changed = True
            raise
        self._contact_s = sent_s
        now = self._reconciler.worker
        if now is not None and now.incarnation == incarnation:
            self._acked_number = max(self._acked_number, last_end_number)

    def _learn_version(self) -> None:
        """Read the own row after a write whose outcome is unclear."""
        row = self._table.get(self._key)
        former = self._former(row)
        if former is None or former.registration != self._registration:
            raise SupersededError(
                f"row {self._key!r} belongs to another agent process; "
                "run one process beside each worker"
            )
        assert row is not None
        self._version = row.version
