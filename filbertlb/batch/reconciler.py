"""Reconciles the orders of a worker with the runs that it reports.

Decides without I/O. The agent passes in orders, announcements and replies
and sends the calls that :meth:`WorkerReconciler.due_calls` returns.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.contact_session import ContactSession
from filbertlb.batch.crash_ages import record_crash_ages
from filbertlb.batch.late_ends import awaited_sequence
from filbertlb.batch.late_ends import drop_confirmed
from filbertlb.batch.late_ends import record_told
from filbertlb.batch.local_expiry import end_expired_runs
from filbertlb.batch.local_expiry import end_with_worker
from filbertlb.batch.local_expiry import lease_expired
from filbertlb.batch.local_listings import end_unlisted
from filbertlb.batch.local_listings import record_listed_end
from filbertlb.batch.local_listings import record_listed_run
from filbertlb.batch.local_run import RunPhase
from filbertlb.batch.local_runs import LocalRuns
from filbertlb.batch.local_starts import CAPACITY_WAIT_S
from filbertlb.batch.local_starts import LocalStarts
from filbertlb.batch.local_starts import START_RETRY_S
from filbertlb.batch.local_stops import record_stop_reply
from filbertlb.batch.local_stops import stop
from filbertlb.batch.model import EndCause
from filbertlb.batch.worker_clock import SLOWEST_RATE
from filbertlb.batch.worker_link import LEASE_S
from filbertlb.batch.worker_link import MAX_LEASE_S
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.batch.worker_link import StopCall
from filbertlb.batch.worker_presence import HEARTBEAT_PERIOD_S
from filbertlb.batch.worker_presence import WorkerPresence
from filbertlb.batch.workers import DEAD_AFTER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.batch.model import Order
    from filbertlb.batch.model import Orders
    from filbertlb.batch.model import Run
    from filbertlb.batch.model import RunEnd
    from filbertlb.batch.model import RunKey
    from filbertlb.batch.model import Worker
    from filbertlb.batch.model import WorkerReport
    from filbertlb.batch.worker_link import ListedEnd

MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0


class WorkerReconciler:
    """Brings the runs of one worker in line with its orders.

    Parameters
    ----------
    registration : str
        Token of this agent process.
    created_s : float
        Monotonic time at which this agent process started.
    heartbeat_period_s : float
        Time between the announcements of the worker.
    max_lease_s : float
        Longest lease that the worker grants, by its own clock.

    Attributes
    ----------
    session : ContactSession
        Contact with the table. Runs start only while it lasts and the
        orders confirm it.
    orders : Orders, optional
        The latest orders; None before they are read.
    fenced : bool
        The worker refused the fencing token as another agent process has
        replaced this one, which must stop.
    last_end_number : int
        Highest number of an end that was recorded.
    fence_outdated : bool
        A start that the worker may still get was given up. The agent raises
        its fencing token before the next call, so that it is refused.
    """

    def __init__(
        self,
        registration: str,
        created_s: float = 0.0,
        heartbeat_period_s: float = HEARTBEAT_PERIOD_S,
        max_lease_s: float = MAX_LEASE_S,
    ) -> None:
        self.session = ContactSession(registration)
        self.orders: Orders | None = None
        self.fenced = False
        self.fence_outdated = False
        self.last_end_number = 0
        # The last process may have extended the lease until then.
        self._lease_end_s = created_s + LEASE_S
        self._max_lease_s = max_lease_s
        # Another incarnation, or another agent process, came before.
        self._has_predecessor = False
        self._presence = WorkerPresence(heartbeat_period_s)
        self._runs = LocalRuns()
        self._starts = LocalStarts(self._presence, self._runs)

    @property
    def worker(self) -> Worker | None:
        """What the worker announced last; None before that."""
        return self._presence.worker

    @worker.setter
    def worker(self, worker: Worker) -> None:
        self._presence.worker = worker

    @property
    def report_changed(self) -> bool:
        """Whether the report's contents changed since it was last built."""
        return self._runs.report_changed

    @report_changed.setter
    def report_changed(self, changed: bool) -> None:
        self._runs.report_changed = changed

    @property
    def worker_down(self) -> bool:
        """Whether the worker's process has ended and not returned yet."""
        return self._presence.down

    @property
    def worker_gone(self) -> bool:
        """Whether the worker has deregistered and its process has ended."""
        return self._presence.gone

    @property
    def may_start(self) -> bool:
        """Whether a start would reach the incarnation that it is meant for."""
        return self._presence.may_start

    @property
    def runs_known(self) -> bool:
        """Whether the latest listing came from the present incarnation."""
        return self._presence.runs_known

    def capacity_known(self, now_s: float) -> bool:
        """Return whether the announced capacity is recent enough."""
        return self._presence.capacity_known(now_s)

    def restore(
        self, ended: Iterable[RunEnd], running: Iterable[Run] = ()
    ) -> None:
        """Restore the ends and checkpoints that the last process reported.

        A run that was lost meanwhile can resume from its checkpoint.
        """
        self._has_predecessor = True
        self._runs.restore(ended, running)

    def set_worker(self, worker: Worker) -> None:
        """Set what the worker announced.

        Which runs a new incarnation has is known from its first listing: a
        start names no incarnation, so it may have carried out some that
        were meant for the one before.
        """
        previous = self.worker
        if previous is not None and previous.incarnation != worker.incarnation:
            self._replace_incarnation(previous, worker)
        if previous is None or worker != attrs.evolve(
            previous, cold_left_ms=worker.cold_left_ms
        ):
            # The time for which a worker is cold changes with each
            # announcement; the periodic report tells it soon enough.
            self.report_changed = True
        self.worker = worker

    def record_announcement(self, now_s: float) -> None:
        """Record that the worker announced itself, changed or not."""
        self._presence.record_announcement(now_s)

    def record_deregistration(self, incarnation: str) -> None:
        """Record that the worker has deregistered.

        It ends some time later and works until then, longest if it never
        got the answer.
        """
        self._presence.record_deregistration(incarnation)

    def record_down(self, now_s: float) -> None:
        """Record that the worker's process has ended."""
        if not self._presence.down:
            self._presence.down_since_s = now_s
            self.report_changed = True

    def record_other_incarnation(self) -> None:
        """Record that another incarnation answers than was announced."""
        self._presence.record_other_incarnation()

    def record_lease(self, end_s: float) -> None:
        """Record the end of a lease that is sent, answered or not."""
        self._lease_end_s = max(self._lease_end_s, end_s)

    def lease_left_s(self, now_s: float) -> float:
        """Return the time left of the latest lease; negative after it."""
        return self._lease_end_s - now_s

    def set_orders(self, orders: Orders) -> None:
        """Replace the orders; forget what concerns runs no longer ordered."""
        self.orders = orders
        was_confirmed = self.session.confirmed
        self.session.record_confirmed(orders.confirmed)
        if self.session.confirmed and not was_confirmed:
            logger.info("orders confirm the contact: {}", orders.confirmed)
        elif orders.orders and not self.session.confirmed:
            logger.info(
                "{} orders wait for a row that confirms this agent's contact, "
                "{} was read",
                *(len(orders.orders), orders.confirmed),
            )
        self._runs.follow_orders(orders.orders)
        drop_confirmed(self._runs, self._ordered(), self.session)

    def due_calls(
        self, now_s: float, lease_end_s: float | None = None
    ) -> list[StartCall | StopCall]:
        """Return the calls to send now.

        Parameters
        ----------
        lease_end_s : float, optional
            Monotonic time to which starts extend the lease; None if they
            may not. It counts from here on, before they are sent.
        """
        orders = self.orders
        if orders is None or self.fenced:
            return []
        if lease_expired(self._lease_end_s, now_s):
            self._end_expired(orders, now_s)
        if self.worker_gone:
            end_with_worker(self._runs, orders, now_s)
            return []
        if self.worker is None or not self._presence.listed:
            return []
        calls = [
            self._with_lease(call, lease_end_s)
            for call in self._calls_for_orders(orders, now_s)
        ]
        return calls + self._stops_of_others(now_s)

    def _with_lease(
        self, call: StartCall | StopCall, lease_end_s: float | None
    ) -> StartCall | StopCall:
        """Return a call, if it is a start with the lease that it extends."""
        if isinstance(call, StopCall) or lease_end_s is None:
            return call
        self.record_lease(lease_end_s)
        return attrs.evolve(call, lease_end_s=lease_end_s)

    def record_start(
        self, order: Order, result: StartResult, now_s: float
    ) -> None:
        """Record the reply to a start."""
        run = self._runs.by_key.get(order.key)
        if run is None:
            return
        run.call_ended(now_s + START_RETRY_S)
        if result is StartResult.FENCED:
            self.fenced = True
        else:
            self._starts.record_reply(order.key, run, result, now_s)

    def record_stop(
        self, call: StopCall, answered: bool, now_s: float
    ) -> None:
        """Record the reply to a stop."""
        run = self._runs.by_key.get((call.task, call.attempt))
        if run is not None:
            record_stop_reply(run, answered, now_s)

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
        if not self._presence.listed and self._has_predecessor:
            listed_s = sent_s if received_s is None else received_s
            self._record_predecessors_lease(listed_s)
        self._presence.record_listing()
        orders = self._current_orders()
        listed = set()
        for listed_end in ends:
            listed.add(listed_end.end.key)
            self.last_end_number = max(self.last_end_number, listed_end.number)
            record_listed_end(self._runs, listed_end, received_s)
        for run in running:
            listed.add(run.key)
            record_listed_run(self._runs, run, orders, sent_s, received_s)
        self._runs.forget_read_ends(listed)
        if ends_complete:
            end_unlisted(self._runs, sent_s, listed)

    def running(self, now_s: float) -> tuple[Run, ...]:
        """Return the runs that the worker is known to have."""
        return self._runs.running(now_s)

    def ended(self) -> tuple[RunEnd, ...]:
        """Return the ends that the decider has not processed yet."""
        return tuple(self._runs.ended.values())

    def record_told(self, report: WorkerReport) -> None:
        """Record what a stored report has told."""
        record_told(self._runs, report.sequence, report.ended)

    def awaited_sequence(self, sequence: int, sent_s: float) -> int:
        """Return the number of the report that the decider must confirm.

        Parameters
        ----------
        sequence : int
            Number of the report that is about to be sent.
        sent_s : float
            Monotonic time.
        """
        return max(
            self.session.awaited_sequence(sequence, sent_s),
            awaited_sequence(self._runs, self._ordered(), sequence),
        )

    def next_pause_s(self, now_s: float) -> float:
        """Return the time in seconds until the next call may be due."""
        times = [
            max(run.retry_s, run.answer_due_s)
            for run in self._runs.by_key.values()
            if run.phase is not RunPhase.RUNNING
        ]
        times += [
            since_s + CAPACITY_WAIT_S
            for since_s in self._runs.waiting_since_s.values()
        ]
        due_s = min(times, default=now_s + MAX_PAUSE_S)
        return max(MIN_PAUSE_S, due_s - now_s)

    def _replace_incarnation(self, previous: Worker, worker: Worker) -> None:
        """Begin with a new incarnation, which counts its ends anew."""
        record_crash_ages(self._runs, self._presence)
        self._runs.replace_incarnation(
            previous.incarnation, worker.incarnation
        )
        self._presence.begin_incarnation()
        self._has_predecessor = True
        self.last_end_number = 0

    def _record_predecessors_lease(self, listed_s: float) -> None:
        """Record the longest lease of a call for an earlier incarnation.

        Until its first listing the worker accepted such calls, whose
        deadlines mean nothing to its clock.
        """
        self.record_lease(listed_s + self._max_lease_s / SLOWEST_RATE)

    def _current_orders(self) -> tuple[Order, ...]:
        return () if self.orders is None else self.orders.orders

    def _ordered(self) -> set[RunKey]:
        return {order.key for order in self._current_orders()}

    def _calls_for_orders(
        self, orders: Orders, now_s: float
    ) -> list[StartCall | StopCall]:
        calls = []
        for order in orders.orders:
            if order.key in self._runs.ended:
                continue
            call = self._call_for(order, orders, now_s)
            if call is not None:
                calls.append(call)
        return calls

    def _call_for(
        self, order: Order, orders: Orders, now_s: float
    ) -> StartCall | StopCall | None:
        """Return the call to send now for an order that has not ended."""
        run = self._runs.by_key.get(order.key)
        if run is None:
            return self._first_call(order, orders, now_s)
        if (
            order.stop
            or run.phase is RunPhase.STOPPING
            or self._for_other_incarnation(order)
        ):
            return stop(order.key, run, now_s)
        if run.phase is RunPhase.STARTING and run.call_due(now_s):
            if not self._may_begin(now_s):
                self._starts.put_off(run, now_s)
                return None
            return self._starts.repeat(run, order, orders, now_s)
        return None

    def _first_call(
        self, order: Order, orders: Orders, now_s: float
    ) -> StartCall | None:
        """Return the first start of an order, or end the order."""
        key = order.key
        if self._for_other_incarnation(order):
            self._runs.end(key, EndCause.LOST, "other incarnation")
            return None
        if order.stop:
            reason = "stopped before it started"
            self._runs.end(key, EndCause.STOPPED, reason)
            return None
        if not self._may_begin(now_s):
            return None
        return self._starts.admit(order, orders, now_s)

    def _may_begin(self, now_s: float) -> bool:
        """Return whether a run that begins now ends before it is given up.

        While the worker may hold a longer lease, starts wait for a later
        contact.
        """
        given_up_s = self.session.contact_s + DEAD_AFTER_S
        return (
            self.session.allows_starts(now_s)
            and self._lease_end_s <= given_up_s
        )

    def _for_other_incarnation(self, order: Order) -> bool:
        assert self.worker is not None
        return order.incarnation != self.worker.incarnation

    def _stops_of_others(self, now_s: float) -> list[StartCall | StopCall]:
        """Return the stops due for runs without an order that goes on."""
        wanted = self._ordered() - self._runs.ended.keys()
        stops = (
            stop(key, run, now_s)
            for key, run in self._runs.by_key.items()
            if key not in wanted
        )
        return [call for call in stops if call is not None]

    def _end_expired(self, orders: Orders, now_s: float) -> None:
        """End runs as lost, as their lease must have expired.

        Without a worker that has listed its runs, all orders end as lost.
        """
        record_crash_ages(self._runs, self._presence)
        if any(run.start_pending for run in self._runs.by_key.values()):
            self.fence_outdated = True
        end_expired_runs(self._runs, -self.lease_left_s(now_s))
        if not self._presence.listed:
            reason = "no worker has listed its runs"
            self._runs.lose_orders(orders.orders, reason)
