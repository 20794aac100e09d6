"""Admission of requests: bounded queues, fair shares and shedding."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

import attrs

from filbertlb.core.adaptive_limit import AdaptiveLimit
from filbertlb.errors import UnavailableError

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
NORMAL_EVERY = 8
MAX_WAIT_SHARE = 0.5


class OverloadedError(UnavailableError):
    """The request was shed before it could run into its deadline."""

    code = "overloaded"
    status = 429


class DeadlineExpiredError(UnavailableError):
    """The time to start the request passed before a slot was free."""

    code = "deadline_expired"
    status = 504


@attrs.frozen
class QueuedRequest:
    """A request that asks for admission.

    Parameters
    ----------
    deadline_s : float
        Monotonic time in seconds after which its answer is worthless.
    """

    request_id: str
    organisation_id: str
    urgent: bool
    deadline_s: float


@attrs.frozen
class GateLimits:
    """Bounds of a gate.

    Parameters
    ----------
    queue : int
        Requests that wait, urgent ones apart.
    urgent_queue : int
        Urgent requests that wait.
    urgent_share : float
        Share of the concurrency limit that only urgent requests use.
    weight_by_id : mapping
        Share of each organisation relative to others; 1 if not given.
    """

    queue: int = 512
    urgent_queue: int = 256
    urgent_share: float = 0.125
    weight_by_id: Mapping[str, float] = attrs.Factory(dict)


@attrs.define
class FairQueue:
    """Waiting requests of one class, with fair shares.

    Each organisation has a queue of its own and a virtual time that
    advances by the inverse of its weight with every request taken; the
    one that is furthest behind goes next.

    Parameters
    ----------
    bound : int
        Most requests that wait.
    """

    bound: int
    weight_by_id: Mapping[str, float]
    size: int = 0
    _queue_by_id: dict[str, deque[QueuedRequest]] = attrs.Factory(dict)
    _pass_by_id: dict[str, float] = attrs.Factory(dict)
    _now: float = 0.0

    def weight(self, organisation_id: str) -> float:
        """Return an organisation's weight."""
        return self.weight_by_id.get(organisation_id, 1.0)

    def ahead(self, organisation_id: str) -> float:
        """Return how many requests go before a new one."""
        own = len(self._queue_by_id.get(organisation_id, ()))
        per_weight = (own + 1) / self.weight(organisation_id)
        return sum(
            min(len(queue), per_weight * self.weight(other))
            for other, queue in self._queue_by_id.items()
        )

    def add(self, request: QueuedRequest) -> QueuedRequest | None:
        """Queue a request; return the one that is shed for it.

        When all places are taken, the organisation with the longest
        queue for its weight gives up its newest request.
        """
        owner = request.organisation_id
        if owner not in self._queue_by_id:
            self._queue_by_id[owner] = deque()
            # Not back to the present: who has one request at a time
            # would always go first.
            passed = self._pass_by_id.get(owner, 0.0)
            self._pass_by_id[owner] = max(passed, self._now)
        self._queue_by_id[owner].append(request)
        self.size += 1
        if self.size <= self.bound:
            return None
        longest = max(self._queue_by_id, key=self._length)
        shed = self._queue_by_id[longest].pop()
        self._removed(longest)
        return shed

    def take(self) -> QueuedRequest | None:
        """Return the next request, or None."""
        if not self._queue_by_id:
            return None
        owner = min(self._queue_by_id, key=lambda one: self._pass_by_id[one])
        request = self._queue_by_id[owner].popleft()
        self._now = self._pass_by_id[owner]
        self._pass_by_id[owner] += 1 / self.weight(owner)
        self._removed(owner)
        return request

    def expired(self, by_s: float) -> list[QueuedRequest]:
        """Return the waiting requests with a deadline up to a time."""
        return [
            request
            for queue in self._queue_by_id.values()
            for request in queue
            if by_s >= request.deadline_s
        ]

    def remove(self, request: QueuedRequest) -> bool:
        """Take out a request whose caller has gone."""
        owner = request.organisation_id
        if request not in self._queue_by_id.get(owner, ()):
            return False
        self._queue_by_id[owner].remove(request)
        self._removed(owner)
        return True

    def _length(self, organisation_id: str) -> float:
        queue = self._queue_by_id[organisation_id]
        return len(queue) / self.weight(organisation_id)

    def _removed(self, owner: str) -> None:
        self.size -= 1
        if not self._queue_by_id[owner]:
            del self._queue_by_id[owner]


@attrs.frozen
class Admission:
    """What a gate decided.

    Parameters
    ----------
    started : tuple of QueuedRequest
        Dispatch these now; each ends with ``done``.
    refused : tuple
        Requests with the error that their callers get.
    """

    started: tuple[QueuedRequest, ...] = ()
    refused: tuple[tuple[QueuedRequest, UnavailableError], ...] = ()


@attrs.define
class AdmissionGate:
    """Decides which requests of an entry start, wait or are shed.

    Parameters
    ----------
    limits : GateLimits
        Bounds.
    adaptive : AdaptiveLimit
        Limit on what runs at once.
    """

    limits: GateLimits = attrs.Factory(GateLimits)
    adaptive: AdaptiveLimit = attrs.Factory(AdaptiveLimit)
    running: int = 0
    running_normal: int = 0
    _urgent: FairQueue = attrs.field(init=False)
    _normal: FairQueue = attrs.field(init=False)
    _urgent_in_a_row: int = 0

    def __attrs_post_init__(self) -> None:
        weights = self.limits.weight_by_id
        self._urgent = FairQueue(self.limits.urgent_queue, weights)
        self._normal = FairQueue(self.limits.queue, weights)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return self._urgent.size + self._normal.size

    def offer(self, request: QueuedRequest, now_s: float) -> Admission:
        """Take in a request; ``now_s`` is monotonic time in seconds."""
        wait_s = self.expected_wait_s(request)
        left_s = request.deadline_s - now_s - self.adaptive.service_s
        if wait_s >= left_s * MAX_WAIT_SHARE:
            return Admission(refused=((request, _overloaded(wait_s)),))
        shed = self._queue(request).add(request)
        admission = self._start(now_s)
        if shed is None:
            return admission
        refusal = (shed, _overloaded(wait_s))
        return attrs.evolve(admission, refused=(*admission.refused, refusal))

    def done(
        self, request: QueuedRequest, latency_s: float | None, now_s: float
    ) -> Admission:
        """Take in the end of a started request.

        Parameters
        ----------
        latency_s : float, optional
            Seconds from the last dispatch to its answer; None if no
            answer came in time.
        """
        if latency_s is None:
            self.adaptive.overloaded()
        else:
            self.adaptive.answered(latency_s, self.running)
        self.running -= 1
        self.running_normal -= not request.urgent
        return self._start(now_s)

    def expire(self, now_s: float) -> Admission:
        """Refuse the waiting requests whose time to start has passed."""
        by_s = now_s + self.adaptive.service_s
        late = [*self._urgent.expired(by_s), *self._normal.expired(by_s)]
        for request in late:
            self.give_up(request)
        return Admission(refused=tuple((one, _expired()) for one in late))

    def give_up(self, request: QueuedRequest) -> bool:
        """Forget a waiting request; return False if it is not waiting."""
        return self._queue(request).remove(request)

    def expected_wait_s(self, request: QueuedRequest) -> float:
        """Return how long a new request would wait, in seconds."""
        ahead = self._queue(request).ahead(request.organisation_id)
        places = self.adaptive.limit
        if not request.urgent:
            # Urgent requests go first, so the rest shares what is left.
            places = min(places, max(1.0, self.running_normal))
        return ahead * self.adaptive.service_s / places

    def _queue(self, request: QueuedRequest) -> FairQueue:
        return self._urgent if request.urgent else self._normal

    def _start(self, now_s: float) -> Admission:
        started = []
        refused = []
        while (request := self._take()) is not None:
            if now_s + self.adaptive.service_s >= request.deadline_s:
                refused.append((request, _expired()))
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
        normal_due = self._urgent_in_a_row >= NORMAL_EVERY
        if normal_fits and self._normal.size and normal_due:
            self._urgent_in_a_row = 0
            return self._normal.take()
        if self._urgent.size:
            self._urgent_in_a_row += 1
            return self._urgent.take()
        self._urgent_in_a_row = 0
        return self._normal.take() if normal_fits else None


def _overloaded(wait_s: float) -> OverloadedError:
    retry_after_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s))
    return OverloadedError(
        f"the request would wait about {wait_s:.3g} s; send it again "
        f"after {retry_after_s:.3g} s",
        retry_after_s=retry_after_s,
    )


def _expired() -> DeadlineExpiredError:
    return DeadlineExpiredError(
        "the request's time to start passed while it waited; send it "
        "again with a later deadline"
    )
