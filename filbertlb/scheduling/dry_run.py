"""Dry run of a configuration: guarantees that it cannot place."""

from __future__ import annotations

from typing import TYPE_CHECKING

from filbertlb.scheduling.guaranteed import GuaranteedScheduler

if TYPE_CHECKING:
    from collections.abc import Iterable

    from filbertlb.core.model import Worker
    from filbertlb.core.site import SiteConfig


def broken_guarantees(
    config: SiteConfig,
    before: SiteConfig | None = None,
    workers: Iterable[Worker] | None = None,
) -> list[str]:
    """Return a message for each guarantee that would lose placements.

    Units that have no placement under the old configuration either, for
    example while workers are down, do not block unrelated changes.

    Parameters
    ----------
    before : SiteConfig, optional
        Configuration to replace.
    workers : iterable of Worker, optional
        Workers to place on; by default those that the configuration
        expects. The result is empty if there are none.
    """
    known = tuple(config.expected_workers() if workers is None else workers)
    if not known:
        return []
    missing_before = (
        {} if before is None else _missing_by_guarantee(before, known)
    )
    missing = _missing_by_guarantee(config, known)
    return [
        f"organisations.{organisation_id}.guarantees.{guarantee_id}: {count} "
        f"of its shapes have no placement on {len(known)} workers; reduce "
        "it or other guarantees"
        for (organisation_id, guarantee_id), count in sorted(missing.items())
        if count > missing_before.get((organisation_id, guarantee_id), 0)
    ]


def _missing_by_guarantee(
    config: SiteConfig, workers: Iterable[Worker]
) -> dict[tuple[str, str], int]:
    scheduler = GuaranteedScheduler(config.scheduler)
    for worker in workers:
        scheduler.add_worker(worker, 0.0)
    scheduler.restore_organisations(config.model_organisations(), 0.0)
    return {
        (risk.organisation_id, risk.guarantee_id): risk.missing
        for risk in scheduler.risks()
    }
