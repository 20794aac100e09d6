"""Admission control: bounded queues, fair queueing and load shedding."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

import attrs

from filbertlb.core.adaptive_limit import AdaptiveLimit
from filbertlb.errors import UnavailableError

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
MAX_CONSECUTIVE_URGENT = 8
MAX_WAIT_SHARE = 0.5


class OverloadedError(UnavailableError):
    """The request was shed early instead of missing its deadline."""

    code = "overloaded"
    status = 429


class DeadlineExpiredError(UnavailableError):
    """The latest start time of the request passed in the queue."""

    code = "deadline_expired"
    status = 504


@attrs.frozen
class QueuedRequest:
    """Request that waits for admission.

    Parameters
    ----------
    deadline_s : float
        Monotonic time, in seconds, after which the answer has no value.
    """

    request_id: str
    organisation_id: str
    urgent: bool
    deadline_s: float


@attrs.frozen
class GateLimits:
    """Limits of an admission gate.

    Parameters
    ----------
    queue : int
        Size of the queue for normal requests.
    urgent_queue : int
        Size of the queue for urgent requests.
    urgent_share : float
        Share of the concurrency limit reserved for urgent requests.
    weight_by_id : mapping
        Weight of each organisation in fair queueing; 1 by default.
    """

    queue: int = 512
    urgent_queue: int = 256
    urgent_share: float = 0.125
    weight_by_id: Mapping[str, float] = attrs.Factory(dict)


@attrs.define
class FairQueue:
    """Weighted fair queue of the waiting requests of one class.

    Each organisation has its own queue and a virtual time, which advances
    by the inverse of its weight whenever one of its requests is taken. The
    organisation with the lowest virtual time goes next.

    Parameters
    ----------
    max_size : int
        Largest number of waiting requests.
    """

    max_size: int
    weight_by_id: Mapping[str, float]
    size: int = 0
    _queue_by_id: dict[str, deque[QueuedRequest]] = attrs.Factory(dict)
    _virtual_time_by_id: dict[str, float] = attrs.Factory(dict)
    _virtual_now: float = 0.0

    def weight(self, organisation_id: str) -> float:
        """Return the weight of an organisation; 1 by default."""
        return self.weight_by_id.get(organisation_id, 1.0)

    def requests_ahead(self, organisation_id: str) -> float:
        """Estimate how many requests are served before a new one."""
        own = len(self._queue_by_id.get(organisation_id, ()))
        per_weight = (own + 1) / self.weight(organisation_id)
        return sum(
            min(len(queue), per_weight * self.weight(other))
            for other, queue in self._queue_by_id.items()
        )

    def add(self, request: QueuedRequest) -> QueuedRequest | None:
        """Queue a request; return the request shed in return, if any.

        If the queue is full, the newest request is shed of the
        organisation whose queue is longest relative to its weight.
        """
        owner = request.organisation_id
        if owner not in self._queue_by_id:
            self._queue_by_id[owner] = deque()
            # A virtual time that is ahead of the queue's is kept, or else
            # an organisation with one request at a time would always go
            # first.
            virtual_time = self._virtual_time_by_id.get(owner, 0.0)
            self._virtual_time_by_id[owner] = max(
                virtual_time, self._virtual_now
            )
        self._queue_by_id[owner].append(request)
        self.size += 1
        if self.size <= self.max_size:
            return None
        longest = max(self._queue_by_id, key=self._weighted_length)
        shed = self._queue_by_id[longest].pop()
        self._after_removal(longest)
        return shed

    def take(self) -> QueuedRequest | None:
        """Remove and return the next request, or None if empty."""
        if not self._queue_by_id:
            return None
        owner = min(
            self._queue_by_id, key=lambda one: self._virtual_time_by_id[one]
        )
        request = self._queue_by_id[owner].popleft()
        self._virtual_now = self._virtual_time_by_id[owner]
        self._virtual_time_by_id[owner] += 1 / self.weight(owner)
        self._after_removal(owner)
        return request

    def expired(self, by_s: float) -> list[QueuedRequest]:
        """Return the waiting requests whose deadline is up to ``by_s``."""
        return [
            request
            for queue in self._queue_by_id.values()
            for request in queue
            if by_s >= request.deadline_s
        ]

    def remove(self, request: QueuedRequest) -> bool:
        """Remove a waiting request; return False if it isn't waiting."""
        owner = request.organisation_id
        if request not in self._queue_by_id.get(owner, ()):
            return False
        self._queue_by_id[owner].remove(request)
        self._after_removal(owner)
        return True

    def _weighted_length(self, organisation_id: str) -> float:
        queue = self._queue_by_id[organisation_id]
        return len(queue) / self.weight(organisation_id)

    def _after_removal(self, owner: str) -> None:
        self.size -= 1
        if not self._queue_by_id[owner]:
            del self._queue_by_id[owner]


@attrs.frozen
class Admission:
    """Decisions of an admission gate.

    Parameters
    ----------
    started : tuple of QueuedRequest
        Requests to dispatch now; ``done`` must be called for each.
    refused : tuple
        Refused requests, each with the error for its caller.
    """

    started: tuple[QueuedRequest, ...] = ()
    refused: tuple[tuple[QueuedRequest, UnavailableError], ...] = ()


@attrs.define
class AdmissionGate:
    """Decides which requests of an entry are started, queued or shed.

    Parameters
    ----------
    limits : GateLimits
        Queue sizes and shares.
    adaptive : AdaptiveLimit
        Limit on concurrent requests.
    """

    limits: GateLimits = attrs.Factory(GateLimits)
    adaptive: AdaptiveLimit = attrs.Factory(AdaptiveLimit)
    running: int = 0
    running_normal: int = 0
    _urgent: FairQueue = attrs.field(init=False)
    _normal: FairQueue = attrs.field(init=False)
    _consecutive_urgent: int = 0

    def __attrs_post_init__(self) -> None:
        weights = self.limits.weight_by_id
        self._urgent = FairQueue(self.limits.urgent_queue, weights)
        self._normal = FairQueue(self.limits.queue, weights)

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return self._urgent.size + self._normal.size

    def offer(self, request: QueuedRequest, now_s: float) -> Admission:
        """Start, queue or shed a request at monotonic time ``now_s``."""
        wait_s = self.expected_wait_s(request)
        remaining_s = request.deadline_s - now_s - self.adaptive.service_s
        if wait_s >= remaining_s * MAX_WAIT_SHARE:
            return Admission(refused=((request, _overloaded_error(wait_s)),))
        shed = self._queue(request).add(request)
        admission = self._start(now_s)
        if shed is None:
            return admission
        refusal = (shed, _overloaded_error(wait_s))
        return attrs.evolve(admission, refused=(*admission.refused, refusal))

    def done(
        self, request: QueuedRequest, latency_s: float | None, now_s: float
    ) -> Admission:
        """Record the end of a started request.

        Parameters
        ----------
        latency_s : float, optional
            Seconds from the last dispatch to the answer; None if there
            was no answer in time.
        """
        if latency_s is None:
            self.adaptive.overloaded()
        else:
            self.adaptive.answered(latency_s, self.running)
        self.running -= 1
        self.running_normal -= not request.urgent
        return self._start(now_s)

    def expire(self, now_s: float) -> Admission:
        """Refuse waiting requests that can't meet their deadlines."""
        by_s = now_s + self.adaptive.service_s
        expired = [*self._urgent.expired(by_s), *self._normal.expired(by_s)]
        for request in expired:
            self.give_up(request)
        return Admission(
            refused=tuple((one, _expired_error()) for one in expired)
        )

    def give_up(self, request: QueuedRequest) -> bool:
        """Drop a waiting request; return False if it isn't waiting."""
        return self._queue(request).remove(request)

    def expected_wait_s(self, request: QueuedRequest) -> float:
        """Estimate the wait of a new request, in seconds."""
        requests_ahead = self._queue(request).requests_ahead(
            request.organisation_id
        )
        slots = self.adaptive.limit
        if not request.urgent:
            # Urgent requests go first, so normal ones share the slots
            # that these leave.
            slots = min(slots, max(1.0, self.running_normal))
        return requests_ahead * self.adaptive.service_s / slots

    def _queue(self, request: QueuedRequest) -> FairQueue:
        return self._urgent if request.urgent else self._normal

    def _start(self, now_s: float) -> Admission:
        started = []
        refused = []
        while (request := self._take()) is not None:
            if now_s + self.adaptive.service_s >= request.deadline_s:
                refused.append((request, _expired_error()))
                continue
            self.running += 1
            self.running_normal += not request.urgent
            started.append(request)
        return Admission(tuple(started), tuple(refused))

    def _take(self) -> QueuedRequest | None:
        if self.running >= self.adaptive.limit:
            return None
        reserved = self.adaptive.limit * self.limits.urgent_share
        normal_fits = self.running_normal < self.adaptive.limit - reserved
        normal_due = self._consecutive_urgent >= MAX_CONSECUTIVE_URGENT
        if normal_fits and self._normal.size and normal_due:
            self._consecutive_urgent = 0
            return self._normal.take()
        if self._urgent.size:
            self._consecutive_urgent += 1
            return self._urgent.take()
        self._consecutive_urgent = 0
        return self._normal.take() if normal_fits else None


def _overloaded_error(wait_s: float) -> OverloadedError:
    retry_after_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s))
    return OverloadedError(
        f"overloaded, expected queue wait is {wait_s:.3g} s; retry after "
        f"{retry_after_s:.3g} s",
        retry_after_s=retry_after_s,
    )


def _expired_error() -> DeadlineExpiredError:
    return DeadlineExpiredError(
        "latest start time of the request passed in the queue; retry "
        "with a later deadline"
    )
