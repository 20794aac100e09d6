"""The command that shows a whole site in one process."""

from __future__ import annotations

import sys
from contextlib import ExitStack
from importlib.resources import as_file
from importlib.resources import files

import attrs
import click
from gevent import sleep
from gevent import spawn

from filbertlb.cli.context import Context
from filbertlb.cli.context import ExitCode
from filbertlb.cli.context import pass_context
from filbertlb.core.clock import SystemClock
from filbertlb.core.site import load_site
from filbertlb.core.site import SiteConfig
from filbertlb.demo.accounts import Accounts
from filbertlb.demo.accounts import settle_accounts
from filbertlb.demo.night import make_night
from filbertlb.demo.night import Night
from filbertlb.demo.night import Told
from filbertlb.demo.plant import open_plant
from filbertlb.demo.plant import Plant
from filbertlb.logs import logging_to
from filbertlb.logs import LogSettings

SITES = ("jadran", "qureshi")


@click.command()
@click.option("--site", type=click.Choice(SITES), default=SITES[0])
@click.option("--seed", default=1, show_default=True)
@click.option("--jobs", default=60, show_default=True)
@click.option("--requests", default=200, show_default=True)
@click.option("--length-s", default=10.0, show_default=True)
@click.option(
    "--replace-entry/--keep-entries",
    default=True,
    help="Cut one entry off in the middle of the night and replace it.",
)
@pass_context
def demo(
    context: Context,
    site: str,
    seed: int,
    jobs: int,
    requests: int,
    length_s: float,
    replace_entry: bool,
) -> None:
    """Play a sample night at a site and account for everything."""
    config = example_site(site)
    arrivals = make_night(
        sorted(config.organisations), seed, jobs, requests, length_s
    )
    with (
        logging_to(LogSettings(level="WARNING")),
        open_plant(config, SystemClock()) as plant,
    ):
        if replace_entry:
            spawn(_replace_entry, plant, length_s / 2)
        progress = _Progress(jobs + requests, quiet=context.as_json)
        told = Night(plant, progress.add).play(*arrivals)
        accounts = settle_accounts(told, plant.ledger)
    context.show(attrs.asdict(accounts), _text(told, accounts))
    if not accounts.clean:
        sys.exit(ExitCode.FAILED)


def example_site(site: str) -> SiteConfig:
    """Return the configuration of a site that ships as an example."""
    folder = files("filbertlb").joinpath("examples")
    with ExitStack() as stack:
        paths = [
            stack.enter_context(as_file(folder.joinpath(name)))
            for name in ("base.json", f"{site}/overlay.json")
        ]
        return load_site(paths)


def _replace_entry(plant: Plant, after_s: float) -> None:
    sleep(after_s)
    plant.stop("entry-0")
    sleep(after_s / 4)
    plant.start_entry("entry-new")


class _Progress:
    """Prints how many callers have their answer."""

    def __init__(self, total: int, *, quiet: bool) -> None:
        self._total = total
        self._quiet = quiet
        self._done = 0

    def add(self, told: Told) -> None:
        """Count one more."""
        self._done += 1
        if not self._quiet:
            click.echo(f"\r{self._done}/{self._total} answered", nl=False)


def _text(told: list[Told], accounts: Accounts) -> str:
    lines = [""]
    for one in told:
        lines.append(
            f"{one.arrival.key:14} {one.arrival.organisation_id:18} "
            f"{one.state:10} ran: {one.ran:8} at {one.done_at_s:6.2f} s"
        )
    lines += [
        f"{state}: {count}"
        for state, count in sorted(accounts.count_by_state.items())
    ]
    for name in ("lost", "doubled", "half_run", "false_answers"):
        keys = getattr(accounts, name)
        lines.append(f"{name}: {len(keys)} {' '.join(keys)}".rstrip())
    return "\n".join(lines)
