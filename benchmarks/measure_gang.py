"""Messages, bytes and processor time of gang starts by member count.

Both ends of the protocol run in one process without a network; frames
are encoded apart, so the times are those of the pure code.
"""

from __future__ import annotations

from json import dumps
from pathlib import Path
from statistics import median
from time import perf_counter_ns
from typing import TYPE_CHECKING

import attrs

from filbertlb.agent.book import ReservationBook
from filbertlb.core.gang import Gang
from filbertlb.core.gang_plan import GangMember
from filbertlb.core.gang_plan import GangPhase
from filbertlb.core.gang_plan import GangPlan
from filbertlb.core.gang_plan import GangTimeouts
from filbertlb.core.gang_plan import Send
from filbertlb.core.gang_plan import WriteDecision
from filbertlb.core.gang_plan import WriteStatus
from filbertlb.core.job_record import new_attempt_id
from filbertlb.core.model import Resources
from filbertlb.transport.codec import Envelope
from filbertlb.transport.codec import KEY_BYTES
from filbertlb.transport.codec import KeyRing
from filbertlb.transport.codec import MessageCodec

if TYPE_CHECKING:
    from filbertlb.core.gang_plan import GangEffect

MEMBER_COUNTS = (1, 2, 4, 8, 16, 32, 64)
REPEATS = 50
RESULT_PATH = Path(__file__).parent / "results" / "gang.json"
CODEC = MessageCodec(KeyRing({0: bytes(KEY_BYTES)}))


@attrs.frozen
class GangCost:
    """Cost of one gang start.

    Parameters
    ----------
    messages : int
        Commands and replies up to the last confirmed release.
    frame_bytes : int
        Bytes of their sealed frames.
    pure_us : float
        Median time of the decider's and all agents' decisions, in
        microseconds.
    decision_writes : int
        Conditional writes of the decision record.
    """

    members: int
    messages: int
    frame_bytes: int
    pure_us: float
    decision_writes: int


def make_plan(members: int) -> GangPlan:
    """Return a plan with one member on each of many workers."""
    return GangPlan(
        attempt_id=new_attempt_id("job-00000001", 1, 1),
        job_id="job-00000001",
        organisation_id="organisation-1",
        scope="split-a",
        epoch=1,
        members=tuple(
            GangMember(f"worker-{index}", f"{index:016x}")
            for index in range(members)
        ),
        needs=Resources(accelerators=8, cores=30.0, memory_gib=128.0),
        command="render",
    )


def start_once(plan: GangPlan) -> tuple[list[object], int]:
    """Start a gang and return its messages and the writes."""
    book_by_id = {
        member.endpoint_id: ReservationBook(member.incarnation, plan.needs)
        for member in plan.members
    }
    gang = Gang(plan, GangTimeouts())
    effects: list[GangEffect] = gang.begin(0.0)
    messages: list[object] = []
    writes = 0
    while effects:
        following: list[GangEffect] = []
        for effect in effects:
            if isinstance(effect, WriteDecision):
                writes += 1
                following += gang.decision_written(WriteStatus.OK, 0.0)
            elif isinstance(effect, Send):
                book = book_by_id[effect.endpoint_id]
                reply = book.handle(effect.command, 0.0).reply
                messages += [effect.command, reply]
                following += gang.answered(
                    effect.member, effect.command, reply, 0.0
                )
        effects = following
    if gang.phase is not GangPhase.RUNNING:
        raise RuntimeError(f"the gang is {gang.phase.value!r}, not running")
    return messages, writes


def frame_bytes(message: object) -> int:
    """Return the size of a message's sealed frame."""
    envelope = Envelope(
        message_id="0" * 16,
        reply_to="0" * 16,
        sender="tcp://10.0.0.1:7000",
        revision=1,
        message=message,
    )
    return len(CODEC.encode(envelope))


def measure(members: int) -> GangCost:
    """Return the cost of starting a gang of this size."""
    plan = make_plan(members)
    times_ns = []
    for _ in range(REPEATS):
        begun_ns = perf_counter_ns()
        messages, writes = start_once(plan)
        times_ns.append(perf_counter_ns() - begun_ns)
    return GangCost(
        members=members,
        messages=len(messages),
        frame_bytes=sum(map(frame_bytes, messages)),
        pure_us=round(median(times_ns) / 1000, 1),
        decision_writes=writes,
    )


def main() -> None:
    """Print the table and write the results."""
    costs = [measure(members) for members in MEMBER_COUNTS]
    print(
        f"{'members':>8}{'messages':>10}{'bytes':>10}{'writes':>8}{'us':>10}"
    )
    for cost in costs:
        print(
            f"{cost.members:>8}{cost.messages:>10}{cost.frame_bytes:>10}"
            f"{cost.decision_writes:>8}{cost.pure_us:>10}"
        )
    rows = [attrs.asdict(cost) for cost in costs]
    RESULT_PATH.parent.mkdir(exist_ok=True)
    RESULT_PATH.write_text(dumps(rows, indent=2) + "\n")


if __name__ == "__main__":
    main()
