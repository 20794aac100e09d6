"""Plots the results of the placement measurement.

Run as ``python -m benchmarks.plot_placement`` after
``python -m benchmarks.measure_placement``.
"""

from __future__ import annotations

import json
from pathlib import Path

import matplotlib

from benchmarks.measure_placement import RESULTS

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

PLOT = Path(__file__).parent.parent / "docs" / "img" / "placement.png"
SITES = ("jadran", "qureshi")
POLICIES = ("first_fit", "guaranteed")
BAR_WIDTH = 0.38


def panels(figures: dict) -> tuple[tuple[str, dict[str, float]], ...]:
    """Return the bars of each panel of one policy."""
    by_class = figures["completion_s_by_class"]
    return (
        (
            "completion p50 (s)",
            {name: item["p50"] for name, item in by_class.items()},
        ),
        (
            "completion p99 (s)",
            {name: item["p99"] for name, item in by_class.items()},
        ),
        (
            "wait (s)",
            {
                "large p50": figures["large_gang_wait_s"]["p50"],
                "large p99": figures["large_gang_wait_s"]["p99"],
                "claim p99": figures["claim_wait_s"]["p99"],
            },
        ),
        (
            "share",
            {
                "fragmentation": figures["fragmentation"],
                "weighted": figures["fragmentation_weighted"],
                "utilisation": figures["utilisation"],
            },
        ),
    )


def main() -> None:
    """Read the results and write the plot."""
    results = json.loads(RESULTS.read_text())
    figure, axes = pyplot.subplots(2, 4, figsize=(15, 7))
    for row, site in zip(axes, SITES, strict=True):
        for index, policy in enumerate(POLICIES):
            for axis, (title, bars) in zip(
                row, panels(results[site][policy]), strict=True
            ):
                places = [at + index * BAR_WIDTH for at in range(len(bars))]
                axis.bar(places, bars.values(), BAR_WIDTH, label=policy)
                ticks = [at + BAR_WIDTH / 2 for at in range(len(bars))]
                axis.set_xticks(ticks, bars, rotation=20)
                axis.set_title(f"{site}: {title}")
                if "(s)" in title:
                    axis.set_yscale("log")
    axes[0][0].legend()
    figure.tight_layout()
    PLOT.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(PLOT, dpi=80)


if __name__ == "__main__":
    main()
