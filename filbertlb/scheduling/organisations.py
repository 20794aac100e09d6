"""Changes of organisations, applied atomically.

A change that adds or increases guarantees is accepted only if no unit
loses its placement or is added without one; otherwise it is rolled back.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from filbertlb.core.scheduling import GuaranteeRefusedError
from filbertlb.scheduling.admission import check_organisation
from filbertlb.scheduling.admission import fits_guarantee

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.guarantee_packing import GuaranteePacking
    from filbertlb.core.guarantee_units import Unit
    from filbertlb.core.model import Organisation
    from filbertlb.core.runs import Run
    from filbertlb.scheduling.state import SchedulerState

GuaranteeKey = tuple[str, str]


def change_organisations(
    state: SchedulerState,
    organisations: dict[str, Organisation],
    now_s: float,
    *,
    refuse: bool,
) -> None:
    """Replace all organisations.

    Parameters
    ----------
    refuse : bool
        Whether to refuse a change that leaves a guarantee without a
        placement in the guarantee packing; if not, the guarantee is at
        risk.

    Raises
    ------
    GuaranteeRefusedError
        If a new or increased guarantee has no placement in the
        guarantee packing; the state is then unchanged.
    """
    if refuse:
        for organisation in organisations.values():
            check_organisation(organisation)
    increased = _increased_guarantees(state.packing, organisations)
    with _rollback_on_refusal(state) as revoked:
        unplaced_before = set(state.packing.unplaced)
        dropped = state.packing.change(organisations.values())
        revoked.extend(_revoke_claims(state, dropped))
        state.packing.repair(now_s)
        lost_placement = not unplaced_before.issuperset(state.packing.unplaced)
        if refuse and increased and lost_placement:
            raise _refusal_error(state.packing, increased)
    state.shares.change(organisations)
    restore_claims(state)
    state.packing.repair(now_s)


def restore_claims(state: SchedulerState) -> None:
    """Let runs claim the guarantees that their jobs name."""
    for run in list(state.runs.by_id.values()):
        if run.unit is None and run.job.guarantee_id is not None:
            claim_for_run(state, run.job.job_id)


def claim_for_run(state: SchedulerState, job_id: str) -> None:
    """Move an unclaimed unit to the workers of a run and claim it."""
    run = state.runs.by_id[job_id]
    key = (run.job.organisation_id, run.job.guarantee_id or "")
    units = state.packing.by_key.get(key, ())
    free = [
        unit
        for unit in units
        if not unit.claimed_by
        and fits_guarantee(run.job.shape, unit.guarantee)
    ]
    if not free or run.stopping:
        return
    unit = min(free, key=lambda unit: unit.worker_ids != run.worker_ids)
    if unit.worker_ids != run.worker_ids:
        state.packing.set_placement(unit, run.worker_ids)
    state.set_claim(run, unit)
    state.packing.claim(unit, job_id)
    for worker in state.runs.workers(run):
        state.packing.evict_unclaimed(worker)


def _revoke_claims(
    state: SchedulerState, dropped: list[Unit]
) -> list[tuple[Run, Unit]]:
    """Remove the claims of runs whose unit is dropped; they keep running."""
    revoked = []
    for unit in dropped:
        run = state.runs.by_id.get(unit.claimed_by)
        run = run or state.runs.plan_by_id.get(unit.claimed_by)
        if run is not None:
            state.set_claim(run, None)
            revoked.append((run, unit))
            for worker in state.runs.workers(run):
                state.packing.evict_unclaimed(worker)
    return revoked


def _increased_guarantees(
    packing: GuaranteePacking, organisations: dict[str, Organisation]
) -> set[GuaranteeKey]:
    increased = set()
    for name, organisation in organisations.items():
        for guarantee in organisation.guarantees:
            key = (name, guarantee.guarantee_id)
            units = packing.by_key.get(key, [])
            is_same_shape = (
                units and units[0].guarantee.shape == guarantee.shape
            )
            if not is_same_shape or len(units) < guarantee.count:
                increased.add(key)
    return increased


def _refusal_error(
    packing: GuaranteePacking, increased: set[GuaranteeKey]
) -> GuaranteeRefusedError:
    missing_units = [
        unit
        for unit in packing.unplaced
        if (unit.organisation_id, unit.guarantee.guarantee_id) in increased
    ]
    unit = next(iter(missing_units or packing.unplaced))
    return GuaranteeRefusedError(
        f"guarantee {unit.guarantee.guarantee_id!r} of organisation"
        f" {unit.organisation_id!r} is refused: {len(missing_units)!r} of its"
        f" {unit.guarantee.count!r} shapes {unit.guarantee.shape!r} have no"
        " placement alongside the other guarantees and the jobs that may not"
        " be stopped; reduce the guarantee or retry when those jobs have ended"
    )


@contextmanager
def _rollback_on_refusal(
    state: SchedulerState,
) -> Iterator[list[tuple[Run, Unit]]]:
    """Restore units, placements and claims if the change is refused."""
    packing = state.packing
    revoked: list[tuple[Run, Unit]] = []
    by_key = {key: list(units) for key, units in packing.by_key.items()}
    saved = [
        (unit, unit.guarantee, unit.worker_ids) for unit in packing.units()
    ]
    try:
        yield revoked
    except GuaranteeRefusedError:
        for unit in list(packing.units()):
            packing.set_placement(unit, ())
        packing.unplaced.clear()
        packing.by_key = by_key
        for run, unit in revoked:
            state.set_claim(run, unit)
        for unit, guarantee, worker_ids in saved:
            unit.guarantee = guarantee
            packing.set_placement(unit, worker_ids)
        raise
