"""Roles as separate processes for tests."""

from __future__ import annotations

import json
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parent.parent


class Started:
    """One role in a process of its own.

    Parameters
    ----------
    process : subprocess.Popen
        The process.
    told : dict
        What it printed once it served.
    """

    def __init__(self, process: subprocess.Popen) -> None:
        self.process = process
        self.told: dict[str, Any] = json.loads(process.stdout.readline())

    def stop(self) -> int:
        """Ask it to stop and return its exit code."""
        self.process.terminate()
        return self.process.wait(30)


@contextmanager
def process(*arguments: str) -> Iterator[Started]:
    """Run a command until it has told that it serves; kill it at the end."""
    with subprocess.Popen(
        [sys.executable, "-m", "filbertlb", *arguments],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    ) as child:
        try:
            yield Started(child)
        finally:
            child.kill()


@contextmanager
def role(tmp_path: Path, name: str, **settings: Any) -> Iterator[Started]:
    """Run an entry or an agent with settings of its own."""
    path = tmp_path / f"{name}.json"
    path.write_text(json.dumps({"instance_id": name, **settings}))
    with process(settings["role"], "--settings", str(path)) as started:
        yield started
