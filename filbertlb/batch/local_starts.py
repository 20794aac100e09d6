"""Starts of a worker's runs: admission, repetition and replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from filbertlb.batch.local_capacity import capacity_after_stops
from filbertlb.batch.local_capacity import free_capacity
from filbertlb.batch.local_capacity import NO_CAPACITY
from filbertlb.batch.local_run import LocalRun
from filbertlb.batch.local_run import RunPhase
from filbertlb.batch.local_stops import stop
from filbertlb.batch.model import EndCause
from filbertlb.batch.worker_link import StartCall
from filbertlb.batch.worker_link import StartResult
from filbertlb.core.amounts import covers
from filbertlb.core.amounts import is_negative

if TYPE_CHECKING:
    from filbertlb.batch.local_runs import LocalRuns
    from filbertlb.batch.model import Order
    from filbertlb.batch.model import Orders
    from filbertlb.batch.model import RunKey
    from filbertlb.batch.worker_link import StopCall
    from filbertlb.batch.worker_presence import WorkerPresence
    from filbertlb.core.amounts import Amount

START_RETRY_S = 0.25
CAPACITY_WAIT_S = 2.0
"""Time that an order may wait for stopped runs to end before it is refused.

It is less than the 3 s for which gang members wait for each other.
"""
MAX_START_TRIES = 3
"""Number of unconfirmed starts after which an order is given up."""
FINAL_REFUSALS = (StartResult.TOO_OLD, StartResult.INVALID)
"""Replies after which a start is not repeated."""


@attrs.define
class LocalStarts:
    """Decides which starts the worker gets, and records its replies."""

    _presence: WorkerPresence
    _runs: LocalRuns

    def admit(
        self, order: Order, orders: Orders, now_s: float
    ) -> StartCall | None:
        """Return the first start of an order; refuse it or let it wait."""
        key = order.key
        if not self._presence.may_start:
            self._refuse(key, "worker is down")
            return None
        if self._presence.draining:
            self._refuse(key, "worker is draining")
            return None
        if not covers(self._free_capacity(now_s), order.needs):
            self._wait_for_capacity(order, orders, now_s)
            return None
        self._runs.waiting_since_s.pop(key, None)
        run = LocalRun(order.needs, RunPhase.STARTING, started_s=now_s)
        self._runs.by_key[key] = run
        return self._send(run, order, orders, now_s)

    def repeat(
        self, run: LocalRun, order: Order, orders: Orders, now_s: float
    ) -> StartCall | StopCall | None:
        """Repeat a start that was not confirmed if it may still be made.

        The worker may have shrunk, or begun to drain, since the last call,
        or it leaves all starts without an answer. A stop then makes it
        refuse a start that it may still carry out.
        """
        key = order.key
        self._record_unanswered(run)
        if not self._presence.may_start:
            self._await_worker(key, run, now_s)
            return None
        if self._may_repeat(run, now_s):
            return self._send(run, order, orders, now_s)
        if run.start_unanswered:
            logger.info("unanswered start of {} attempt {} withdrawn", *key)
            return stop(key, run, now_s)
        del self._runs.by_key[key]
        return self.admit(order, orders, now_s)

    def put_off(self, run: LocalRun, now_s: float) -> None:
        """Let a start that was not confirmed wait before it is repeated."""
        self._record_unanswered(run)
        run.call_ended(now_s + START_RETRY_S)

    def record_reply(
        self, key: RunKey, run: LocalRun, result: StartResult, now_s: float
    ) -> None:
        """Record the reply to a start that was not fenced."""
        if result is StartResult.STARTED:
            self._record_started(run, now_s)
        elif run.phase is RunPhase.STARTING:
            self._record_unconfirmed(key, run, result)
        else:
            logger.info(
                "repeated start of {} attempt {} got {}; the run continues",
                *(*key, result.value),
            )

    def _send(
        self, run: LocalRun, order: Order, orders: Orders, now_s: float
    ) -> StartCall:
        run.call_sent(now_s)
        return StartCall(order, orders.payload_by_job_id[order.job_id])

    def _wait_for_capacity(
        self, order: Order, orders: Orders, now_s: float
    ) -> None:
        """Let an order wait for runs to end; refuse it if that can't help."""
        assert self._presence.worker is not None
        key = order.key
        since_s = self._runs.waiting_since_s.setdefault(key, now_s)
        after_stops = capacity_after_stops(
            self._presence.worker.capacity, orders.orders, self._runs.by_key
        )
        if not covers(after_stops, order.needs):
            self._refuse(key, "worker too small")
        elif now_s - since_s > CAPACITY_WAIT_S:
            self._refuse(key, "no capacity in time")

    def _may_repeat(self, run: LocalRun, now_s: float) -> bool:
        return (
            not is_negative(self._free_capacity(now_s))
            and not self._presence.draining
            and run.tries < MAX_START_TRIES
        )

    def _record_unanswered(self, run: LocalRun) -> None:
        """Count a call that got no answer in time, whatever became of it."""
        if run.answer_due_s:
            run.start_unanswered = True
            run.tries += 1

    def _await_worker(self, key: RunKey, run: LocalRun, now_s: float) -> None:
        """Wait for the worker with a start that may have been carried out.

        It gets no answer from a worker that is down, and the next
        incarnation must not get it.
        """
        if run.start_unanswered:
            run.call_ended(now_s + START_RETRY_S)
        else:
            self._refuse(key, "worker is down")

    def _record_started(self, run: LocalRun, now_s: float) -> None:
        run.start_unanswered = False
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
            run.running_since_s = now_s
        run.acked_s = now_s
        self._runs.report_changed = True

    def _record_unconfirmed(
        self, key: RunKey, run: LocalRun, result: StartResult
    ) -> None:
        run.tries += 1
        logger.info(
            "start of {} attempt {} not confirmed: {} (try {})",
            *(*key, result.value, run.tries),
        )
        given_up = result in FINAL_REFUSALS or run.tries >= MAX_START_TRIES
        if result is StartResult.UNKNOWN:
            run.start_unanswered = True
        elif result is StartResult.OTHER_INCARNATION:
            self._runs.end(key, EndCause.LOST, "other incarnation")
        elif given_up and not run.start_unanswered:
            self._refuse(key, result.value)

    def _refuse(self, key: RunKey, reason: str) -> None:
        self._runs.end(key, EndCause.REFUSED, reason)

    def _free_capacity(self, now_s: float) -> Amount:
        worker = self._presence.worker
        if worker is None or not self._presence.capacity_known(now_s):
            return NO_CAPACITY
        return free_capacity(worker.capacity, self._runs.by_key.values())
