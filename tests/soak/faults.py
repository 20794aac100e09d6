"""Faults of the soak, which come in series and overlap."""

from __future__ import annotations

import signal
from contextlib import contextmanager
from random import Random
from time import monotonic

import attrs
from gevent import sleep
from gevent import spawn
from loguru import logger

MAX_STRIKE_DELAY_S = 0.15
MAX_DECISION_S = 0.5
STRIKES_ALONE_S = 6.0


def restart_worker(site, random):
    """Crash a worker; the next incarnation announces itself late."""
    number = random.randrange(len(site.machines))
    machine = site.machines[number]
    down_s, silent_s = random.uniform(0.02, 1.5), random.uniform(0.0, 1.0)
    yield "worker", number
    machine.end()
    sleep(down_s)
    machine.boot(silent_s)


def restart_worker_at_its_next_start(site, random):
    """Crash a worker as it gets a start, which stays without an answer."""
    number = random.randrange(len(site.machines))
    machine = site.machines[number]
    down_s, silent_s = random.uniform(0.02, 0.6), random.uniform(0.0, 1.0)
    yield "worker", number
    started = []
    machine.worker.on_start = lambda: started.append(True)
    for _ in range(100):
        if started:
            break
        sleep(0.02)
    machine.end()
    sleep(down_s)
    machine.boot(silent_s)


def replace_worker(site, random):
    """Let a worker leave; its deregistration may be late or unanswered."""
    number = random.randrange(len(site.machines))
    machine = site.machines[number]
    drain_s, works_on_s = random.uniform(0.2, 1.5), random.uniform(0.0, 2.0)
    delay_s = random.choice([0.0, random.uniform(0.0, 4.0)])
    down_s, silent_s = random.uniform(0.05, 1.5), random.uniform(0.0, 0.6)
    yield "worker", number
    machine.leave(drain_s, delay_s, works_on_s)
    sleep(down_s)
    machine.boot(silent_s)


def kill_process(site, random):
    """Kill a process and start it again."""
    number, process = _any_process(site, random)
    down_s = random.uniform(0.0, 1.0)
    yield process.role, number
    _kill(process, down_s)


def pause_process(site, random):
    """Stop a process for a while."""
    number, process = _any_process(site, random)
    paused_s = random.uniform(0.3, 3.5)
    yield process.role, number
    pause(process, paused_s)


def replace_entry(site, random):
    """Stop an entry as planned and start it again."""
    number = random.randrange(len(site.entries))
    process = site.entries[number]
    yield process.role, number
    process.send(signal.SIGTERM)
    process.wait()
    process.start()


def strike_decider(site, random):
    """Kill or pause the decider between two ends of one run."""
    number = site.leader()
    if number is None:
        return
    process = site.entries[number]
    strike, time_s = random.choice(
        [(_kill, random.uniform(0.0, 1.0)), (pause, random.uniform(0.3, 3.5))]
    )
    delay_s = random.uniform(0.0, MAX_STRIKE_DELAY_S)
    yield process.role, number
    sleep(delay_s)
    strike(process, time_s)


def strike_decider_between_reports(site, random):
    """Kill or pause the decider once it knows one worker's ends of a run."""
    number = site.leader()
    if number is None:
        return
    process = site.entries[number]
    number_sent, strike, time_s = random.choice(
        [
            (signal.SIGKILL, _kill, random.uniform(0.0, 1.0)),
            (signal.SIGSTOP, pause, random.uniform(0.3, 3.5)),
        ]
    )
    job_id, instance_id = site.history.first_failed
    yield process.role, number
    with _other_agents_stopped(site, instance_id):
        _wait_for_decision(site, job_id)
        process.send(number_sent)
    strike(process, time_s)


FAULTS = (
    restart_worker,
    restart_worker_at_its_next_start,
    replace_worker,
    replace_worker,
    kill_process,
    pause_process,
    replace_entry,
)
STRIKES = (strike_decider, strike_decider_between_reports)


def _kill(process, down_s):
    process.send(signal.SIGKILL)
    process.wait()
    sleep(down_s)
    process.start()


def pause(process, paused_s):
    """Stop a process for a while."""
    process.send(signal.SIGSTOP)
    sleep(paused_s)
    process.send(signal.SIGCONT)


@contextmanager
def _other_agents_stopped(site, instance_id):
    """Let only the agent of one worker report."""
    others = [
        agent
        for agent, machine in zip(site.agents, site.machines, strict=True)
        if machine.worker.instance_id != instance_id
    ]
    for agent in others:
        agent.send(signal.SIGSTOP)
    try:
        yield
    finally:
        for agent in others:
            agent.send(signal.SIGCONT)


def _wait_for_decision(site, job_id):
    """Wait, for a limited time, until a decision on a job is written."""
    before = site.progress(job_id)
    until_s = monotonic() + MAX_DECISION_S
    while site.progress(job_id) == before and monotonic() < until_s:
        sleep(0.005)


def _any_process(site, random):
    group = random.choice([site.entries, site.agents])
    number = random.randrange(len(group))
    return number, group[number]


@attrs.define
class Injector:
    """Runs faults that overlap; one target has one fault at a time."""

    site: object
    _busy: set = attrs.Factory(set)
    _tasks: list = attrs.Factory(list)

    def launch(self, fault, random):
        running = fault(self.site, random)
        target = next(running, None)
        if target is not None and target not in self._busy:
            self._busy.add(target)
            self._tasks.append(spawn(self._run, running, target))

    def strike_deciders(self, random):
        """Strike the decider whenever the first of several members fails."""
        failed = self.site.history.on_failed
        while True:
            failed.wait()
            failed.clear()
            self.launch(random.choice(STRIKES), random)

    def wait(self):
        """Wait until all faults are over."""
        for task in self._tasks:
            task.get()

    def _run(self, running, target):
        logger.info("{:.2f} {} begins on {}", monotonic(), running, target)
        try:
            for _ in running:
                pass
        finally:
            logger.info("{:.2f} {} is over", monotonic(), running)
            self._busy.discard(target)


def inject(site, random, duration_s, period_s):
    """Inject faults for some time, then strike deciders alone.

    All faults are over at the end.
    """
    injector = Injector(site)
    strikes = spawn(injector.strike_deciders, Random(random.random()))
    left_s = duration_s
    while left_s > 0:
        injector.launch(random.choice(FAULTS), random)
        pause_s = random.uniform(0.0, 2 * period_s)
        sleep(pause_s)
        left_s -= pause_s
    sleep(STRIKES_ALONE_S)
    strikes.kill()
    injector.wait()
