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

W, R, D = Adjacency.WORKER, Adjacency.RACK, Adjacency.DOMAIN


@pytest.mark.parametrize(
    ("shapes", "accepted"),
    [
        # Four workers of four accelerators in two racks.
        ([(4, 4, D)], True),
        ([(4, 4, R)], False),
        ([(2, 4, R), (2, 4, R)], True),
        ([(3, 3, D), (1, 4, W)], True),
        ([(2, 2, W)] * 4, True),
        ([(2, 2, W)] * 4 + [(1, 1, R)], False),
        ([(5, 3, D)], False),
        # Three threes leave no two whole workers in a rack.
        ([(3, 3, D), (2, 4, R)], False),
        ([(2, 3, R), (2, 4, R), (2, 1, R)], True),
        # One shape after the other would not do.
        ([(3, 3, D), (3, 1, R), (1, 2, D)], True),
        ([(3, 2, R), (2, 3, D), (1, 2, R), (1, 2, R)], False),
    ],
)
def test_guarantees_are_accepted_only_with_a_witness(shapes, accepted):
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
    units = list(policy.state.witness.units())
    assert len(units) == (len(shapes) if accepted else 0)
    assert not policy.risks()
