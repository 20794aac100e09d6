"""Change of organisations: accepted with a witness, or not at all."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from filbertlb.core.scheduling import GuaranteeRefusedError
from filbertlb.scheduling.admission import check_organisation
from filbertlb.scheduling.admission import fits_guarantee

if TYPE_CHECKING:
    from collections.abc import Iterator

    from filbertlb.core.guarantee_packing import GuaranteePacking
    from filbertlb.core.guarantee_packing import Unit
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
        Whether a guarantee without a witness is refused; if not, it is
        taken over as at risk.

    Raises
    ------
    GuaranteeRefusedError
        If a new or grown guarantee has no witness; nothing changes.
    """
    if refuse:
        for organisation in organisations.values():
            check_organisation(organisation)
    grown = _grown(state.witness, organisations)
    with _undone_on_refusal(state) as demoted:
        before = set(state.witness.unplaced)
        dropped = state.witness.change(organisations.values())
        demoted.extend(_demote(state, dropped))
        state.witness.repair(now_s)
        worse = not before.issuperset(state.witness.unplaced)
        if refuse and grown and worse:
            raise _refusal(state.witness, grown)
    state.shares.change(organisations)
    claim_again(state)
    state.witness.repair(now_s)


def claim_again(state: SchedulerState) -> None:
    """Let runs claim the guarantees that they were submitted under."""
    for run in list(state.runs.by_id.values()):
        if run.unit is None and run.job.guarantee_id is not None:
            claim_for_run(state, run.job.job_id)


def claim_for_run(state: SchedulerState, job_id: str) -> None:
    """Move an unclaimed unit to where a run is and claim it."""
    run = state.runs.by_id[job_id]
    key = (run.job.organisation_id, run.job.guarantee_id or "")
    units = state.witness.by_key.get(key, ())
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
        state.witness.set_placement(unit, run.worker_ids)
    state.set_claim(run, unit)
    state.witness.claim(unit, job_id)
    for worker in state.runs.workers(run):
        state.witness.evict_unclaimed(worker)


def _demote(
    state: SchedulerState, dropped: list[Unit]
) -> list[tuple[Run, Unit]]:
    """Let runs go on whose claimed unit is dropped."""
    demoted = []
    for unit in dropped:
        run = state.runs.by_id.get(unit.claimed_by)
        run = run or state.runs.plan_by_id.get(unit.claimed_by)
        if run is not None:
            state.set_claim(run, None)
            demoted.append((run, unit))
            for worker in state.runs.workers(run):
                state.witness.evict_unclaimed(worker)
    return demoted


def _grown(
    witness: GuaranteePacking, organisations: dict[str, Organisation]
) -> set[GuaranteeKey]:
    grown = set()
    for name, organisation in organisations.items():
        for guarantee in organisation.guarantees:
            key = (name, guarantee.guarantee_id)
            units = witness.by_key.get(key, [])
            same = units and units[0].guarantee.shape == guarantee.shape
            if not same or len(units) < guarantee.count:
                grown.add(key)
    return grown


def _refusal(
    witness: GuaranteePacking, grown: set[GuaranteeKey]
) -> GuaranteeRefusedError:
    missing = [
        unit
        for unit in witness.unplaced
        if (unit.organisation_id, unit.guarantee.guarantee_id) in grown
    ]
    unit = next(iter(missing or witness.unplaced))
    return GuaranteeRefusedError(
        f"guarantee {unit.guarantee.guarantee_id!r} of organisation"
        f" {unit.organisation_id!r} is refused: {len(missing)!r} of its"
        f" {unit.guarantee.count!r} shapes {unit.guarantee.shape!r} have no"
        " placement beside the other guarantees and the work that may not"
        " be stopped; shrink it or try again when that work has ended"
    )


@contextmanager
def _undone_on_refusal(
    state: SchedulerState,
) -> Iterator[list[tuple[Run, Unit]]]:
    """Bring guarantees back as they were if the change is refused."""
    witness = state.witness
    demoted: list[tuple[Run, Unit]] = []
    by_key = {key: list(units) for key, units in witness.by_key.items()}
    saved = [
        (unit, unit.guarantee, unit.worker_ids) for unit in witness.units()
    ]
    try:
        yield demoted
    except GuaranteeRefusedError:
        for unit in list(witness.units()):
            witness.set_placement(unit, ())
        witness.unplaced.clear()
        witness.by_key = by_key
        for run, unit in demoted:
            state.set_claim(run, unit)
        for unit, guarantee, worker_ids in saved:
            unit.guarantee = guarantee
            witness.set_placement(unit, worker_ids)
        raise
