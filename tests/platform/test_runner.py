from __future__ import annotations

from json import dumps

import pytest

from filbertlb.batch.model import Run
from filbertlb.batch.worker_link import WorkerDownError
from filbertlb.batch.worker_link import WorkerSilentError
from filbertlb.core.clock import VirtualClock
from filbertlb.platform.runner import PlatformWorkerClient
from filbertlb.standin.wsgi import serving


def unhealthy(environ, start_response):
    start_response("503 -", [("Content-Length", "4")])
    return [b"busy"]


def query_runs(address):
    return PlatformWorkerClient(address, VirtualClock()).list_runs(
        1, 0, True, 0.0
    )


def test_unusable_reply_is_reported_with_its_reason():
    with (
        serving(unhealthy) as url,
        pytest.raises(WorkerSilentError, match=r"503.*busy") as raised,
    ):
        query_runs(url.removeprefix("http://"))
    assert not isinstance(raised.value, WorkerDownError)
    with pytest.raises(WorkerDownError, match="no connection"):
        query_runs("127.0.0.1:1")


GOOD_RUN = ["j.0.0.0", 1, "", 10, 0]
GOOD_END = [1, "k.0.0.0", 1, "done", ""]


@pytest.mark.parametrize(
    ("runs", "ends"),
    [
        ([GOOD_RUN, ["short"]], []),
        ([GOOD_RUN, ["j.0.0.1", "x", "", 10]], []),
        ([GOOD_RUN], [[2, "k.0.0.1", 1, "vanished", ""]]),
        ([GOOD_RUN], [["k.0.0.1"]]),
        ([GOOD_RUN], [[None, "k.0.0.1", 1, "done", ""]]),
    ],
)
def test_unreadable_entry_is_skipped_and_ends_no_run(runs, ends):
    body = dumps({"running": runs, "finished": [GOOD_END, *ends]}).encode()

    def listing(environ, start_response):
        start_response("200 -", [("Content-Length", str(len(body)))])
        return [body]

    with serving(listing) as url:
        found = query_runs(url.removeprefix("http://"))
    assert found.running == (Run("j.0.0.0", 1, "", 10),)
    assert [listed.end.task for listed in found.ends] == ["k.0.0.0"]
    assert not found.ends_complete
