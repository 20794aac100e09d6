"""Replay of recorded sessions against the scheduler."""

from __future__ import annotations

import json

import msgspec

from filbertlb.core.model import JobSpec
from filbertlb.core.model import Organisation
from filbertlb.core.model import Resources
from filbertlb.core.model import Worker
from filbertlb.core.scheduling import RunEnd
from filbertlb.core.scheduling import StartJob
from filbertlb.errors import FilbertlbError
from filbertlb.scheduling.config import SchedulerConfig
from filbertlb.scheduling.guaranteed import GuaranteedScheduler

MAX_CALLS = 100


class Session:
    """Scheduler under test; each input line yields output lines."""

    def __init__(self):
        self.policy = GuaranteedScheduler()

    def execute(self, line):
        """Run the command of one input line and return the output lines."""
        name, value, now_s = line["do"], line.get("with"), line["at_s"]
        try:
            return list(getattr(self, f"_{name}")(value, now_s))
        except FilbertlbError as error:
            return [{"error": error.code}]

    def _configure(self, value, now_s):
        config = msgspec.convert(value, SchedulerConfig)
        self.policy = GuaranteedScheduler(config)
        return ()

    def _workers(self, value, now_s):
        for worker in msgspec.convert(value, list[Worker]):
            self.policy.add_worker(worker, now_s)
        return ()

    def _lose(self, value, now_s):
        jobs = [self.policy.remove_worker(name, now_s) for name in value]
        yield {"lost": sorted({job_id for one in jobs for job_id in one})}

    def _organisations(self, value, now_s):
        items = msgspec.convert(value, list[Organisation])
        self.policy.set_organisations(items, now_s)
        return ()

    def _submit(self, value, now_s):
        for job in msgspec.convert(value, list[JobSpec]):
            self.policy.submit(job, now_s)
        return ()

    def _cancel(self, value, now_s):
        yield {"cancelled": self.policy.cancel(value, now_s)}

    def _ended(self, value, now_s):
        for run_end in msgspec.convert(value, list[RunEnd]):
            self.policy.ended(run_end, now_s)
        return ()

    def _usage(self, value, now_s):
        each = msgspec.convert(value["each"], Resources)
        self.policy.report_usage(value["job_id"], each, now_s)
        return ()

    def _why(self, value, now_s):
        yield {"why": [self.policy.why(name, now_s) for name in value]}

    def _risks(self, value, now_s):
        yield {"risks": msgspec.to_builtins(self.policy.risks())}

    def _decide(self, value, now_s):
        for _ in range(MAX_CALLS):
            decisions = self.policy.decide(now_s)
            if not decisions:
                return
            for decision in decisions:
                kind = "start" if isinstance(decision, StartJob) else "stop"
                yield {kind: msgspec.to_builtins(decision)}
        raise AssertionError("decisions left after the last allowed call")


def replay(text):
    """Return the text of a session with its output generated again."""
    session = Session()
    lines = []
    for raw in text.splitlines():
        line = json.loads(raw)
        if "do" in line:
            lines.append(raw)
            answers = session.execute(line)
            lines += [json.dumps(item, sort_keys=True) for item in answers]
    return "\n".join(lines) + "\n"
