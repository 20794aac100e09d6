"""Record of what was sent, answered and run in one case."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Lines with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w")

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")
            self._file.flush()
