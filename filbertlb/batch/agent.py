"""Agent on a worker's machine.

It follows the worker's orders, extends its leases and reports its runs
and their ends.
"""

from __future__ import annotations

from secrets import token_hex
from typing import TYPE_CHECKING

from gevent import sleep
from gevent import spawn
from gevent.event import Event
from loguru import logger

from filbertlb.batch.model import Orders
from filbertlb.batch.model import orders_key
from filbertlb.batch.model import orders_table
from filbertlb.batch.model import WorkerReport
from filbertlb.batch.reconciler import WorkerReconciler
from filbertlb.batch.report_row import ReportRow
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import MAX_LEASE_S
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import StopCall
from filbertlb.batch.worker_link import WorkerDownError
from filbertlb.batch.worker_link import WorkerSilentError
from filbertlb.batch.worker_presence import HEARTBEAT_PERIOD_S
from filbertlb.batch.workers import CONTACT_LOST_S
from filbertlb.errors import FilbertlbError
from filbertlb.table.base import RowConflictError
from filbertlb.table.base import WriteOutcomeUnknownError
from filbertlb.table.mirror import Follower
from filbertlb.table.mirror import Mirror
from filbertlb.table.rows import decode_row
from filbertlb.table.rows import UnreadableRowError
from filbertlb.tasks import run_again_after_errors

if TYPE_CHECKING:
    from filbertlb.batch.model import Worker
    from filbertlb.batch.worker_link import RunListing
    from filbertlb.batch.worker_link import WorkerLink
    from filbertlb.core.clock import Clock
    from filbertlb.metrics import Metrics
    from filbertlb.table.base import Row
    from filbertlb.table.base import WatchedTable

REPORT_PERIOD_S = 1.0
REPORT_BATCH_S = 0.02
"""Time during which changes are gathered into one report."""
LONG_POLL_S = 1.0
RETRY_S = 0.25
WORKER_TIMEOUT_S = 3.0
"""Time without an answer after which the worker counts as silent."""

MAX_WAKE_DELAY_S = 1.0
"""Delay of a wake-up above which the process must have been paused."""
PAUSE_RECOVERY_S = 0.3
"""Time after a pause in which the waiting announcements are read."""


class SupersededError(FilbertlbError):
    """Another agent process has registered for the same worker."""

    code = "agent_superseded"


class Agent:
    """Carries out the orders of one worker.

    Parameters
    ----------
    node : str
        Name of the machine; part of the keys of the agent's rows.
    heartbeat_period_s : float
        Time between the announcements of the worker.
    max_lease_s : float
        Longest lease that the worker grants, by its own clock.
    """

    def __init__(
        self,
        table: WatchedTable,
        link: WorkerLink,
        clock: Clock,
        node: str,
        heartbeat_period_s: float = HEARTBEAT_PERIOD_S,
        max_lease_s: float = MAX_LEASE_S,
    ) -> None:
        self._link = link
        self._clock = clock
        self._node = node
        self._registration = token_hex(6)
        self._report_row = ReportRow(table, clock, node, self._registration)
        self._reconciler = WorkerReconciler(
            *(self._registration, clock.monotonic()),
            *(heartbeat_period_s, max_lease_s),
        )
        self._session = self._reconciler.session
        self._call_wake = Event()
        self._report_wake = Event()
        self._mirror = Mirror()
        self._mirror.add_listener(self._on_orders)
        self._follower = Follower(
            table,
            orders_table(node),
            self._mirror,
            clock,
            orders_key(node),
        )
        self._fence = 0
        self._sequence = 0
        self._last_answer_s = float("-inf")
        self._silent = False
        self._extending = False
        self._acked_number = 0

    def update_worker(self, worker: Worker) -> None:
        """Record what the worker announces about itself."""
        previous = self._reconciler.worker
        self._reconciler.set_worker(worker)
        self._reconciler.record_announcement(self._clock.monotonic())
        if previous is None or previous.incarnation != worker.incarnation:
            self._acked_number = 0
            if previous is not None:
                self._raise_fence()
            logger.info(
                "worker {} of {}, fencing token {}",
                *(worker.incarnation, worker.service, self._fence),
            )
        elif previous.draining != worker.draining:
            logger.info(
                "worker {} drains, {} ms left",
                *(worker.incarnation, worker.remaining_ms),
            )
        self._wake_loops()

    def _raise_fence(self) -> None:
        """Raise the fencing token for a new incarnation or contact.

        Calls that were sent under the one before are refused from its first
        listing on, also those that arrive late.
        """
        self._fence = self._report_row.next_fence(self._fence)

    def worker_deregistered(self) -> None:
        """Record that the worker has deregistered."""
        worker = self._reconciler.worker
        if worker is None:
            return
        logger.info("worker {} deregisters", worker.incarnation)
        self._reconciler.record_deregistration(worker.incarnation)
        self._wake_loops()

    def sample(self, metrics: Metrics) -> None:
        """Set the gauges of this agent."""
        now_s = self._clock.monotonic()
        metrics.runs.set(len(self._reconciler.running(now_s)))
        age_s = now_s - self._session.contact_s
        metrics.contact_age_s.set(age_s)
        metrics.lease_left_s.set(self._reconciler.lease_left_s(now_s))

    def run(self) -> None:
        """Register, then run until killed or superseded."""
        self._register()
        tasks = [
            spawn(self._follower.run),
            spawn(run_again_after_errors, self._listing_loop),
            spawn(run_again_after_errors, self._call_loop),
        ]
        try:
            self._report_loop()
        finally:
            for task in tasks:
                task.kill()

    def _register(self) -> None:
        """Take the report row over; its version gives the fencing token."""
        sent_s = self._report_row.register(self._restore)
        self._session.record_stored(0, sent_s, self._clock.monotonic())
        self._fence = self._report_row.first_fence
        logger.info("registered with fencing token {}", self._fence)

    def _restore(self, previous: WorkerReport | None) -> None:
        """Restore what the last agent process reported, if it is known."""
        if previous is None:
            self._reconciler.restore(())
        else:
            self._reconciler.restore(previous.ended, previous.running)

    def _on_orders(self, key: str, row: Row | None) -> None:
        if key != orders_key(self._node) or row is None:
            return
        try:
            orders = decode_row(row, Orders)
        except UnreadableRowError as error:
            logger.error("orders not followed: {}", error)
            return
        self._reconciler.set_orders(orders)
        self._wake_loops()

    def _next_lease_end_s(self, now_s: float) -> float | None:
        """Return the end of the lease that a call sends; None for none.

        Leases are extended only for a limited time after the agent's
        last contact with the table, so the decider can wait until the
        last of them has expired. A worker that does not answer gets no
        extensions either, so that its runs end by a known time, nor one that
        has not listed its runs yet or of which another incarnation answers:
        that would take the end for a time on its own clock.

        The end is fixed before the call, which may be held up.
        """
        extending = (
            now_s - self._session.contact_s < CONTACT_LOST_S
            and now_s - self._last_answer_s < WORKER_TIMEOUT_S
            and self._reconciler.may_start
            and self._reconciler.runs_known
        )
        if extending != self._extending:
            self._extending = extending
            self._log_extending(now_s)
        return now_s + LEASE_S if extending else None

    def _log_extending(self, now_s: float) -> None:
        """Log that extensions have stopped or go on, and what decided it."""
        logger.info(
            "leases {} extended: last contact {:.1f} s ago, last answer "
            "{:.1f} s ago, {:.1f} s left of the lease sent last",
            "are" if self._extending else "are no longer",
            now_s - self._session.contact_s,
            now_s - self._last_answer_s,
            self._reconciler.lease_left_s(now_s),
        )

    def _worker_responds(self, now_s: float) -> bool:
        """Return whether the worker answers calls and announces itself.

        One that refuses connections gets no new work at once; one that is
        silent only after a while, since single answers are lost.
        """
        return (
            now_s - self._last_answer_s < WORKER_TIMEOUT_S
            and self._reconciler.may_start
            and self._reconciler.capacity_known(now_s)
        )

    def _listing_loop(self) -> None:
        while not self._reconciler.fenced:
            worker = self._reconciler.worker
            if worker is None or self._reconciler.worker_gone:
                sleep(RETRY_S)
                continue
            sent_s = self._clock.monotonic()
            lease_end_s = self._next_lease_end_s(sent_s)
            if lease_end_s is not None:
                self._reconciler.record_lease(lease_end_s)
            fence = self._fence
            wait_s = self._long_poll_s()
            try:
                listing = self._link.list_runs(
                    worker.incarnation,
                    fence,
                    self._number_to_acknowledge(),
                    lease_end_s,
                    wait_s,
                )
            except WorkerSilentError as error:
                self._record_silence(error)
                sleep(RETRY_S)
                continue
            if fence == self._fence:
                # Otherwise starts that come after it are still accepted.
                self._process_listing(listing, sent_s)

    def _long_poll_s(self) -> float:
        """Return for how long the worker may wait for an end of a run.

        A listing of a silent worker is needed at once. A call that waits
        also takes longer to time out, and one from the time of the silence
        gets no answer after it.
        """
        if self._silent or not self._reconciler.runs_known:
            return 0.0
        return LONG_POLL_S

    def _number_to_acknowledge(self) -> int:
        """Return the number up to which the worker may drop its ends.

        The next incarnation counts its ends anew and may get the call, so
        ends are acknowledged only after an answer of the present one.
        """
        if self._silent or not self._reconciler.runs_known:
            return 0
        return self._acked_number

    def _record_silence(self, error: WorkerSilentError) -> None:
        now_s = self._clock.monotonic()
        if isinstance(error, WorkerDownError):
            self._reconciler.record_down(now_s)
        if not self._silent:
            self._silent = True
            silent_s = now_s - self._last_answer_s
            logger.warning(
                "worker does not answer, silent for {:.1f} s: {}",
                *(silent_s, error),
            )
        self._wake_loops()

    def _record_answer(self, worker: Worker) -> None:
        now_s = self._clock.monotonic()
        if self._silent:
            self._silent = False
            logger.info(
                "worker {} answers again after {:.1f} s",
                *(worker.incarnation, now_s - self._last_answer_s),
            )
        self._last_answer_s = now_s

    def _process_listing(self, listing: RunListing, sent_s: float) -> None:
        worker = self._reconciler.worker
        assert worker is not None
        if listing.incarnation and listing.incarnation != worker.incarnation:
            # The worker has restarted. Its announcement has more details
            # than the listing, so wait for that. The answer extends no
            # lease of the runs before.
            self._reconciler.record_other_incarnation()
            self._wake_loops()
            sleep(RETRY_S)
            return
        self._record_answer(worker)
        self._reconciler.record_listing(
            *(sent_s, listing.running, listing.ends, listing.ends_complete),
            received_s=self._clock.monotonic(),
        )
        self._wake_loops()
        if self._reconciler.last_end_number > self._acked_number:
            # The next listing call acknowledges ends that are stored by
            # then, so store the report first.
            self._report_wake.set()
            sleep(REPORT_BATCH_S)
        elif listing.ends and not listing.ends_complete:
            # They are listed again at once, as one before is unreadable.
            sleep(RETRY_S)

    def _call_loop(self) -> None:
        while not self._reconciler.fenced:
            now_s = self._clock.monotonic()
            calls = self._reconciler.due_calls(
                now_s, self._next_lease_end_s(now_s)
            )
            if self._reconciler.fence_outdated:
                self._reconciler.fence_outdated = False
                self._raise_fence()
            for call in calls:
                if isinstance(call, StartCall):
                    spawn(self._start, call, self._fence)
                else:
                    spawn(self._stop, call)
            if self._reconciler.report_changed:
                self._report_wake.set()
            pause_s = self._reconciler.next_pause_s(now_s)
            self._call_wake.wait(pause_s)
            self._call_wake.clear()
            late_s = self._clock.monotonic() - now_s - pause_s
            if late_s > MAX_WAKE_DELAY_S:
                # Announcements wait to be read, the oldest first.
                logger.warning("was paused for {:.1f} s", late_s)
                sleep(PAUSE_RECOVERY_S)

    def _start(self, call: StartCall, fence: int) -> None:
        now_s = self._clock.monotonic()
        if call.lease_end_s is not None and now_s >= call.lease_end_s:
            # The worker would refuse it as late, unless it has restarted
            # under its id: the end means nothing to its next clock.
            logger.info("start of {} held up, not sent", call.order.task)
            result = StartResult.UNHEALTHY
        else:
            result = self._send_start(call, fence, now_s)
        self._reconciler.record_start(
            call.order, result, self._clock.monotonic()
        )
        self._wake_loops()

    def _send_start(
        self, call: StartCall, fence: int, now_s: float
    ) -> StartResult:
        lease_end_s = call.lease_end_s
        contact_age_s = now_s - self._session.contact_s
        result = StartResult.UNKNOWN
        try:
            result = self._link.start(
                call.order, call.payload, fence, lease_end_s
            )
        except Exception:
            # Whether the worker got the call is unknown, as after a timeout.
            logger.exception("start of {} failed", call.order.task)
        logger.info(
            "start {} attempt {} with fence {}: {}, last contact {:.1f} s "
            "before, lease of {} s",
            *(call.order.task, call.order.attempt, fence),
            *(result.value, contact_age_s),
            0 if lease_end_s is None else round(lease_end_s - now_s, 1),
        )
        if result is StartResult.FENCED and fence != self._fence:
            # This agent raised the token itself; the worker did nothing.
            return StartResult.UNHEALTHY
        return result

    def _stop(self, call: StopCall) -> None:
        answered = False
        try:
            answered = self._link.stop(call.task, call.attempt, self._fence)
        except Exception:
            logger.exception("stop of {} failed", call.task)
        logger.info(
            "stop {} attempt {}: {}",
            *(call.task, call.attempt),
            "answered" if answered else "no answer",
        )
        self._reconciler.record_stop(call, answered, self._clock.monotonic())
        self._wake_loops()

    def _wake_loops(self) -> None:
        self._call_wake.set()
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
                    "report {} not stored, retrying: {}",
                    self._sequence,
                    error,
                )
                sleep(RETRY_S)
                self._report_wake.set()
            except Exception:
                # Without this task the process would live on without use.
                logger.exception("report {} failed", self._sequence)
                sleep(RETRY_S)
                self._reconciler.report_changed = True
                self._report_wake.set()
            self._report_wake.wait(REPORT_PERIOD_S)
            self._report_wake.clear()
            sleep(REPORT_BATCH_S)
        logger.error("stops: the worker accepts only a newer agent process")

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
            self._worker_responds(sent_s),
            self._reconciler.running(sent_s),
            self._reconciler.ended(),
            self._reconciler.awaited_sequence(self._sequence, sent_s),
        )
        try:
            self._report_row.store(report)
        except (RowConflictError, WriteOutcomeUnknownError):
            self._reconciler.report_changed = True
            self._reload_row()
            raise
        except FilbertlbError:
            self._reconciler.report_changed = True
            raise
        self._reconciler.record_told(report)
        self._record_contact(report, sent_s)
        current = self._reconciler.worker
        if current is not None and current.incarnation == incarnation:
            self._acked_number = max(self._acked_number, last_end_number)

    def _record_contact(self, report: WorkerReport, sent_s: float) -> None:
        """Record a stored report.

        Starts that were sent under an earlier contact are refused from the
        next listing on, also those that arrive late.
        """
        answered_s = self._clock.monotonic()
        gap_s = answered_s - self._session.contact_s
        if not self._session.record_stored(
            report.sequence, sent_s, answered_s
        ):
            return
        logger.warning(
            "back in contact with report {} after {:.1f} s",
            *(report.sequence, gap_s),
        )
        self._raise_fence()
        # The next report tells what is awaited.
        self._reconciler.report_changed = True

    def _reload_row(self) -> None:
        """Read the report row after a conflict or an unknown outcome.

        Raises
        ------
        SupersededError
            If another agent process has written the row.
        """
        if not self._report_row.reload():
            raise SupersededError(
                f"row {self._report_row.key!r} belongs to another agent "
                "process; run one process beside each worker"
            )
