from __future__ import annotations

from collections import Counter
from contextlib import suppress
from io import StringIO
from json import loads
from types import SimpleNamespace

import gevent
import pytest
from loguru import logger

from filbertlb.admission import Admission
from filbertlb.admission import AnswerBudget
from filbertlb.batch.standing_report import STAND_REASONS
from filbertlb.errors import FilbertlbError
from filbertlb.logs import LineBudget
from filbertlb.logs import log_context
from filbertlb.logs import logging_to
from filbertlb.logs import LogSettings
from filbertlb.metrics import metrics_of
from filbertlb.metrics_page import AdmissionSampler
from filbertlb.metrics_page import TransferSampler
from filbertlb.platform.entry_metrics import DeciderSampler
from filbertlb.transfers import Transfers

SECRET = "s3cr3t-value"
TOTALS = (
    *("lost_core_s", "failed_jobs", "run_ends", "late_ends", "failed_runs"),
)


def test_json_lines_carry_the_ids_of_their_greenlet():
    stream = StringIO()

    def work(job_id):
        with log_context(job_id=job_id, revision=3):
            gevent.sleep(0)
            logger.info("started {}", job_id)

    with logging_to(LogSettings(json_lines=True), stream):
        gevent.joinall([gevent.spawn(work, f"j{n}") for n in range(3)])
        logger.bind(request_id="r1").warning("late")
        logger.debug("not shown")
    logger.error("after the block")
    records = [loads(line) for line in stream.getvalue().splitlines()]
    assert [r.get("job_id") for r in records] == ["j0", "j1", "j2", None]
    assert records[0]["message"] == "started j0"
    assert records[0]["revision"] == 3
    assert records[3]["request_id"] == "r1"
    assert records[3]["level"] == "WARNING"


@pytest.mark.parametrize("json_lines", [True, False])
@pytest.mark.parametrize("name", ["token", "api_key", "Authorization", "key"])
def test_secrets_are_masked(json_lines, name):
    stream = StringIO()
    settings = LogSettings(level="DEBUG", json_lines=json_lines)
    with logging_to(settings, stream):
        logger.bind(**{name: SECRET}).info("header Bearer {}", SECRET)
        try:
            local = SECRET
            raise ValueError(f"Authorization: Bearer {local}")
        except ValueError:
            logger.exception("failed")
    assert "Traceback" in stream.getvalue()
    assert stream.getvalue().count("Bearer ***") >= 2
    assert SECRET not in stream.getvalue()


def test_metrics_of_two_roles_do_not_mix():
    with (
        metrics_of("entry", "e1") as entry,
        metrics_of("agent", "a1") as agent,
    ):
        entry.requests.add(2, {"organisation": "o", "code": "ok"})
        entry.request_s.record(0.3)
        entry.endpoints.set(4, {"role": "runner", "state": "up"})
        agent.requests.add(1, {"organisation": "o", "code": "ok"})
        lines = entry.render().decode().splitlines()
        other = agent.render().decode().splitlines()
    wanted = 'filbertlb_requests_total{code="ok",organisation="o"}'
    assert f"{wanted} 2.0" in lines
    assert f"{wanted} 1.0" in other
    assert 'filbertlb_request_seconds_bucket{le="0.5"} 1.0' in lines
    assert 'filbertlb_request_seconds_bucket{le="0.25"} 0.0' in lines
    assert 'filbertlb_endpoints{role="runner",state="up"} 4.0' in lines
    assert not any("request_seconds" in line for line in other)


def test_refusals_are_counters():
    """Guards against rates that a scraper cannot tell from a restart."""
    admission, answers = Admission(1000), AnswerBudget(1000, 1000)
    sampler = AdmissionSampler(admission, answers)
    with metrics_of("entry", "e1") as metrics:
        for _ in range(2):
            admission.count_refusal("server_busy", 0.0)
            answers.refused += 1
            sampler.sample(metrics)
            sampler.sample(metrics)
        lines = metrics.render().decode().splitlines()
    assert 'filbertlb_refusals_total{kind="server_busy"} 2.0' in lines
    assert "filbertlb_answers_refused_total 2.0" in lines
    assert "# TYPE filbertlb_refusals_total counter" in lines
    assert "# TYPE filbertlb_answers_refused_total counter" in lines


def test_standing_tasks_are_shown_by_reason():
    decider = SimpleNamespace(
        standing_tasks={"not_begun": 2},
        stands=Counter(not_begun=3),
        waiting_groups={},
        deciding=True,
        sample=lambda metrics: None,
        **dict.fromkeys(TOTALS, Counter()),
    )
    sampler = DeciderSampler(decider, "coast")
    with metrics_of("entry", "e1") as metrics:
        sampler.sample(metrics)
        shown = metrics.render().decode().splitlines()
        decider.standing_tasks = {}
        sampler.sample(metrics)
        shown_after = metrics.render().decode().splitlines()
    gauge = "filbertlb_standing_tasks"
    assert len([line for line in shown if f"{gauge}{{" in line]) == len(
        STAND_REASONS
    )
    assert f'{gauge}{{reason="not_begun"}} 2.0' in shown
    assert f'{gauge}{{reason="no_room"}} 0.0' in shown
    assert f'{gauge}{{reason="not_begun"}} 0.0' in shown_after
    assert 'filbertlb_stands_total{reason="not_begun"} 3.0' in shown_after


def test_reads_are_counted_by_call(lines):
    transfers = Transfers()
    sampler = TransferSampler(transfers)
    with metrics_of("entry", "e1") as metrics:
        with transfers.reading("feed", "op") as transfer:
            transfer.size_bytes = 70_000
            with suppress(FilbertlbError), transfers.reading("page", "op/"):
                raise FilbertlbError("no answer")
            sampler.sample(metrics)
            shown = metrics.render().decode().splitlines()
        sampler.sample(metrics)
        shown_after = metrics.render().decode().splitlines()
    assert 'filbertlb_reads_in_flight{call="feed"} 1.0' in shown
    assert 'filbertlb_failed_reads_total{call="page"} 1.0' in shown
    assert 'filbertlb_reads_in_flight{call="feed"} 0.0' in shown_after
    assert 'filbertlb_read_bytes_total{call="feed"} 70000.0' in shown_after
    assert [line.partition(" bytes")[0] for line in lines] == [
        "page of op/ failed: 0",
        "feed of op done: 70000",
    ]
    assert lines[0].endswith("also in flight {'feed': 1}")


def test_lines_over_the_budget_are_left_out_and_counted():
    budget = LineBudget(lines_per_s=2)
    assert [budget.admit(at_s) for at_s in (1.0, 1.1, 1.2, 1.9, 2.0)] == [
        *(True, True, False, False),
        True,
    ]
    assert budget.take_left_out() == 2
    assert budget.take_left_out() == 0


def test_a_reader_that_stalls_costs_lines_not_time():
    class Stalled(StringIO):
        full = True

        def write(self, text):
            if self.full:
                raise BlockingIOError
            return super().write(text)

    stream = Stalled()
    with logging_to(LogSettings(json_lines=True), stream):
        logger.info("one")
        stream.full = False
        logger.info("two")
    first, second = stream.getvalue().splitlines()
    assert first == '{"left_out_lines": 1}'
    assert "two" in second
