"""Reconciles the orders of a worker with the runs that it reports.

Decides without I/O. The agent passes in orders, announcements and replies
and sends the calls that :meth:`WorkerReconciler.due_calls` returns.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.local_run import LocalRun
from filbertlb.batch.local_run import RunPhase
from filbertlb.batch.model import EndCause
from filbertlb.batch.model import Run
from filbertlb.batch.model import RunEnd
from filbertlb.batch.worker_link import CLOCK_DRIFT
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import StopCall
from filbertlb.core.amounts import covers
from filbertlb.core.amounts import is_negative
from filbertlb.core.amounts import minus
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.batch.model import Order
    from filbertlb.batch.model import Orders
    from filbertlb.batch.model import RunKey
    from filbertlb.batch.model import Worker
    from filbertlb.batch.worker_link import ListedEnd
    from filbertlb.core.amounts import Amount

START_RETRY_S = 0.25
STOP_RETRY_S = 0.6
CAPACITY_WAIT_S = 2.0
"""Time that an order may wait for stopped runs to end before it is refused.

It is less than the 3 s for which gang members wait for each other.
"""
HEARTBEAT_PERIOD_S = 1.5
"""Time between the announcements of a worker, unless the site states it."""
MAX_HEARTBEAT_PERIODS = 2.2
"""Age of the latest announcement, in periods, up to which starts rely on it.

A worker that has shrunk must not be overfilled long after it has said so.
"""
MAX_START_TRIES = 3
"""Number of unconfirmed starts after which an order is given up."""
LEASE_MARGIN_S = 0.3
"""Margin added to a lease before its runs count as lost."""
MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0

NO_CAPACITY: Amount = (-1, -1, -1)
"""Free capacity with which nothing starts, not even what needs nothing."""


@attrs.define
class WorkerReconciler:
    """Brings the runs of one worker in line with its orders.

    Attributes
    ----------
    fenced : bool
        The worker refused the fencing token as another agent process has
        replaced this one, which must stop.
    created_s : float
        Monotonic time at which this agent process started.
    heartbeat_period_s : float
        Time between the announcements of the worker.
    last_end_number : int
        Highest number of an end that was recorded.
    report_changed : bool
        The report's contents changed since it was last built.
    """

    created_s: float = 0.0
    heartbeat_period_s: float = HEARTBEAT_PERIOD_S
    worker: Worker | None = None
    orders: Orders | None = None
    fenced: bool = False
    last_end_number: int = 0
    report_changed: bool = False
    _runs: dict[RunKey, LocalRun] = attrs.Factory(dict)
    _ended: dict[RunKey, RunEnd] = attrs.Factory(dict)
    _waiting_since_s: dict[RunKey, float] = attrs.Factory(dict)
    _checkpoint_by_run: dict[RunKey, str] = attrs.Factory(dict)
    _crash_age_ms_by_run: dict[RunKey, int] = attrs.Factory(dict)
    _announced_s: float = float("-inf")
    _last_extension_s: float = 0.0
    _listing_received: bool = False
    _deregistered: bool = False
    _replaced: bool = False
    _down_since_s: float | None = None
    _former: str = ""
    _former_runs: dict[RunKey, LocalRun] = attrs.Factory(dict)

    def restore(
        self, ended: Iterable[RunEnd], running: Iterable[Run] = ()
    ) -> None:
        """Restore the ends and checkpoints that the last process reported.

        A run that was lost meanwhile can resume from its checkpoint.
        """
        for end in ended:
            self._ended[end.key] = end
        for run in running:
            self._checkpoint_by_run[run.key] = run.saved

    def set_worker(self, worker: Worker) -> None:
        """Set what the worker announced.

        Which runs a new incarnation has is known from its first listing: a
        start names no incarnation, so it may have carried out some that
        were meant for the one before.
        """
        previous = self.worker
        if previous is not None and previous.incarnation != worker.incarnation:
            self._record_crash_ages()
            self._replace_runs(previous.incarnation, worker.incarnation)
            self._down_since_s = None
            self.last_end_number = 0
            self._listing_received = False
            self._deregistered = self._replaced = False
        if previous is None or worker != attrs.evolve(
            previous, cold_left_ms=worker.cold_left_ms
        ):
            # The time for which a worker is cold changes with each
            # announcement; the periodic report tells it soon enough.
            self.report_changed = True
        self.worker = worker

    def _replace_runs(self, before: str, after: str) -> None:
        """Set the runs aside; take those back of an incarnation that returns.

        One that seemed to be replaced may still carry out a start.
        """
        former_runs: dict[RunKey, LocalRun] = {}
        if after == self._former:
            former_runs = self._former_runs
            self._crash_age_ms_by_run.clear()
        self._former, self._former_runs = before, self._runs
        self._runs = {
            key: run
            for key, run in former_runs.items()
            if key not in self._ended
        }

    def record_announcement(self, now_s: float) -> None:
        """Record that the worker announced itself, changed or not."""
        self._announced_s = now_s

    def capacity_known(self, now_s: float) -> bool:
        """Return whether the announced capacity is recent enough."""
        max_age_s = MAX_HEARTBEAT_PERIODS * self.heartbeat_period_s
        return now_s - self._announced_s <= max_age_s

    def record_deregistration(self, incarnation: str) -> None:
        """Record that the worker has deregistered.

        It ends some time later and works until then, longest if it never
        got the answer.
        """
        if self.worker is None or self.worker.incarnation != incarnation:
            return
        self._deregistered = True

    def set_orders(self, orders: Orders) -> None:
        """Replace the orders; forget what concerns runs no longer ordered."""
        self.orders = orders
        wanted = {order.key: order for order in orders.orders}
        for key in self._runs.keys() & wanted.keys():
            self._runs[key].needs = wanted[key].needs
        by_run: tuple[dict[RunKey, Any], ...] = (
            self._ended,
            self._waiting_since_s,
            self._checkpoint_by_run,
            self._crash_age_ms_by_run,
        )
        for entries in by_run:
            for key in entries.keys() - wanted.keys():
                del entries[key]

    @property
    def worker_gone(self) -> bool:
        """Whether the worker has deregistered and its process has ended."""
        return self._deregistered and self.worker_down

    def record_down(self, now_s: float) -> None:
        """Record that the worker's process has ended."""
        if self._down_since_s is None:
            self._down_since_s = now_s
            self.report_changed = True

    @property
    def worker_down(self) -> bool:
        """Whether the worker's process has ended and not returned yet."""
        return self._down_since_s is not None

    def record_other_incarnation(self) -> None:
        """Record that another incarnation answers than was announced."""
        self._replaced = True

    @property
    def may_start(self) -> bool:
        """Whether a start would reach the incarnation that it is meant for.

        It would not if the worker is down, or has restarted and not
        announced itself yet.
        """
        return not self.worker_down and not self._replaced

    @property
    def runs_known(self) -> bool:
        """Whether the latest listing came from the present incarnation."""
        return self._listing_received and not self._replaced

    def record_extension(self, now_s: float) -> None:
        """Record that a lease extension was sent, answered or not."""
        self._last_extension_s = now_s

    def due_calls(self, now_s: float) -> list[StartCall | StopCall]:
        """Return the calls to send now."""
        orders = self.orders
        if orders is None or self.fenced:
            return []
        self._end_expired(orders, now_s)
        if self.worker_gone:
            self._end_with_worker(orders, now_s)
            return []
        if self.worker is None or not self._listing_received:
            return []
        calls: list[StartCall | StopCall] = []
        wanted = set()
        for order in orders.orders:
            key = order.key
            if key in self._ended:
                continue
            wanted.add(key)
            call = self._call_for(order, orders, now_s)
            if call is not None:
                calls.append(call)
        for key, run in self._runs.items():
            if key not in wanted:
                stop = self._stop(key, run, now_s)
                if stop is not None:
                    calls.append(stop)
        return calls

    def record_start(
        self, order: Order, result: StartResult, now_s: float
    ) -> None:
        """Record the reply to a start."""
        key = order.key
        run = self._runs.get(key)
        if run is None:
            return
        run.call_ended(now_s + START_RETRY_S)
        if result is StartResult.STARTED:
            run.start_unanswered = False
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.RUNNING
                run.running_since_s = now_s
            run.acked_s = now_s
            self.report_changed = True
            return
        if result is StartResult.FENCED:
            self.fenced = True
        elif run.phase is RunPhase.STARTING:
            self._record_unconfirmed_start(key, run, result)
        else:
            logger.info(
                "repeated start of {} attempt {} got {}; the run continues",
                *(*key, result.value),
            )

    def record_stop(
        self, call: StopCall, answered: bool, now_s: float
    ) -> None:
        """Record the reply to a stop.

        The first answer counts: from then on the worker starts no such run,
        so the next listing without it proves that it has ended.
        """
        run = self._runs.get((call.task, call.attempt))
        if run is None:
            return
        run.call_ended(now_s + STOP_RETRY_S)
        if answered and not run.acked_s:
            run.acked_s = now_s

    def record_listing(
        self,
        sent_s: float,
        running: Iterable[Run],
        ends: Iterable[ListedEnd],
        ends_complete: bool,
        received_s: float | None = None,
    ) -> None:
        """Record the runs and ends that the worker listed.

        Parameters
        ----------
        sent_s : float
            Monotonic time at which the listing was requested.
        ends_complete : bool
            All unacknowledged ends are listed.
        received_s : float, optional
            Monotonic time at which the listing was received. The worker
            sends it as soon as a run ends, so it is the time of new ends.
            Without it, no run times are recorded.
        """
        self._listing_received = True
        self._down_since_s = None
        self._replaced = False
        listed = set()
        for listed_end in ends:
            listed.add(listed_end.end.key)
            self._record_end(listed_end, received_s)
        for run in running:
            key = run.key
            listed.add(key)
            self._record_running(key, run, sent_s)
        if ends_complete:
            self._end_unlisted(sent_s, listed)

    def running(self) -> tuple[Run, ...]:
        """Return the runs that the worker is known to have."""
        return tuple(
            Run(task, attempt, run.saved, run.percent)
            for (task, attempt), run in self._runs.items()
            if run.phase is not RunPhase.STARTING
        )

    def ended(self) -> tuple[RunEnd, ...]:
        """Return the ends that the decider has not processed yet."""
        return tuple(self._ended.values())

    def next_pause_s(self, now_s: float) -> float:
        """Return the time in seconds until the next call may be due."""
        times = [
            max(run.retry_s, run.answer_due_s)
            for run in self._runs.values()
            if run.phase is not RunPhase.RUNNING
        ]
        times += [
            since_s + CAPACITY_WAIT_S
            for since_s in self._waiting_since_s.values()
        ]
        due_s = min(times, default=now_s + MAX_PAUSE_S)
        return max(MIN_PAUSE_S, due_s - now_s)

    def _call_for(
        self, order: Order, orders: Orders, now_s: float
    ) -> StartCall | StopCall | None:
        assert self.worker is not None
        key = order.key
        run = self._runs.get(key)
        if order.incarnation != self.worker.incarnation:
            if run is not None:
                return self._stop(key, run, now_s)
            self._end_run(key, EndCause.LOST, "other incarnation")
            return None
        if run is None:
            if not order.stop:
                return self._admit(order, orders, now_s)
            self._end_run(key, EndCause.STOPPED, "stopped before it started")
            return None
        if order.stop or run.phase is RunPhase.STOPPING:
            return self._stop(key, run, now_s)
        if run.phase is RunPhase.STARTING and run.call_due(now_s):
            return self._repeat_start(run, order, orders, now_s)
        return None

    def _repeat_start(
        self, run: LocalRun, order: Order, orders: Orders, now_s: float
    ) -> StartCall | StopCall | None:
        """Repeat a start that was not confirmed if it may still be made.

        The worker may have shrunk, or begun to drain, since the last call,
        or it leaves all starts without an answer. A stop then makes it
        refuse a start that it may still carry out.
        """
        assert self.worker is not None
        key = order.key
        if run.answer_due_s:
            run.start_unanswered = True
            run.tries += 1
        if not self.may_start:
            self._put_off_start(key, run, now_s)
            return None
        fits = not is_negative(self._free_capacity(now_s))
        if fits and not self.worker.draining and run.tries < MAX_START_TRIES:
            run.call_sent(now_s)
            return StartCall(order, orders.payload_by_job_id[order.job_id])
        if run.start_unanswered:
            logger.info("unanswered start of {} attempt {} withdrawn", *key)
            return self._stop(key, run, now_s)
        del self._runs[key]
        return self._admit(order, orders, now_s)

    def _put_off_start(self, key: RunKey, run: LocalRun, now_s: float) -> None:
        """Wait for the worker with a start that may have been carried out.

        It gets no answer from a worker that is down, and the next
        incarnation must not get it.
        """
        if run.start_unanswered:
            run.call_ended(now_s + START_RETRY_S)
            return
        del self._runs[key]
        self._end_run(key, EndCause.REFUSED, "worker is down")

    def _admit(
        self, order: Order, orders: Orders, now_s: float
    ) -> StartCall | None:
        assert self.worker is not None
        key = order.key
        if not self.may_start:
            self._end_run(key, EndCause.REFUSED, "worker is down")
            return None
        if self.worker.draining:
            self._end_run(key, EndCause.REFUSED, "worker is draining")
            return None
        if not covers(self._free_capacity(now_s), order.needs):
            since_s = self._waiting_since_s.setdefault(key, now_s)
            after_stops = self._capacity_after_stops(orders)
            if not covers(after_stops, order.needs):
                self._end_run(key, EndCause.REFUSED, "worker too small")
            elif now_s - since_s > CAPACITY_WAIT_S:
                self._end_run(key, EndCause.REFUSED, "no capacity in time")
            return None
        self._waiting_since_s.pop(key, None)
        run = LocalRun(order.needs, RunPhase.STARTING, started_s=now_s)
        run.call_sent(now_s)
        self._runs[key] = run
        return StartCall(order, orders.payload_by_job_id[order.job_id])

    def _free_capacity(self, now_s: float) -> Amount:
        assert self.worker is not None
        if not self.capacity_known(now_s):
            return NO_CAPACITY
        used = ZERO_AMOUNT
        for run in self._runs.values():
            if run.needs is None:
                # A run that was not ordered may use any amount of
                # resources, so nothing starts until it has ended.
                return NO_CAPACITY
            used = plus(used, run.needs)
        return minus(self.worker.capacity, used)

    def _capacity_after_stops(self, orders: Orders) -> Amount:
        """Return the capacity that the runs to be kept don't use."""
        assert self.worker is not None
        room = self.worker.capacity
        for order in orders.orders:
            if not order.stop and order.key in self._runs:
                room = minus(room, order.needs)
        return room

    def _stop(
        self, key: RunKey, run: LocalRun, now_s: float
    ) -> StopCall | None:
        if run.awaits_answer(now_s):
            return None
        if run.phase is not RunPhase.STOPPING:
            run.phase = RunPhase.STOPPING
            run.acked_s = 0.0
            run.retry_s = now_s
        if not run.call_due(now_s):
            return None
        run.call_sent(now_s)
        return StopCall(*key)

    def _record_unconfirmed_start(
        self, key: RunKey, run: LocalRun, result: StartResult
    ) -> None:
        run.tries += 1
        task, attempt = key
        logger.info(
            "start of {} attempt {} not confirmed: {} (try {})",
            *(task, attempt, result.value, run.tries),
        )
        if result is StartResult.UNKNOWN:
            run.start_unanswered = True
        elif result is StartResult.OTHER_INCARNATION:
            del self._runs[key]
            self._end_run(key, EndCause.LOST, "other incarnation")
        elif (
            result in (StartResult.TOO_OLD, StartResult.INVALID)
            or run.tries >= MAX_START_TRIES
        ) and not run.start_unanswered:
            del self._runs[key]
            self._end_run(key, EndCause.REFUSED, result.value)

    def _record_end(self, listed: ListedEnd, received_s: float | None) -> None:
        self.last_end_number = max(self.last_end_number, listed.number)
        end = listed.end
        key = end.key
        run = self._runs.pop(key, None)
        if key not in self._ended:
            run_ms = None
            if run is not None and received_s is not None:
                run_ms = run.run_ms(received_s)
            self._ended[key] = attrs.evolve(end, run_ms=run_ms)
            self.report_changed = True
            logger.info(
                "run {} attempt {} ended {} after {} ms",
                *(end.task, end.attempt, end.cause.value),
                "unknown" if run_ms is None else run_ms,
            )

    def _record_running(self, key: RunKey, listed: Run, sent_s: float) -> None:
        run = self._runs.get(key)
        if run is None:
            run = LocalRun(self._needs_of(key), RunPhase.RUNNING)
            self._runs[key] = run
            self.report_changed = True
            logger.info(
                "worker lists run {} attempt {}, unknown to this agent",
                *key,
            )
        elif run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
            run.start_unanswered = False
            run.running_since_s = sent_s
            self.report_changed = True
        if run.phase is RunPhase.RUNNING:
            run.acked_s = max(run.acked_s, sent_s)
        run.saved = listed.saved
        if listed.saved:
            self._checkpoint_by_run[key] = listed.saved
        run.percent = listed.percent

    def _needs_of(self, key: RunKey) -> Amount | None:
        for order in self.orders.orders if self.orders else ():
            if order.key == key:
                return order.needs
        return None

    def _end_unlisted(self, sent_s: float, listed: set[RunKey]) -> None:
        for key, run in list(self._runs.items()):
            if key in listed or run.awaits_answer(sent_s):
                continue
            if 0 < run.acked_s < sent_s:
                del self._runs[key]
                stopping = run.phase is RunPhase.STOPPING
                cause = EndCause.STOPPED if stopping else EndCause.LOST
                # It was in progress when the worker last acknowledged it.
                run_ms = run.run_ms(run.acked_s)
                self._end_run(key, cause, "not listed by the worker", run_ms)

    def _record_crash_ages(self) -> None:
        """Keep the ages of the runs that the worker had when it crashed."""
        for key, run in self._runs.items():
            run_ms = self._crashed_after_ms(run)
            if run_ms is not None:
                self._crash_age_ms_by_run[key] = run_ms

    def _crashed_after_ms(self, run: LocalRun) -> int | None:
        """Return the age of a run when the worker crashed under it.

        None if the worker is not down, was to leave anyway, was down before
        the run was started, or had refused the run.
        """
        down_s, started_s = self._down_since_s, run.started_s
        if down_s is None or started_s is None or started_s > down_s:
            return None
        leaves = self.worker is not None and self.worker.draining
        if leaves or self._deregistered or not run.may_have_begun:
            return None
        return round(1000 * (down_s - started_s))

    def _end_with_worker(self, orders: Orders, now_s: float) -> None:
        """End orders as lost since the worker's process has ended.

        The next incarnation may still carry out a start without an answer.
        """
        self._runs = {
            key: run for key, run in self._runs.items() if run.start_pending
        }
        for run in self._runs.values():
            run.retry_s = now_s + START_RETRY_S
        self._end_orders(orders, "the worker has left")

    def _end_expired(self, orders: Orders, now_s: float) -> None:
        """End runs as lost once their lease must have expired.

        Without a worker that has listed its runs, all orders end as lost.
        """
        lease_s = LEASE_S * CLOCK_DRIFT + LEASE_MARGIN_S
        last_extension_s = max(self.created_s, self._last_extension_s)
        if now_s < last_extension_s + lease_s:
            return
        self._record_crash_ages()
        for key, run in list(self._runs.items()):
            del self._runs[key]
            run_ms = run.run_ms(run.acked_s)
            self._end_run(key, EndCause.LOST, "lease ran out", run_ms)
        if not self._listing_received:
            self._end_orders(orders, "no worker has listed its runs")

    def _end_orders(self, orders: Orders, reason: str) -> None:
        """End as lost all orders without a run that have not ended yet."""
        for order in orders.orders:
            if order.key not in self._ended and order.key not in self._runs:
                self._end_run(order.key, EndCause.LOST, reason)

    def _end_run(
        self,
        key: RunKey,
        cause: EndCause,
        reason: str,
        run_ms: int | None = None,
    ) -> None:
        """Record an end that the worker has not listed."""
        self._waiting_since_s.pop(key, None)
        saved = self._checkpoint_by_run.get(key, "")
        crash_ms = self._crash_age_ms_by_run.get(key)
        self._ended[key] = RunEnd(
            key[0], key[1], cause, saved, crash_ms, run_ms
        )
        self.report_changed = True
        logger.info(
            "run {} attempt {} ended {}: {}{}",
            *(*key, cause.value, reason),
            ""
            if crash_ms is None
            else f", worker crashed after {crash_ms} ms",
        )
