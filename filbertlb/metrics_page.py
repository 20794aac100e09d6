"""Serves the metrics of one role as text.

The metrics library is loaded by the first call that needs it: it takes
as long to load, and as much memory, as the rest of a small process.
"""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from gevent import sleep
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence
    from typing import Any

    from opentelemetry.metrics import Counter as CounterInstrument

    from filbertlb.admission import Admission
    from filbertlb.admission import AnswerBudget
    from filbertlb.metrics import Metrics
    from filbertlb.table.contact import Contact
    from filbertlb.transfers import Transfers

LOAD_DELAY_S = 2.0


class Sampler(Protocol):
    """Sets metrics before they are shown."""

    def sample(self, metrics: Metrics) -> None:
        """Set the gauges, and add to the counters what is new."""
        ...


class GrowthSampler:
    """Adds to a counter what totals have grown by since the last sample.

    Parameters
    ----------
    attribute : str
        Attribute of the counter that tells the totals apart.
    """

    def __init__(self, attribute: str) -> None:
        self._attribute = attribute
        self._counted: dict[str, float] = {}

    def sample(
        self, counter: CounterInstrument, totals: Mapping[str, float]
    ) -> None:
        """Add the growth of each total."""
        for value, total in totals.items():
            growth = total - self._counted.get(value, 0)
            counter.add(growth, {self._attribute: value})
            self._counted[value] = total


class AdmissionSampler:
    """Shows a process's connections, what they hold, and its refusals."""

    def __init__(self, admission: Admission, answers: AnswerBudget) -> None:
        self._admission = admission
        self._answers = answers
        self._refusals = GrowthSampler("kind")
        self._counted_answers = 0

    def sample(self, metrics: Metrics) -> None:
        """Set the gauges, and add to the counters what is new."""
        admission, answers = self._admission, self._answers
        metrics.connections.set(len(admission.connections))
        metrics.held_bytes.set(admission.held_bytes)
        self._refusals.sample(metrics.refusals, admission.refusals)
        metrics.answer_bytes.set(answers.held_bytes)
        metrics.answers_refused.add(answers.refused - self._counted_answers)
        self._counted_answers = answers.refused


class ContactSampler:
    """Shows when the table service has answered last."""

    def __init__(self, contact: Contact) -> None:
        self._contact = contact

    def sample(self, metrics: Metrics) -> None:
        """Set the gauge."""
        metrics.contact_age_s.set(self._contact.age_s)


class TransferSampler:
    """Shows what a process reads from the table and from other entries."""

    def __init__(self, transfers: Transfers) -> None:
        self._transfers = transfers
        self._bytes = GrowthSampler("call")
        self._failed = GrowthSampler("call")

    def sample(self, metrics: Metrics) -> None:
        """Set the gauges, and add to the counters what is new."""
        transfers = self._transfers
        for kind, count in transfers.in_flight_by_kind.items():
            metrics.reads_in_flight.set(count, {"call": kind})
        self._bytes.sample(metrics.read_bytes, transfers.bytes_by_kind)
        self._failed.sample(metrics.failed_reads, transfers.failed_by_kind)


class MetricsPage:
    """Metrics of one role, loaded late.

    Parameters
    ----------
    role, instance_id : str
        Whose metrics they are.
    samplers : sequence of Sampler
        Set the metrics each time before they are shown.

    Attributes
    ----------
    metrics : Metrics, optional
        None until they are loaded; what happens before is not counted.
    """

    def __init__(
        self, role: str, instance_id: str, samplers: Sequence[Sampler]
    ) -> None:
        self.metrics: Metrics | None = None
        self._role = role
        self._instance_id = instance_id
        self._samplers = samplers

    def load_soon(self) -> None:
        """Load the metrics once the process serves."""
        sleep(LOAD_DELAY_S)
        self._loaded()

    def observe(self, code: str, spent_s: float) -> None:
        """Count an answer to a caller and its time in seconds."""
        if self.metrics is not None:
            self.metrics.requests.add(1, {"code": code})
            self.metrics.request_s.record(spent_s, {"code": code})

    def application(
        self, environ: Mapping[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a call with all values."""
        from filbertlb.metrics import METRICS_CONTENT_TYPE

        metrics = self._loaded()
        for sampler in self._samplers:
            sampler.sample(metrics)
        body = metrics.render()
        headers = [
            ("Content-Type", METRICS_CONTENT_TYPE),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]

    def _loaded(self) -> Metrics:
        if self.metrics is None:
            from filbertlb.metrics import Metrics

            self.metrics = Metrics(self._role, self._instance_id)
            logger.info("metrics of {} are counted", self._instance_id)
        return self.metrics
