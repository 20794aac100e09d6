from __future__ import annotations

from json import dumps
from os import environ
from pathlib import Path

import pytest

from tests.control_world import World

GOLDEN = Path(__file__).parent / "golden"


def takeover(world):
    world.crash("e-a1" if world.by_name["e-a1"].keeper.held() else "e-a2")
    world.run(8.0)


def planned_stop(world):
    name = "e-a1" if world.by_name["e-a1"].keeper.held() else "e-a2"
    world.stop(name)
    world.run(3.0)


def worker_leaves(world):
    world.stop("w-a1")
    world.run(4.0)
    world.crash("w-a1")
    world.run(8.0)


def domain_loss(world):
    world.crash("e-a1", "w-a1")
    world.run(10.0)
    world.add(type(world.by_name["w-a2"]), "w-a1", "a1", 2)
    world.run(4.0)


def regions_apart(world):
    world.partitioned = True
    world.run(5.0)
    world.apply_config(2.0)
    world.run(30.0)
    world.partitioned = False
    world.run(5.0)


def table_down_long(world):
    world.table.faults.down = True
    world.apply_config(2.0)
    world.run(60.0)
    world.replace("e-b1")
    world.run(5.0)
    world.table.faults.down = False
    world.run(3.0)
    world.apply_config(2.0)
    world.run(4.0)


def rolling_replacement(world):
    for name in list(world.by_name):
        world.stop(name)
        world.run(3.0)
        world.replace(name)
        world.run(5.0)


SESSIONS = [
    takeover,
    planned_stop,
    worker_leaves,
    domain_loss,
    regions_apart,
    table_down_long,
    rolling_replacement,
]


@pytest.mark.parametrize("session", SESSIONS, ids=lambda item: item.__name__)
def test_session(session):
    world = World()
    world.run(5.0)
    session(world)
    assert world.max_concurrent_holders == 1
    epochs = [item["epoch"] for item in world.log if item.get("epoch")]
    assert len(epochs) >= 2
    path = GOLDEN / f"control_{session.__name__}.jsonl"
    text = "".join(dumps(item) + "\n" for item in world.log)
    if "FILBERTLB_WRITE_GOLDEN" in environ:
        path.write_text(text)
    assert text == path.read_text()
