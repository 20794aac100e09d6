from __future__ import annotations

import pytest

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
        pytest.raises(WorkerSilentError, match=r"503.*busy"),
    ):
        query_runs(url.removeprefix("http://"))
    with pytest.raises(WorkerSilentError, match="no connection"):
        query_runs("127.0.0.1:1")
