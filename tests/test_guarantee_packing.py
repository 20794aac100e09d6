from __future__ import annotations

import pytest

from filbertlb.core.model import Adjacency
from filbertlb.core.model import Guarantee
from filbertlb.core.model import Organisation
from filbertlb.core.model import Resources
from filbertlb.core.model import Shape
from filbertlb.core.model import Worker
from filbertlb.core.scheduling import GuaranteeRefusedError
from filbertlb.scheduling.guaranteed import GuaranteedScheduler

WORKER, RACK, DOMAIN = Adjacency.WORKER, Adjacency.RACK, Adjacency.DOMAIN


@pytest.mark.parametrize(
    ("shapes", "accepted"),
    [
        # Shapes are (members, accelerators each, adjacency). There are four
        # workers of four accelerators in two racks.
        ([(4, 4, DOMAIN)], True),
        ([(4, 4, RACK)], False),
        ([(2, 4, RACK), (2, 4, RACK)], True),
        ([(3, 3, DOMAIN), (1, 4, WORKER)], True),
        ([(2, 2, WORKER)] * 4, True),
        ([(2, 2, WORKER)] * 4 + [(1, 1, RACK)], False),
        ([(5, 3, DOMAIN)], False),
        # Three members of three accelerators take one worker each, so no
        # rack has two empty workers left.
        ([(3, 3, DOMAIN), (2, 4, RACK)], False),
        ([(2, 3, RACK), (2, 4, RACK), (2, 1, RACK)], True),
        # Greedy placement, one shape after the other, fails here.
        ([(3, 3, DOMAIN), (3, 1, RACK), (1, 2, DOMAIN)], True),
        ([(3, 2, RACK), (2, 3, DOMAIN), (1, 2, RACK), (1, 2, RACK)], False),
    ],
)
def test_guarantees_are_accepted_only_if_all_shapes_can_be_placed(
    shapes, accepted
):
    policy = GuaranteedScheduler()
    for n in range(4):
        policy.add_worker(Worker(f"w{n}", f"r{n // 2}", "d", Resources(4)), 0)
    guarantees = tuple(
        Guarantee(f"g{n}", Shape(members, Resources(each), adjacency))
        for n, (members, each, adjacency) in enumerate(shapes)
    )
    organisations = [Organisation("a", guarantees)]
    if accepted:
        policy.set_organisations(organisations, 0.0)
    else:
        with pytest.raises(GuaranteeRefusedError, match="'g"):
            policy.set_organisations(organisations, 0.0)
    units = list(policy.state.packing.units())
    assert len(units) == (len(shapes) if accepted else 0)
    assert not policy.risks()
