"""Measures placement against first fit on the same arrivals and faults.

Run as ``python -m benchmarks.measure_placement``.
"""

from __future__ import annotations

import json
from pathlib import Path

import attrs
import click

from benchmarks.arrivals import arrivals_of
from benchmarks.arrivals import faults_of
from benchmarks.figures import Figures
from benchmarks.figures import figures_of
from benchmarks.figures import Spread
from benchmarks.optimum import measure_optimum
from benchmarks.optimum import measure_refusals
from benchmarks.policies import QueueingPolicy
from benchmarks.replay import Replay
from benchmarks.sites import design
from benchmarks.sites import jadran
from benchmarks.sites import qureshi
from benchmarks.sites import Site
from filbertlb.scheduling.first_fit import FirstFitScheduler
from filbertlb.scheduling.guaranteed import GuaranteedScheduler

RESULTS = Path(__file__).parent / "results" / "placement.json"
SITE_SEEDS = (1, 2, 3)
DESIGN_SEEDS = (1,)
GROWTH_HOURS_BY_SIZE = {10: 12.0, 100: 6.0, 750: 3.0, 7500: 0.75}
GROWTH_OFFERED = 3.0


def policies_of(site: Site) -> dict[str, QueueingPolicy]:
    """Return fresh policies by name."""
    return {
        "first_fit": FirstFitScheduler(),
        "guaranteed": GuaranteedScheduler(site.config),
    }


def measure_site(site: Site, seeds: tuple[int, ...]) -> dict[str, Figures]:
    """Replay a site on both policies and return figures by policy."""
    outcomes: dict[str, list] = {}
    for seed in seeds:
        arrivals = arrivals_of(site, seed)
        faults = faults_of(site, seed)
        for name, policy in policies_of(site).items():
            outcome = Replay(site, policy).run(arrivals, faults)
            outcomes.setdefault(name, []).append(outcome)
    return {name: figures_of(site, items) for name, items in outcomes.items()}


def measure_growth(worker_count: int) -> Spread | None:
    """Return decision costs in microseconds at a number of workers."""
    site = attrs.evolve(
        design(worker_count),
        hours=GROWTH_HOURS_BY_SIZE[worker_count],
        offered=GROWTH_OFFERED,
    )
    policy = GuaranteedScheduler(site.config)
    replay = Replay(site, policy, drain_hours=0.0)
    outcome = replay.run(arrivals_of(site, 1), faults_of(site, 1))
    return Spread.of(outcome.decision_us)


def print_site(name: str, by_policy: dict[str, Figures]) -> None:
    """Print one table."""
    base, ours = by_policy["first_fit"], by_policy["guaranteed"]
    click.echo(f"\n{name:<34}{'first fit':>14}{'guaranteed':>14}")
    rows = [("completion mean s", _mean(base, ours, "completion_s"))]
    for kind in base.completion_s_by_class:
        pair = [item.completion_s_by_class[kind] for item in (base, ours)]
        for part in ("p50", "p99"):
            values = tuple(getattr(item, part, None) for item in pair)
            rows.append((f"completion {kind} {part} s", values))
    rows.append(("slowdown mean", _mean(base, ours, "slowdown")))
    for field in ("large_gang_wait_s", "claim_wait_s", "decision_us"):
        pair = [getattr(item, field) for item in (base, ours)]
        for part in ("p50", "p99", "most"):
            values = tuple(getattr(item, part, None) for item in pair)
            rows.append((f"{field} {part}", values))
    for field in attrs.fields(Figures):
        if field.type in ("int", "float"):
            values = getattr(base, field.name), getattr(ours, field.name)
            rows.append((field.name, values))
    for label, (left, right) in rows:
        click.echo(f"{label:<34}{_number(left):>14}{_number(right):>14}")


def _mean(base: Figures, ours: Figures, field: str) -> tuple[float, float]:
    return getattr(base, field).mean, getattr(ours, field).mean


def _number(value: float | None) -> str:
    if value is None:
        return "-"
    return f"{value:,.3f}" if abs(value) < 10 else f"{value:,.0f}"


@click.command()
@click.option("--quick", is_flag=True, help="One seed and both sites only.")
def main(quick: bool) -> None:
    """Measure everything, print tables and write the JSON file."""
    results: dict[str, object] = {}
    sites = [(jadran(), SITE_SEEDS), (qureshi(), SITE_SEEDS)]
    if quick:
        sites = [(site, seeds[:1]) for site, seeds in sites]
    else:
        sites.append((design(), DESIGN_SEEDS))
    for site, seeds in sites:
        by_policy = measure_site(site, seeds)
        print_site(site.name, by_policy)
        results[site.name] = {
            name: attrs.asdict(item) for name, item in by_policy.items()
        }
    if quick:
        return
    growth = {count: measure_growth(count) for count in GROWTH_HOURS_BY_SIZE}
    click.echo("\nworkers   decision us p50        p99       most")
    for count, spread in growth.items():
        click.echo(
            f"{count:>7}{spread.p50:>18.0f}{spread.p99:>11.0f}"
            f"{spread.most:>11.0f}"
        )
    results["growth_decision_us"] = {
        str(count): attrs.asdict(spread) for count, spread in growth.items()
    }
    optimum = measure_optimum()
    results["optimum"] = attrs.asdict(optimum)
    click.echo(f"\nsmall cases against the optimum: {optimum}")
    refusals = measure_refusals()
    results["refusals"] = attrs.asdict(refusals)
    click.echo(f"guarantees refused on small cases: {refusals}")
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=2, sort_keys=True) + "\n")


if __name__ == "__main__":
    main()
