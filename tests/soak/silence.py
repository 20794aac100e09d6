"""Faults of machines without the store, and what overlaps with them."""

from __future__ import annotations

import signal
from contextlib import contextmanager
from functools import partial
from itertools import count
from random import Random
from time import monotonic

from gevent import sleep
from gevent import spawn
from gevent.event import Event

from filbertlb.batch.workers import DEAD_AFTER_S
from tests.soak.faults import Injector
from tests.soak.faults import kill_process
from tests.soak.faults import pause
from tests.soak.faults import restart_worker
from tests.soak.jobs import lasting_job
from tests.soak.jobs import long_job
from tests.soak.site import FEW_ATTEMPTS
from tests.soak.store_link import ALL_CALLS
from tests.soak.store_link import Outage
from tests.soak.store_link import READS
from tests.soak.store_link import WRITES

MAX_SILENT = 2
"""Machines without the store at a time."""
OUTAGE_S = (8.0, 20.0)
RETURN_S = (14.3, 15.5)
"""Time from the last stored report to a return around the bound."""
BURST_S = 2.2
"""Time for which a machine gets new orders that it cannot read."""
BURST_JOBS = 8
LASTING_JOBS = 4
FIRST_BURST_ID = 1 << 32
SLOW_FROM_S = DEAD_AFTER_S - 0.4
SLOW_FOR_S = 1.2
WRITE_DELAY_S = (0.2, 1.1)
PAUSE_S = (1.0, 8.0)
DECIDER_PAUSE_S = (0.3, 1.4)
LATE_SHARE = 0.1
LATEST_CALL_S = 6.0
REPORT_WAIT_S = 3.0
GIVE_UP_WAIT_S = 4.0
GIVE_UP_DELAY_S = (0.5, 1.1)
KINDS = (Outage.SILENT, *[Outage.BUSY, Outage.RESET] * 2)
"""A machine finds out sooner that the store serves it if calls fail."""
CALLS = (ALL_CALLS, ALL_CALLS, ALL_CALLS, READS, WRITES)

_burst_ids = count(FIRST_BURST_ID)


def return_around_the_bound(injector, site, random):
    """Cut a machine off until its agent is about to be given up.

    Orders are written for it meanwhile, and the decider is slow when it
    gives them up. Often the machine is soon cut off again.
    """
    number = _served_machine(site, random)
    if number is None:
        return
    kind, back_s = random.choice(KINDS), random.uniform(*RETURN_S)
    stays_s, again_s = random.uniform(0.1, 2.0), random.uniform(3.0, 10.0)
    again = random.random() < 0.7
    yield "store", number
    link = site.agents[number].store
    _wait_for_report(site, number)
    reported_s = monotonic()
    if not _may_cut_off(site):
        return
    link.cut(kind)
    spawn(_submit_burst, site, random)
    _sleep_until(reported_s + SLOW_FROM_S)
    if random.random() < 0.7:
        _wait_for_give_up(site, number, random)
    else:
        injector.launch(random.choice([slow_decider, pause_decider]), random)
        _sleep_until(reported_s + back_s)
    link.restore()
    if again:
        sleep(stays_s)
        link.cut(random.choice(list(Outage)))
        sleep(again_s)
        link.restore()


def cut_off(site, random):
    """Cut a machine off, at times only from reads or from writes."""
    number = _served_machine(site, random)
    if number is None:
        return
    yield "store", number
    link = site.agents[number].store
    link.cut(random.choice(list(Outage)), random.choice(CALLS))
    sleep(random.uniform(*OUTAGE_S))
    link.restore()


def slow_decider(site, random):
    """Delay the decider's transactions."""
    number = site.leader()
    if number is None:
        return
    yield "decider's store", number
    delay_s = random.uniform(*WRITE_DELAY_S)
    with _delayed(site.entries[number : number + 1], lambda _: delay_s):
        sleep(SLOW_FOR_S)


def pause_decider(site, random):
    """Stop the decider at a random time around the bound."""
    number = site.leader()
    if number is None:
        return
    yield "entry", number
    sleep(random.uniform(0.0, 0.8))
    pause(site.entries[number], random.uniform(*DECIDER_PAUSE_S))


def pause_agent(site, random):
    """Stop an agent several times, preferably one without the store."""
    number = _silent_machine(site, random)
    yield "agent", number
    for _ in range(random.randint(1, 3)):
        pause(site.agents[number], random.uniform(*PAUSE_S))
        sleep(random.uniform(0.0, 1.0))


def kill_agent(site, random):
    """Kill an agent, preferably one without the store; start it again."""
    number = _silent_machine(site, random)
    agent = site.agents[number]
    yield "agent", number
    agent.send(signal.SIGKILL)
    agent.wait()
    sleep(random.uniform(0.0, 4.0))
    agent.start()


def delay_calls(site, random):
    """Let a worker carry calls out late and without an answer."""
    number = _silent_machine(site, random)
    calls = site.machines[number].late_calls
    yield "calls", number
    calls.random = Random(random.random())
    calls.longest_s, calls.share = LATEST_CALL_S, LATE_SHARE
    sleep(random.uniform(2.0, 10.0))
    calls.share = 0.0


FAULTS = (
    cut_off,
    cut_off,
    pause_agent,
    pause_agent,
    kill_agent,
    kill_process,
    restart_worker,
    restart_worker,
    delay_calls,
)


def inject_silence(site, random, duration_s, period_s):
    """Inject the faults for some time.

    Outages around the bound come in every seed, the others in half
    of them. All faults are over at the end.
    """
    injector = Injector(site)
    _submit(site, random, lasting_job, LASTING_JOBS)
    fault = partial(return_around_the_bound, injector)
    others = random.random() < 0.5
    left_s = duration_s
    while left_s > 0:
        injector.launch(fault, random)
        if others:
            injector.launch(random.choice(FAULTS), random)
        pause_s = random.uniform(0.0, 2 * period_s)
        sleep(pause_s)
        left_s -= pause_s
    injector.wait()


@contextmanager
def _delayed(entries, delay):
    for entry in entries:
        entry.store.write_delays.append(delay)
    try:
        yield
    finally:
        for entry in entries:
            entry.store.write_delays.remove(delay)


def _wait_for_give_up(site, number, random):
    """Wait until the decider gives up a machine, and delay its write."""
    given_up = Event()
    delay_s = random.uniform(*GIVE_UP_DELAY_S)

    def delay(body):
        for row in body.get("puts", ()):
            table, key = row["table"], row["key"]
            if table.startswith("orders-") and key == f"agent-{number}":
                given_up.set()
                return delay_s
        return 0.0

    with _delayed(site.entries, delay):
        given_up.wait(GIVE_UP_WAIT_S)


def _may_cut_off(site):
    """Return whether one more machine may lose the store."""
    silent = sum(agent.store.outage is not None for agent in site.agents)
    return silent < MAX_SILENT


def _served_machine(site, random):
    """Return a machine with the store, or None if too many are without."""
    if not _may_cut_off(site):
        return None
    return random.choice(
        [
            number
            for number, agent in enumerate(site.agents)
            if agent.store.outage is None
        ]
    )


def _silent_machine(site, random):
    """Return a machine, mostly one without the store if there is any."""
    numbers = range(len(site.agents))
    silent = [number for number in numbers if site.agents[number].store.outage]
    if silent and random.random() < 0.7:
        return random.choice(silent)
    return random.choice(numbers)


def _wait_for_report(site, number):
    """Wait, for a limited time, until a machine's report is stored."""
    before = site.report(number)
    until_s = monotonic() + REPORT_WAIT_S
    while site.report(number) == before and monotonic() < until_s:
        sleep(0.005)


def _submit_burst(site, random):
    for _ in range(BURST_JOBS):
        _submit(site, random, long_job)
        sleep(BURST_S / BURST_JOBS)


def _submit(site, random, kind, number=1):
    for _ in range(number):
        entry = random.randrange(len(site.entries))
        job_id = f"{next(_burst_ids):016x}"
        spawn(site.submit, job_id, FEW_ATTEMPTS, kind(random), entry)


def _sleep_until(time_s):
    sleep(max(0.0, time_s - monotonic()))
