"""What an agent does with its worker: the last check before a start.

Pure decisions. The agent feeds orders, announcements and replies in
and sends the calls that :meth:`WorkerGate.due` returns.
"""

from __future__ import annotations

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
from filbertlb.core.amounts import minus
from filbertlb.core.amounts import plus
from filbertlb.core.amounts import ZERO_AMOUNT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.batch.model import Order
    from filbertlb.batch.model import Orders
    from filbertlb.batch.model import Worker
    from filbertlb.batch.worker_link import ListedEnd
    from filbertlb.core.amounts import Amount

START_RETRY_S = 0.25
STOP_RETRY_S = 0.6
ROOM_WAIT_S = 2.0
"""Longest wait of an order for room; other gang members wait 3 s."""
UNHEALTHY_TRIES = 3
LAPSE_SLACK_S = 0.3
SHORTEST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 1.0
LEAVING_S = 0.5
"""Time that a worker may still be up after it said that it leaves."""

RunKey = tuple[str, int]


@attrs.define
class WorkerGate:
    """Holds one worker to its orders.

    Attributes
    ----------
    fenced : bool
        Another agent process has taken over; stop.
    opened_s : float
        Monotonic time at which this agent process began.
    listed_to : int
        Highest number of an end that was taken in.
    changed : bool
        The report changed since it was last taken.
    """

    opened_s: float = 0.0
    worker: Worker | None = None
    orders: Orders | None = None
    fenced: bool = False
    listed_to: int = 0
    changed: bool = False
    _runs: dict[RunKey, LocalRun] = attrs.Factory(dict)
    _ended: dict[RunKey, RunEnd] = attrs.Factory(dict)
    _waiting_since: dict[RunKey, float] = attrs.Factory(dict)
    _last_extension_s: float = 0.0
    _looked: bool = False
    _left_s: float | None = None

    def restore(self, ended: Iterable[RunEnd]) -> None:
        """Take over the ends that a former process had reported."""
        for end in ended:
            self._ended[(end.task, end.attempt)] = end

    def set_worker(self, worker: Worker) -> None:
        """Take in what the worker says of itself."""
        former = self.worker
        if former is not None and former.incarnation != worker.incarnation:
            self._runs.clear()
            self.listed_to = 0
            self._looked = False
            self._left_s = None
        if former != worker:
            self.changed = True
        self.worker = worker

    def worker_left(self, incarnation: str, now_s: float) -> None:
        """Note that the worker ends, and with it all that it runs."""
        if self.worker is None or self.worker.incarnation != incarnation:
            return
        self._left_s = now_s
        self.changed = True

    def set_orders(self, orders: Orders) -> None:
        """Replace the orders, and forget ends that nobody waits for."""
        self.orders = orders
        wanted = {(one.task, one.attempt) for one in orders.orders}
        for key in [key for key in self._ended if key not in wanted]:
            del self._ended[key]
        for key in [key for key in self._waiting_since if key not in wanted]:
            del self._waiting_since[key]

    @property
    def left(self) -> bool:
        """Whether the worker said that it ends."""
        return self._left_s is not None

    def extended(self, now_s: float) -> None:
        """Note that a lease extension was sent, answered or not."""
        self._last_extension_s = now_s

    def due(self, now_s: float) -> list[StartCall | StopCall]:
        """Return the calls to send now."""
        orders = self.orders
        if orders is None or self.fenced:
            return []
        if self._left_s is not None:
            self._drop_left(orders, now_s, self._left_s)
            return []
        self._drop_lapsed(orders, now_s)
        if self.worker is None or not self._looked:
            return []
        calls: list[StartCall | StopCall] = []
        wanted = set()
        for order in orders.orders:
            key = (order.task, order.attempt)
            if key in self._ended:
                continue
            wanted.add(key)
            call = self._follow(order, orders, now_s)
            if call is not None:
                calls.append(call)
        for key, run in self._runs.items():
            if key not in wanted:
                run.known = False
                self._stop(key, run, now_s, calls)
        return calls

    def started(self, order: Order, result: StartResult, now_s: float) -> None:
        """Take in the reply to a start."""
        key = (order.task, order.attempt)
        run = self._runs.get(key)
        if run is None:
            return
        run.in_flight = False
        run.retry_s = now_s + START_RETRY_S
        if result is StartResult.STARTED:
            run.unanswered = False
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.RUNNING
            run.acked_s = now_s
            self.changed = True
            return
        if result is StartResult.FENCED:
            self.fenced = True
        elif run.phase is RunPhase.STARTING:
            self._not_started(key, run, result)
        else:
            logger.info(
                "copy of the start of {} attempt {} got {}, the run goes on",
                *(*key, result.value),
            )

    def stopped(self, call: StopCall, answered: bool, now_s: float) -> None:
        """Take in the reply to a stop."""
        run = self._runs.get((call.task, call.attempt))
        if run is None:
            return
        run.in_flight = False
        run.retry_s = now_s + STOP_RETRY_S
        if answered:
            run.acked_s = now_s

    def looked(
        self,
        sent_s: float,
        running: Iterable[Run],
        ends: Iterable[ListedEnd],
        whole: bool,
    ) -> None:
        """Take in the worker's lists.

        Parameters
        ----------
        sent_s : float
            Monotonic time at which the lists were asked for.
        whole : bool
            All unacknowledged ends are among them.
        """
        self._looked = True
        listed = set()
        for one in ends:
            listed.add((one.end.task, one.end.attempt))
            self._take_end(one)
        for run in running:
            key = (run.task, run.attempt)
            listed.add(key)
            self._take_running(key, run, sent_s)
        if whole:
            self._drop_missing(sent_s, listed)

    def running(self) -> tuple[Run, ...]:
        """Return the runs that the worker is known to hold."""
        return tuple(
            Run(task, attempt, run.saved, run.percent)
            for (task, attempt), run in self._runs.items()
            if run.phase is not RunPhase.STARTING
        )

    def ended(self) -> tuple[RunEnd, ...]:
        """Return the ends that the decider has not taken in yet."""
        return tuple(self._ended.values())

    def next_retry_s(self, now_s: float) -> float:
        """Return the time from now until something may be due."""
        times = [
            run.retry_s
            for run in self._runs.values()
            if run.phase is not RunPhase.RUNNING and not run.in_flight
        ]
        if self._left_s is not None:
            times.append(self._left_s + LEAVING_S)
        times += [at + ROOM_WAIT_S for at in self._waiting_since.values()]
        due_s = min(times, default=now_s + LONGEST_PAUSE_S)
        return max(SHORTEST_PAUSE_S, due_s - now_s)

    def _follow(
        self, order: Order, orders: Orders, now_s: float
    ) -> StartCall | StopCall | None:
        assert self.worker is not None
        key = (order.task, order.attempt)
        run = self._runs.get(key)
        if order.incarnation != self.worker.incarnation:
            self._end(key, EndCause.LOST, "other incarnation")
            return None
        if order.stop:
            if run is None:
                self._end(key, EndCause.STOPPED, "stopped before its start")
                return None
            calls: list[StartCall | StopCall] = []
            self._stop(key, run, now_s, calls)
            return calls[0] if calls else None
        if run is None:
            return self._admit(order, orders, now_s)
        if (
            run.phase is RunPhase.STARTING
            and not run.in_flight
            and now_s >= run.retry_s
        ):
            run.in_flight = True
            return StartCall(order, orders.payload_by_job_id[order.job_id])
        return None

    def _admit(
        self, order: Order, orders: Orders, now_s: float
    ) -> StartCall | None:
        assert self.worker is not None
        key = (order.task, order.attempt)
        if self.worker.draining:
            self._end(key, EndCause.REFUSED, "worker drains")
            return None
        if not covers(self._room(), order.needs):
            since_s = self._waiting_since.setdefault(key, now_s)
            if now_s - since_s > ROOM_WAIT_S:
                self._end(key, EndCause.REFUSED, "no room in time")
            return None
        self._waiting_since.pop(key, None)
        self._runs[key] = LocalRun(
            order.needs, RunPhase.STARTING, in_flight=True
        )
        return StartCall(order, orders.payload_by_job_id[order.job_id])

    def _room(self) -> Amount:
        assert self.worker is not None
        used = ZERO_AMOUNT
        for run in self._runs.values():
            if run.needs is ZERO_AMOUNT and not run.known:
                # An unknown run may take any amount until it has ended.
                return (-1, -1, -1)
            used = plus(used, run.needs)
        return minus(self.worker.capacity, used)

    def _stop(
        self,
        key: RunKey,
        run: LocalRun,
        now_s: float,
        calls: list[StartCall | StopCall],
    ) -> None:
        if run.in_flight:
            return
        if run.phase is not RunPhase.STOPPING:
            run.phase = RunPhase.STOPPING
            run.acked_s = 0.0
            run.retry_s = now_s
        if now_s >= run.retry_s:
            run.in_flight = True
            calls.append(StopCall(*key))

    def _not_started(
        self, key: RunKey, run: LocalRun, result: StartResult
    ) -> None:
        run.tries += 1
        task, attempt = key
        logger.info(
            "start of {} attempt {} got {} (try {})",
            *(task, attempt, result.value, run.tries),
        )
        if result is StartResult.UNKNOWN:
            run.unanswered = True
        elif result is StartResult.OTHER_INCARNATION:
            del self._runs[key]
        elif (
            result in (StartResult.TOO_OLD, StartResult.INVALID)
            or run.tries >= UNHEALTHY_TRIES
        ) and not run.unanswered:
            del self._runs[key]
            self._end(key, EndCause.REFUSED, result.value)

    def _take_end(self, listed: ListedEnd) -> None:
        self.listed_to = max(self.listed_to, listed.number)
        end = listed.end
        key = (end.task, end.attempt)
        self._runs.pop(key, None)
        if key not in self._ended:
            self._ended[key] = end
            self.changed = True
            logger.info(
                "run {} attempt {} ended {}",
                *(end.task, end.attempt, end.cause.value),
            )

    def _take_running(self, key: RunKey, listed: Run, sent_s: float) -> None:
        run = self._runs.get(key)
        if run is None:
            run = LocalRun(self._needs_of(key), RunPhase.RUNNING)
            run.known = run.needs is not ZERO_AMOUNT
            self._runs[key] = run
            self.changed = True
            logger.info("found run {} attempt {} at the worker", *key)
        elif run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
            run.unanswered = False
            self.changed = True
        if run.phase is RunPhase.RUNNING:
            run.acked_s = max(run.acked_s, sent_s)
        run.saved = listed.saved
        run.percent = listed.percent

    def _needs_of(self, key: RunKey) -> Amount:
        for order in self.orders.orders if self.orders else ():
            if (order.task, order.attempt) == key:
                return order.needs
        return ZERO_AMOUNT

    def _drop_missing(self, sent_s: float, listed: set[RunKey]) -> None:
        for key, run in list(self._runs.items()):
            if key in listed or run.in_flight:
                continue
            if 0 < run.acked_s < sent_s:
                del self._runs[key]
                stopping = run.phase is RunPhase.STOPPING
                cause = EndCause.STOPPED if stopping else EndCause.LOST
                self._end(key, cause, "not listed by the worker")

    def _drop_left(self, orders: Orders, now_s: float, left_s: float) -> None:
        """Give up everything once the worker that left has ended."""
        if now_s < left_s + LEAVING_S:
            return
        self._runs.clear()
        for order in orders.orders:
            key = (order.task, order.attempt)
            if key not in self._ended:
                self._end(key, EndCause.LOST, "the worker has left")

    def _drop_lapsed(self, orders: Orders, now_s: float) -> None:
        """Give up runs whose lease must have run out unseen."""
        lease_s = LEASE_S * CLOCK_DRIFT + LAPSE_SLACK_S
        extended_s = max(self.opened_s, self._last_extension_s)
        if now_s < extended_s + lease_s:
            return
        for key in list(self._runs):
            del self._runs[key]
            self._end(key, EndCause.LOST, "lease ran out")
        if self.worker is not None:
            return
        for order in orders.orders:
            key = (order.task, order.attempt)
            if key not in self._ended:
                self._end(key, EndCause.LOST, "no worker announced itself")

    def _end(self, key: RunKey, cause: EndCause, why: str) -> None:
        self._waiting_since.pop(key, None)
        self._ended[key] = RunEnd(key[0], key[1], cause)
        self.changed = True
        logger.info(
            "run {} attempt {} ended {}: {}", *(*key, cause.value, why)
        )
