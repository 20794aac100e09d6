"""Measures the request path under load and faults in virtual time.

The decisions are the shipped ones; entries, runners and the network are
events of one seeded simulation. ``python -m benchmarks.measure_requests``
prints a table and writes ``benchmarks/results/requests.json``.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from sys import stdout

import attrs
import numpy as np

from benchmarks.request_entries import BaseEntry
from benchmarks.request_entries import BaselineEntry
from benchmarks.request_entries import Told
from benchmarks.request_payouts import PayoutEntry
from benchmarks.request_payouts import SimTable
from benchmarks.request_sim import ANNOUNCE_LOSS
from benchmarks.request_sim import ANNOUNCE_S
from benchmarks.request_sim import CLIENT_HOP_S
from benchmarks.request_sim import ClientRequest
from benchmarks.request_sim import DOMAINS
from benchmarks.request_sim import HOP_S
from benchmarks.request_sim import Journal
from benchmarks.request_sim import Runner
from benchmarks.request_sim import RUNNERS
from benchmarks.request_sim import Sim
from filbertlb.agent.slot_records import SlotLimits
from filbertlb.core.attempt_effects import TellUnknown
from filbertlb.errors import Ran
from filbertlb.routing.base import RoutingPolicy
from filbertlb.routing.least_loaded import LeastLoaded
from filbertlb.routing.near_first import NearFirst
from filbertlb.routing.power_of_two import PowerOfTwo
from filbertlb.routing.random_choice import RandomChoice
from filbertlb.routing.round_robin import RoundRobin

SEED = 20
DURATION_S = 40.0
SETTLE_S = 30.0
FAULT_FROM_S = 10.0
FAULT_TO_S = 25.0
RATE_PER_S = 220.0
BUSY_RATE_PER_S = 320.0
OVERLOAD_FACTOR = 3.0
RUN_S_BY_KIND = {"urgent": 0.1, "preview": 0.2, "payout": 0.2}
WITHIN_S_BY_KIND = {"urgent": 2.0, "preview": 5.0, "payout": 5.0}
KINDS = ("urgent",) * 2 + ("preview",) * 7 + ("payout",)
ORGANISATIONS = ("a", "a", "a", "b", "c", "d")
RUN_SIGMA = 0.5
BURST = 800
LATE_CODES = frozenset({"deadline", "deadline_expired"})
NOT_ACCEPTED_CODES = frozenset(
    {"not_accepted", "overloaded", "deadline_expired"}
)
RESULT_PATH = Path("benchmarks/results/requests.json")

MakePolicy = Callable[[str], RoutingPolicy]
POLICY_BY_NAME: dict[str, MakePolicy] = {
    "random": lambda domain: RandomChoice(),
    "round_robin": lambda domain: RoundRobin(),
    "least_loaded": lambda domain: LeastLoaded(),
    "power_of_two": lambda domain: PowerOfTwo(),
    "near_first": NearFirst,
}


class Run:
    """One scenario with one kind of entry."""

    def __init__(
        self,
        baseline: bool,
        policy: str = "near_first",
        hedge_after: float = 0.0,
    ) -> None:
        self.sim = Sim(SEED)
        self.journal = Journal()
        self.table = SimTable(self.sim)
        limits = SlotLimits()
        if baseline:
            limits = SlotLimits(queue=10**9, urgent_queue=10**9)
        self.runners = [
            Runner(self.sim, number, limits, self.journal)
            for number in range(RUNNERS)
        ]
        self.entries: list[BaseEntry] = []
        for number, domain in enumerate(DOMAINS):
            arguments = (
                self.sim,
                f"entry-{number}",
                domain,
                self.runners,
                POLICY_BY_NAME[policy](domain),
                self._told,
            )
            if baseline:
                self.entries.append(BaselineEntry(*arguments))
            else:
                entry = PayoutEntry(
                    *arguments, table=self.table, hedge_after=hedge_after
                )
                self.entries.append(entry)
        self.sent_at_by_id: dict[str, float] = {}
        self.request_by_id: dict[str, ClientRequest] = {}
        self.told_by_id: dict[str, Told] = {}
        self.settled: Counter[str] = Counter()
        self.cancelled_ids: set[str] = set()
        for runner in self.runners:
            self.sim.every(ANNOUNCE_S, partial(self._announce, runner))

    def request(self, kind: str, entry: int | None = None) -> ClientRequest:
        """Send a request of a kind from a client; return it."""
        rng = self.sim.rng
        scale = RUN_S_BY_KIND[kind]
        run_s = scale * rng.lognormvariate(-(RUN_SIGMA**2) / 2, RUN_SIGMA)
        request = ClientRequest(
            f"q{len(self.request_by_id)}",
            rng.choice(ORGANISATIONS) if entry is None else "a",
            kind,
            run_s,
            WITHIN_S_BY_KIND[kind],
        )
        self.request_by_id[request.request_id] = request
        self.sent_at_by_id[request.request_id] = self.sim.now_s
        chosen = rng.choice(self.entries)
        self.sim.after(CLIENT_HOP_S, partial(chosen.submit, request))
        return request

    def arrivals(self, rate: Callable[[float], float]) -> None:
        """Send requests at a rate until the end of the run."""

        def next_one() -> None:
            if self.sim.now_s >= DURATION_S:
                return
            self.request(self.sim.rng.choice(KINDS))
            wait_s = self.sim.rng.expovariate(rate(self.sim.now_s))
            self.sim.after(wait_s, next_one)

        next_one()

    def cancel(self, requests: list[ClientRequest]) -> None:
        """Have the callers of some requests go away."""
        for request in requests:
            self.cancelled_ids.add(request.request_id)
            for entry in self.entries:
                entry.cancel(request)  # type: ignore[attr-defined]

    def finish(self) -> dict[str, object]:
        """Run to the end, ask for what is unknown, return figures."""
        self.sim.run(DURATION_S + SETTLE_S)
        self._ask_for_unknown()
        self.sim.run(DURATION_S + 2 * SETTLE_S)
        return self._figures()

    def _ask_for_unknown(self) -> None:
        for told in list(self.told_by_id.values()):
            entry = self.entries[-1]
            is_open = told.ran is not Ran.YES and told.ran is not Ran.NO
            if told.request.idempotent or not is_open:
                continue
            if isinstance(entry, PayoutEntry):
                entry.ask(told.request, partial(self._settled, told))

    def _settled(self, told: Told, telling: object) -> None:
        if isinstance(telling, TellUnknown):
            self.settled["unknown"] += 1
            # Only a row can prove "not run"; without one, nothing was
            # accepted and nothing starts.
            return
        self.settled["settled"] += 1
        starts = self.journal.starts_by_id[told.request.request_id]
        is_answer = type(telling).__name__ == "TellAnswer"
        self.settled["false"] += bool(starts) is not is_answer

    def _announce(self, runner: Runner) -> None:
        if not runner.alive:
            return
        in_flight = runner.book.in_flight
        for entry in self.entries:
            if self.sim.rng.random() >= ANNOUNCE_LOSS:
                tell = partial(entry.announced, runner, in_flight)
                self.sim.after(HOP_S, tell)

    def _told(self, told: Told) -> None:
        self.told_by_id.setdefault(told.request.request_id, told)

    def _figures(self) -> dict[str, object]:
        counts = sum((entry.counts for entry in self.entries), Counter())
        offered = len(self.request_by_id)
        good = list(self._good())
        writes = self.table.writes_by_second
        return {
            "offered": offered,
            "goodput": round(
                len(good) / (offered - len(self.cancelled_ids)), 4
            ),
            "latency_s": {
                kind: self._latencies(good, kind) for kind in RUN_S_BY_KIND
            },
            "good_by_kind": {
                kind: self._good_share(good, kind) for kind in RUN_S_BY_KIND
            },
            "retries": counts["retries"],
            "hedges": counts["hedges"],
            "shed_share": round(counts["overloaded"] / offered, 4),
            "late_share": round(self._late() / offered, 4),
            "starts_per_good": round(
                sum(self.journal.starts_by_id.values()) / max(1, len(good)),
                3,
            ),
            "false_answers": self._false_answers() + self.settled["false"],
            "doubles": sum(
                starts > 1
                for request_id, starts in self.journal.starts_by_id.items()
                if not self.request_by_id[request_id].idempotent
            ),
            "unanswered": offered - len(self.told_by_id),
            "unknown_payouts": self._unknown_payouts(),
            "not_accepted_payouts": self._not_accepted_payouts(),
            "settled_when_asked": self.settled["settled"],
            "peak_writes_per_s": max(writes.values(), default=0),
            "peak_table_calls_per_s": max(
                self.table.calls_by_second.values(), default=0
            ),
        }

    def _late(self) -> int:
        return sum(
            told.code in LATE_CODES and request_id not in self.cancelled_ids
            for request_id, told in self.told_by_id.items()
        )

    def _good(self) -> Iterator[tuple[ClientRequest, float]]:
        for told in self.told_by_id.values():
            sent_at_s = self.sent_at_by_id[told.request.request_id]
            if told.request.request_id in self.cancelled_ids:
                continue
            took_s = told.at_s + CLIENT_HOP_S - sent_at_s
            if told.code == "answer" and took_s <= told.request.within_s:
                yield told.request, took_s

    def _latencies(
        self, good: list[tuple[ClientRequest, float]], kind: str
    ) -> dict[str, float]:
        took = [took_s for request, took_s in good if request.kind == kind]
        if not took:
            return {}
        return {
            f"p{share}": round(float(np.percentile(took, share)), 3)
            for share in (50, 99)
        }

    def _good_share(
        self, good: list[tuple[ClientRequest, float]], kind: str
    ) -> float:
        sent = Counter(one.kind for one in self.request_by_id.values())
        count = sum(request.kind == kind for request, _ in good)
        return round(count / max(1, sent[kind]), 4)

    def _false_answers(self) -> int:
        false = 0
        for request_id, told in self.told_by_id.items():
            starts = self.journal.starts_by_id[request_id]
            if told.code == "answer":
                body = told.body.decode().partition(" ")[0]
                false += body != request_id or not starts
            elif told.ran is Ran.NO:
                false += bool(starts)
        return false

    def _not_accepted_payouts(self) -> int:
        return sum(
            not told.request.idempotent and told.code in NOT_ACCEPTED_CODES
            for told in self.told_by_id.values()
        )

    def _unknown_payouts(self) -> int:
        return sum(
            told.ran is Ran.UNKNOWN
            and not told.request.idempotent
            and told.code not in NOT_ACCEPTED_CODES
            for told in self.told_by_id.values()
        )


def _is_fault_time(now_s: float) -> bool:
    return FAULT_FROM_S <= now_s < FAULT_TO_S


def _calm(run: Run) -> None:
    run.arrivals(lambda now_s: RATE_PER_S)


def _busy(run: Run) -> None:
    run.arrivals(lambda now_s: BUSY_RATE_PER_S)


def _overload(run: Run) -> None:
    factor = OVERLOAD_FACTOR
    run.arrivals(
        lambda now_s: RATE_PER_S * (factor if _is_fault_time(now_s) else 1)
    )


def _burst(run: Run) -> None:
    _calm(run)

    def burst() -> None:
        for _ in range(BURST):
            run.request("preview", entry=0)

    run.sim.after(FAULT_FROM_S, burst)


def _cancellations(run: Run) -> None:
    _calm(run)

    def burst() -> None:
        sent = [run.request("preview", entry=0) for _ in range(BURST)]
        run.sim.after(0.5, partial(run.cancel, sent))

    run.sim.after(FAULT_FROM_S, burst)


def _deaths(run: Run) -> None:
    _calm(run)
    for runner in run.runners:
        runner.reply_loss = 0.003
    for number in range(8):
        victim = run.runners[number % RUNNERS]
        run.sim.after(5.0 + 3.0 * number, partial(victim.die, 4.0))


def _set_fault(run: Run, count: int, **changes: object) -> None:
    def apply(values: dict[str, object]) -> None:
        for runner in run.runners[:count]:
            for name, value in values.items():
                setattr(runner, name, value)

    healthy = {name: getattr(run.runners[0], name) for name in changes}
    run.sim.after(FAULT_FROM_S, partial(apply, changes))
    run.sim.after(FAULT_TO_S, partial(apply, healthy))


def _slow(run: Run) -> None:
    _calm(run)
    _set_fault(run, 3, slowness=6.0)


def _fails_all(run: Run) -> None:
    _calm(run)
    _set_fault(run, 2, fails_all=True)


def _table_outage(run: Run) -> None:
    _calm(run)
    run.table.ack_loss = 0.05
    faults = run.table.table.faults

    def set_down(down: bool) -> None:
        faults.down = down

    run.sim.after(FAULT_FROM_S, partial(set_down, True))
    run.sim.after(FAULT_TO_S, partial(set_down, False))


def _together(run: Run) -> None:
    _table_outage(run)
    _set_fault(run, 2, fails_all=True)
    run.runners[9].slowness = 6.0
    for number in range(2, 8):
        victim = run.runners[number]
        victim.reply_loss = 0.003
        run.sim.after(3.0 * number, partial(victim.die, 4.0))

    def burst() -> None:
        sent = [run.request("preview", entry=0) for _ in range(BURST)]
        run.sim.after(0.5, partial(run.cancel, sent[: BURST // 2]))

    run.sim.after(FAULT_FROM_S, burst)


SCENARIO_BY_NAME: dict[str, Callable[[Run], None]] = {
    "calm": _calm,
    "busy": _busy,
    "overload": _overload,
    "burst": _burst,
    "cancellations": _cancellations,
    "deaths": _deaths,
    "slow": _slow,
    "fails_all": _fails_all,
    "table_outage": _table_outage,
    "together": _together,
}


@attrs.frozen
class Variant:
    """One kind of entry that is measured."""

    name: str
    baseline: bool = False
    policy: str = "near_first"
    hedge_after: float = 0.0


VARIANTS = (Variant("baseline", baseline=True), Variant("shipped"))
POLICY_VARIANTS = tuple(Variant(name, policy=name) for name in POLICY_BY_NAME)
HEDGE_VARIANTS = (
    Variant("no hedging"),
    Variant("hedge after 0.4 s", hedge_after=0.4),
    Variant("hedge after 0.8 s", hedge_after=0.8),
)


def measure(scenario: str, variant: Variant) -> dict[str, object]:
    """Return the figures of one run."""
    run = Run(variant.baseline, variant.policy, variant.hedge_after)
    SCENARIO_BY_NAME[scenario](run)
    return run.finish()


def compare(
    scenarios: tuple[str, ...], variants: tuple[Variant, ...]
) -> dict[str, dict[str, dict[str, object]]]:
    """Return figures by scenario and variant, and print them."""
    figures: dict[str, dict[str, dict[str, object]]] = {}
    for scenario in scenarios:
        figures[scenario] = {}
        for variant in variants:
            found = measure(scenario, variant)
            figures[scenario][variant.name] = found
            _print_row(scenario, variant.name, found)
    return figures


def _print_row(scenario: str, name: str, found: dict) -> None:
    latencies = " ".join(
        f"{found['latency_s'][kind].get('p50', 0):.2f}/"
        f"{found['latency_s'][kind].get('p99', 0):.2f}"
        for kind in RUN_S_BY_KIND
    )
    stdout.write(
        f"{scenario:14}{name:18}{found['goodput']:8.2%} {latencies} "
        f"{found['retries']:7}{found['shed_share']:8.2%}"
        f"{found['late_share']:8.2%}"
        f"{found['false_answers']:6}{found['doubles']:8}"
        f"{found['unknown_payouts']:8}{found['peak_writes_per_s']:8}\n"
    )


def main() -> None:
    """Measure everything and write the figures down."""
    stdout.write(
        "scenario      variant            goodput  p50/p99 s of urgent, "
        "preview, payout; retries, shed, late, false, doubles, unknown, "
        "writes/s\n"
    )
    results = {
        "seed": SEED,
        "rules": compare(tuple(SCENARIO_BY_NAME), VARIANTS),
        "routing": compare(("calm", "busy", "slow"), POLICY_VARIANTS),
        "hedging": compare(("calm", "busy", "slow"), HEDGE_VARIANTS),
    }
    RESULT_PATH.parent.mkdir(exist_ok=True)
    text = json.dumps(results, indent=1, sort_keys=True)
    RESULT_PATH.write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
