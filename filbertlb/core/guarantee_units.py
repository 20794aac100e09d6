"""Shapes of guarantees that jobs can claim, one by one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.core.amounts import times

if TYPE_CHECKING:
    from filbertlb.core.amounts import Amount
    from filbertlb.core.model import Guarantee


@attrs.define(eq=False)
class Unit:
    """One shape of a guarantee, which one job at a time can claim.

    Parameters
    ----------
    organisation_id : str
        Organisation that has the guarantee.
    need : Amount
        Resources that one member needs.
    worker_ids : tuple of str
        Worker of each member; empty if the unit has no placement.
    claimed_by : str
        Identifier of the job that claims the unit, or empty.
    """

    organisation_id: str
    guarantee: Guarantee
    need: Amount
    worker_ids: tuple[str, ...] = ()
    claimed_by: str = ""

    @property
    def packing_order(self) -> tuple[bool, int, int, int]:
        """Return a sort key: units that are harder to place come first."""
        shape = self.guarantee.shape
        total = times(self.need, shape.members)
        has_domain = shape.failure_domain is not None
        return (not has_domain, -total[0], -total[1], -total[2])
