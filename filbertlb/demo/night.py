"""A sample night: what arrives, and what became of it."""

from __future__ import annotations

import json
from random import Random
from typing import Any
from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from gevent.pool import Pool

from filbertlb.client import AnswerLostError
from filbertlb.client import CallFailedError
from filbertlb.client import ServerNotReachedError
from filbertlb.core.model import Adjacency
from filbertlb.core.model import JobClass
from filbertlb.errors import FilbertlbError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from filbertlb.client import Client
    from filbertlb.demo.plant import Plant

CALLERS = 200
CANCEL_SHARE = 0.15
CANCEL_WITHIN_S = 0.4
JOB_WAIT_S = 20.0
TRIES = 40
RETRY_S = 0.25
FINAL_STATES = ("succeeded", "failed", "cancelled")


@attrs.frozen
class JobArrival:
    """One job of the night.

    Parameters
    ----------
    at_s : float
        Time of submission from the start, in seconds.
    cancel_after_s : float, optional
        Time after which the caller gives it up, in seconds.
    """

    at_s: float
    key: str
    organisation_id: str
    members: int
    accelerators: int
    job_class: JobClass
    run_s: float
    idempotent: bool
    cancel_after_s: float | None = None


@attrs.frozen
class RequestArrival:
    """One request of the night."""

    at_s: float
    key: str
    organisation_id: str
    run_s: float
    idempotent: bool
    urgent: bool


@attrs.define
class Told:
    """What a caller was told last about its work.

    Parameters
    ----------
    state : str
        Final state of a job, or ``answered``, ``not_run`` or
        ``unknown`` for a request.
    ran : str
        What the caller was told about its start.
    """

    arrival: JobArrival | RequestArrival
    state: str = "not_accepted"
    ran: str = "no"
    job_id: str = ""
    answer_key: str = ""
    done_at_s: float = 0.0


def make_night(
    organisations: Sequence[str],
    seed: int,
    jobs: int,
    requests: int,
    length_s: float,
) -> tuple[list[JobArrival], list[RequestArrival]]:
    """Return the seeded arrivals of a night of ``length_s`` seconds."""
    rng = Random(seed)
    job_arrivals = [
        _job(rng, f"job-{number}", rng.choice(organisations), length_s)
        for number in range(jobs)
    ]
    request_arrivals = [
        _request(rng, f"request-{number}", rng.choice(organisations), length_s)
        for number in range(requests)
    ]
    return job_arrivals, request_arrivals


def _job(
    rng: Random, key: str, organisation_id: str, length_s: float
) -> JobArrival:
    members, accelerators, job_class = rng.choice(
        (
            (1, 1, JobClass.PREVIEW),
            (1, 2, JobClass.ARCHIVAL),
            (1, 1, JobClass.URGENT),
            (2, 4, JobClass.ARCHIVAL),
            (3, 8, JobClass.GANG),
        )
    )
    gives_up = rng.random() < CANCEL_SHARE
    cancel_after_s = rng.uniform(0, CANCEL_WITHIN_S) if gives_up else None
    return JobArrival(
        at_s=rng.uniform(0, length_s),
        key=key,
        organisation_id=organisation_id,
        members=members,
        accelerators=accelerators,
        job_class=job_class,
        run_s=rng.expovariate(2.0),
        idempotent=rng.random() < 0.7,
        cancel_after_s=cancel_after_s,
    )


def _request(
    rng: Random, key: str, organisation_id: str, length_s: float
) -> RequestArrival:
    return RequestArrival(
        at_s=rng.uniform(0, length_s),
        key=key,
        organisation_id=organisation_id,
        run_s=rng.expovariate(20.0),
        idempotent=rng.random() < 0.6,
        urgent=rng.random() < 0.2,
    )


class Night:
    """Plays arrivals against a plant as its callers would.

    Parameters
    ----------
    plant : Plant
        The site.
    progress : callable
        Takes what a caller was told in the end.
    """

    def __init__(self, plant: Plant, progress: Callable[[Told], None]) -> None:
        self._plant = plant
        self._progress = progress
        self._pool = Pool(CALLERS)
        self._started_s = plant.clock.monotonic()

    def play(
        self, jobs: Sequence[JobArrival], requests: Sequence[RequestArrival]
    ) -> list[Told]:
        """Play all arrivals and return what their callers were told."""
        arrivals: list[JobArrival | RequestArrival] = [*jobs, *requests]
        told = [Told(arrival) for arrival in arrivals]
        for one in sorted(told, key=lambda item: item.arrival.at_s):
            self._wait_until(one.arrival.at_s)
            self._pool.spawn(self._call, one)
        self._pool.join()
        return told

    def _wait_until(self, at_s: float) -> None:
        sleep(max(0.0, self._started_s + at_s - self._plant.clock.monotonic()))

    def _call(self, told: Told) -> None:
        if isinstance(told.arrival, JobArrival):
            self._run_job(told, told.arrival)
        else:
            self._run_request(told, told.arrival)
        told.done_at_s = self._plant.clock.monotonic() - self._started_s
        self._progress(told)

    def _persist(
        self, organisation_id: str, call: Callable[[Client], Any]
    ) -> Any:
        """Call through the balancer until an entry answers."""
        for attempt in range(TRIES):
            client = self._plant.client(organisation_id, attempt)
            try:
                return call(client)
            except (ServerNotReachedError, AnswerLostError):
                sleep(RETRY_S)
            except CallFailedError as error:
                if error.http_status < 500:
                    raise
                sleep(RETRY_S)
            finally:
                client.close()
        return None

    def _run_job(self, told: Told, arrival: JobArrival) -> None:
        body = _job_body(arrival)
        organisation_id = arrival.organisation_id
        try:
            found = self._persist(
                organisation_id,
                lambda client: client.submit_job(body, arrival.key),
            )
            if found is None:
                return
            told.job_id = found["job_id"]
            if arrival.cancel_after_s is not None:
                sleep(arrival.cancel_after_s)
                self._persist(
                    organisation_id,
                    lambda client: client.cancel_job(told.job_id),
                )
            self._follow(told, organisation_id)
        except FilbertlbError as error:
            told.state = error.code

    def _follow(self, told: Told, organisation_id: str) -> None:
        for _ in range(TRIES):
            found = self._persist(
                organisation_id,
                lambda client: client.job(told.job_id, JOB_WAIT_S),
            )
            if found is None:
                return
            told.state = found["state"]
            told.ran = found["ran"]
            if told.state in FINAL_STATES:
                return

    def _run_request(self, told: Told, arrival: RequestArrival) -> None:
        body = _command(arrival.key, arrival.run_s).encode()
        for attempt in range(TRIES):
            client = self._plant.client(arrival.organisation_id, attempt)
            try:
                answer = client.invoke(
                    "preview",
                    body,
                    key=arrival.key,
                    idempotent=arrival.idempotent,
                    urgent=arrival.urgent,
                )
                value = answer.json()
            except (ServerNotReachedError, AnswerLostError):
                sleep(RETRY_S)
                continue
            finally:
                client.close()
            if answer.status == 200:
                told.state = "answered"
                told.ran = "yes"
                told.answer_key = value["key"]
                return
            told.ran = value.get("error", {}).get("ran", "unknown")
            told.state = "not_run" if told.ran == "no" else "unknown"
            sleep(RETRY_S)


def _job_body(arrival: JobArrival) -> dict[str, Any]:
    each = {
        "accelerators": arrival.accelerators,
        "cores": float(arrival.accelerators),
        "memory_gib": 4.0 * arrival.accelerators,
    }
    return {
        "shape": {
            "members": arrival.members,
            "each": each,
            "adjacency": Adjacency.RACK.value,
        },
        "job_class": arrival.job_class.value,
        "idempotent": arrival.idempotent,
        "command": _command(arrival.key, arrival.run_s),
    }


def _command(key: str, run_s: float) -> str:
    return json.dumps({"run_s": round(run_s, 3), "key": key, "result": key})
