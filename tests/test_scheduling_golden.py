from __future__ import annotations

from pathlib import Path

import pytest

from tests.scheduling_session import replay

GOLDEN = Path(__file__).parent / "golden"
SESSIONS = sorted(GOLDEN.glob("scheduling_*.jsonl"))


@pytest.mark.parametrize("path", SESSIONS, ids=lambda path: path.stem)
def test_golden_session(path):
    text = path.read_text()
    assert replay(text) == text


def test_sessions_are_found():
    assert len(SESSIONS) == 11
