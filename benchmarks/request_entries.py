"""Entries of the request measurement: the shipped rules and a baseline."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import count

import attrs

from benchmarks.request_sim import ClientRequest
from benchmarks.request_sim import HOP_S
from benchmarks.request_sim import Runner
from benchmarks.request_sim import Sim
from filbertlb.core.adaptive_limit import AdaptiveLimit
from filbertlb.core.endpoint_health import EndpointHealth
from filbertlb.core.limits import Admission
from filbertlb.core.limits import AdmissionGate
from filbertlb.core.limits import QueuedRequest
from filbertlb.core.retries import backoff_s
from filbertlb.core.retries import may_retry
from filbertlb.core.retries import RetryBudgets
from filbertlb.errors import Ran
from filbertlb.messages import Invoke
from filbertlb.messages import InvokeResult
from filbertlb.messages import Refused
from filbertlb.messages import Token
from filbertlb.messages import Tombstone
from filbertlb.routing.base import eligible
from filbertlb.routing.base import EndpointView
from filbertlb.routing.base import RoutingPolicy
from filbertlb.routing.latency import LatencyAverage
from filbertlb.routing.round_robin import RoundRobin

TRY_TIMEOUT_S = 1.5
BLIND_RETRIES = 3
TICK_S = 0.1
BUSY_CODES = frozenset({"queue_full", "draining", "expired"})


@attrs.define
class Known:
    """What an entry knows about a runner."""

    runner: Runner
    announced_in_flight: int = 0
    announced_at_s: float = 0.0
    incarnation: str = ""
    draining: bool = False
    local_in_flight: int = 0
    latency: LatencyAverage = attrs.Factory(LatencyAverage)


@attrs.define
class Told:
    """What a caller was told and when."""

    request: ClientRequest
    at_s: float
    code: str
    ran: Ran
    body: bytes = b""


class BaseEntry:
    """What both kinds of entry do."""

    def __init__(
        self,
        sim: Sim,
        entry_id: str,
        domain: str,
        runners: list[Runner],
        policy: RoutingPolicy,
        tell: Callable[[Told], None],
    ) -> None:
        self.sim = sim
        self.entry_id = entry_id
        self.domain = domain
        self.policy = policy
        self.tell_caller = tell
        self.known_by_id = {
            runner.endpoint_id: Known(runner, incarnation=runner.incarnation)
            for runner in runners
        }
        self.counts: Counter[str] = Counter()
        self._serials = count(1)

    def announced(self, runner: Runner, in_flight: int) -> None:
        """Take in a runner's announcement."""
        known = self.known_by_id[runner.endpoint_id]
        known.announced_in_flight = in_flight
        known.announced_at_s = self.sim.now_s
        known.incarnation = runner.incarnation
        known.draining = runner.book.draining

    def views(self) -> list[EndpointView]:
        """Return what routing is told about the runners."""
        now_s = self.sim.now_s
        return [
            EndpointView(
                endpoint_id,
                known.runner.failure_domain,
                known.runner.limits.slots,
                known.announced_in_flight,
                known.local_in_flight,
                known.latency.value_s(now_s),
                known.draining,
                self.is_set_aside(endpoint_id),
                now_s - known.announced_at_s,
            )
            for endpoint_id, known in self.known_by_id.items()
        ]

    def is_set_aside(self, endpoint_id: str) -> bool:
        """Tell whether a runner gets probes only."""
        return False

    def new_token(self, attempt_id: str, incarnation: str) -> Token:
        """Return a token that no other dispatch has."""
        serial = next(self._serials)
        return Token(attempt_id, 0, incarnation, self.entry_id, serial)

    def invoke(
        self, request: ClientRequest, token: Token, within_s: float
    ) -> Invoke:
        """Return the message for a request."""
        body = f"{request.request_id} {request.run_s:.6f}".encode()
        return Invoke(
            token,
            request.request_id,
            request.organisation_id,
            "/",
            body,
            within_s,
            request.idempotent,
            request.kind == "urgent",
        )

    def send(
        self,
        endpoint_id: str,
        message: Invoke | Tombstone,
        on_reply: Callable[[object], None],
        on_lost: Callable[[bool], None],
        timeout_s: float = TRY_TIMEOUT_S,
    ) -> None:
        """Send a message; exactly one of the two callbacks follows."""
        known = self.known_by_id[endpoint_id]
        is_near = known.runner.failure_domain == self.domain
        ended = False
        known.local_in_flight += 1
        sent_at_s = self.sim.now_s

        def end(callback: Callable, argument: object) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            known.local_in_flight -= 1
            if isinstance(argument, InvokeResult):
                latency_s = self.sim.now_s - sent_at_s
                known.latency.add(latency_s, self.sim.now_s)
            callback(argument)

        reply = partial(end, on_reply)
        lost = partial(end, on_lost)
        receive = partial(known.runner.receive, message, reply, lost)
        self.sim.after(0.0 if is_near else HOP_S, receive)
        self.sim.after(timeout_s, lambda: lost(True))

    def tell(
        self, request: ClientRequest, code: str, ran: Ran, body: bytes = b""
    ) -> None:
        """Answer a caller."""
        self.tell_caller(Told(request, self.sim.now_s, code, ran, body))


class BaselineEntry(BaseEntry):
    """Round robin, three blind retries, no limits."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.policy = RoundRobin()

    def submit(self, request: ClientRequest) -> None:
        """Take a request from a caller."""
        self._try(request, 0)

    def cancel(self, request: ClientRequest) -> None:
        """Ignore that a caller has gone."""

    def _try(self, request: ClientRequest, retries: int) -> None:
        chosen = self.policy.choose(eligible(self.views()), self.sim.rng)
        if chosen is None:
            self.tell(request, "no_endpoint", Ran.NO)
            return
        incarnation = self.known_by_id[chosen.endpoint_id].incarnation
        token = self.new_token(request.request_id, incarnation)
        # It knows no incarnations, deadlines or refusals.
        runner = self.known_by_id[chosen.endpoint_id].runner
        token = attrs.evolve(token, incarnation=runner.incarnation)
        self.send(
            chosen.endpoint_id,
            self.invoke(request, token, 1e9),
            partial(self._replied, request, retries),
            lambda sent: self._failed(request, retries),
        )

    def _replied(
        self, request: ClientRequest, retries: int, reply: object
    ) -> None:
        if isinstance(reply, InvokeResult):
            self.tell(request, "answer", Ran.YES, reply.body)
        else:
            self._failed(request, retries)

    def _failed(self, request: ClientRequest, retries: int) -> None:
        if retries >= BLIND_RETRIES:
            # Callers take the error of a payout for "not run".
            ran = Ran.UNKNOWN if request.idempotent else Ran.NO
            self.tell(request, "failed", ran)
            return
        self.counts["retries"] += 1
        self._try(request, retries + 1)


@attrs.define(eq=False)
class Going:
    """A request that has been admitted."""

    request: ClientRequest
    queued: QueuedRequest
    sent_at_s: float = 0.0
    retries: int = 0
    tried: frozenset[str] = frozenset()
    tokens: list[tuple[str, Token]] = attrs.Factory(list)
    is_told: bool = False
    is_done: bool = False


class Entry(BaseEntry):
    """The shipped rules, without the attempts of payouts."""

    def __init__(
        self, *arguments: object, hedge_after: float = 0.0, **options: object
    ) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.gate = AdmissionGate(adaptive=AdaptiveLimit())
        self.health = EndpointHealth()
        self.budgets = RetryBudgets()
        self.hedge_after = hedge_after
        self.going_by_id: dict[str, Going] = {}
        self.sim.every(TICK_S, self._tick)

    def is_set_aside(self, endpoint_id: str) -> bool:
        """Tell whether a runner gets probes only."""
        return self.health.is_set_aside(endpoint_id)

    def submit(self, request: ClientRequest) -> None:
        """Take a request from a caller."""
        queued = QueuedRequest(
            request.request_id,
            request.organisation_id,
            request.kind == "urgent",
            self.sim.now_s + request.within_s,
        )
        going = Going(request, queued)
        self.going_by_id[request.request_id] = going
        self.sim.after(request.within_s, partial(self._overdue, going))
        self._carry_out(self.gate.offer(queued, self.sim.now_s))

    def cancel(self, request: ClientRequest) -> None:
        """Give up a request whose caller has gone."""
        going = self.going_by_id.get(request.request_id)
        if going is None or going.is_told:
            return
        if self.gate.give_up(going.queued):
            self._answer(going, "cancelled", Ran.NO)
            return
        self._withdraw(going)

    def _tick(self) -> None:
        self._carry_out(self.gate.expire(self.sim.now_s))

    def _carry_out(self, admission: Admission) -> None:
        for queued, error in admission.refused:
            going = self.going_by_id[queued.request_id]
            self.counts[error.code] += 1
            # Of a payout, nobody has looked at the key's row yet.
            idempotent = going.request.idempotent
            ran = Ran.NO if idempotent else Ran.UNKNOWN
            self._answer(going, error.code, ran)
        for queued in admission.started:
            going = self.going_by_id[queued.request_id]
            going.sent_at_s = self.sim.now_s
            self.begin(going)

    def begin(self, going: Going) -> None:
        """Start with an admitted request."""
        self._try(going)

    def done(self, going: Going, timed_out: bool = False) -> None:
        """Give back the place of an admitted request."""
        if going.is_done:
            return
        going.is_done = True
        took_s = self.sim.now_s - going.sent_at_s
        latency_s = None if timed_out else took_s
        admission = self.gate.done(going.queued, latency_s, self.sim.now_s)
        self._carry_out(admission)

    def choose(
        self, avoid: frozenset[str], may_probe: bool
    ) -> EndpointView | None:
        """Choose a runner, or one that is due for a probe."""
        views = self.views()
        probe = self.health.start_probe(self.sim.now_s) if may_probe else None
        if probe is not None:
            return next(one for one in views if one.endpoint_id == probe)
        # Once all have been tried, any may be tried again.
        found = eligible(views, avoid) or eligible(views)
        return self.policy.choose(found, self.sim.rng)

    def _try(self, going: Going, hedge: bool = False) -> None:
        request = going.request
        left_s = going.queued.deadline_s - self.sim.now_s
        if going.is_told or left_s <= 0:
            return
        chosen = self.choose(going.tried, request.kind == "preview")
        if chosen is None:
            self._failed(going, Ran.NO)
            return
        endpoint_id = chosen.endpoint_id
        going.sent_at_s = self.sim.now_s
        going.tried |= {endpoint_id}
        incarnation = self.known_by_id[endpoint_id].incarnation
        token = self.new_token(request.request_id, incarnation)
        going.tokens.append((endpoint_id, token))
        self.send(
            endpoint_id,
            self.invoke(request, token, left_s),
            partial(self._replied, going, endpoint_id),
            partial(self._lost, going, endpoint_id, token),
        )
        if self.hedge_after and not hedge and not going.retries:
            self.sim.after(self.hedge_after, partial(self._hedge, going))

    def _hedge(self, going: Going) -> None:
        if going.is_told or len(going.tokens) > 1:
            return
        owner = going.request.organisation_id
        if self.budgets.of(owner).spend(self.sim.now_s):
            self.counts["hedges"] += 1
            self._try(going, hedge=True)

    def _replied(self, going: Going, endpoint_id: str, reply: object) -> None:
        if isinstance(reply, InvokeResult):
            self.health.succeeded(endpoint_id)
            self.budgets.of(going.request.organisation_id).succeeded()
            self._answer(going, "answer", Ran.YES, reply.body)
            return
        assert isinstance(reply, Refused)
        if reply.code == "queue_full":
            self.gate.adaptive.overloaded()
        if reply.code not in BUSY_CODES:
            self.note_failure(endpoint_id, going.request)
        self._failed(going, reply.ran)

    def _lost(
        self, going: Going, endpoint_id: str, token: Token, sent: bool
    ) -> None:
        self.note_failure(endpoint_id, going.request)
        if sent and not going.is_told:
            self._bury(endpoint_id, token)
        self._failed(going, Ran.UNKNOWN if sent else Ran.NO)

    def note_failure(self, endpoint_id: str, request: ClientRequest) -> None:
        """Hold a failure against a runner."""
        self.health.failed(
            endpoint_id,
            request.request_id,
            len(self.known_by_id),
            self.sim.now_s,
            self.sim.rng,
        )

    def _failed(self, going: Going, ran: Ran) -> None:
        if going.is_told:
            return
        now_s = self.sim.now_s
        left_s = going.queued.deadline_s - now_s
        budget = self.budgets.of(going.request.organisation_id)
        idempotent = going.request.idempotent
        if may_retry(idempotent, ran, going.retries, left_s) and (
            budget.spend(now_s, urgent=going.queued.urgent)
        ):
            wait_s = backoff_s(going.retries, self.sim.rng)
            going.retries += 1
            self.counts["retries"] += 1
            self.sim.after(wait_s, partial(self._try, going))
            return
        # An earlier try of an idempotent request may have run.
        self._answer(going, "failed", Ran.UNKNOWN)

    def _overdue(self, going: Going) -> None:
        if not going.is_told:
            self.counts["overdue"] += 1
            self._withdraw(going)

    def _withdraw(self, going: Going) -> None:
        for endpoint_id, token in going.tokens:
            self._bury(endpoint_id, token)
        self._answer(going, "deadline", Ran.UNKNOWN, timed_out=True)

    def _bury(self, endpoint_id: str, token: Token) -> None:
        self.send(
            endpoint_id,
            Tombstone(token),
            lambda reply: None,
            lambda sent: None,
        )

    def _answer(
        self,
        going: Going,
        code: str,
        ran: Ran,
        body: bytes = b"",
        timed_out: bool = False,
    ) -> None:
        if not going.is_told:
            going.is_told = True
            self.tell(going.request, code, ran, body)
        if going.sent_at_s:
            self.done(going, timed_out)
