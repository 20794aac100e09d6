"""Structured logs of a process.

Every record carries the ids bound by :func:`log_context`, and secrets
are masked before they reach a sink.
"""

from __future__ import annotations

import sys
from contextlib import contextmanager
from contextlib import suppress
from re import compile as compile_pattern
from re import IGNORECASE
from traceback import format_exception
from typing import TYPE_CHECKING

import attrs
from attrs.validators import in_
from loguru import logger
from msgspec.json import encode

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import TextIO

    from loguru import Message
    from loguru import Record

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
MASK = "***"

LINES_PER_S = 400
"""Lines a second that a process writes at most; a day's peak is 60."""

_DEFAULT_HANDLER_ID = 0
_SECRET_NAME = compile_pattern(
    r"secret|password|authorization|api_?key|(^|_)(key|token)$", IGNORECASE
)
_SECRET_TEXT = compile_pattern(r"(?i)\b(bearer\s+)[^\s'\",]+")


@attrs.frozen
class LogSettings:
    """How a process logs.

    Parameters
    ----------
    level : str
        Least level that is logged.
    json_lines : bool
        One JSON object a line, for programs, in place of text.
    """

    level: str = attrs.field(default="INFO", validator=in_(LEVELS))
    json_lines: bool = False


@attrs.define
class LineBudget:
    """Bounds the lines of each second and counts what it leaves out."""

    lines_per_s: int = LINES_PER_S
    _second: int = -1
    _written: int = 0
    _left_out: int = 0

    def admit(self, now_s: float) -> bool:
        """Tell whether a line may be written now."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._written = 0
        self._written += 1
        if self._written > self.lines_per_s:
            self._left_out += 1
            return False
        return True

    def lost(self) -> None:
        """Count a line that the reader was too slow for."""
        self._left_out += 1

    def take_left_out(self) -> int:
        """Return how many lines were left out, and count anew."""
        left_out, self._left_out = self._left_out, 0
        return left_out


@contextmanager
def logging_to(
    settings: LogSettings, stream: TextIO | None = None
) -> Iterator[None]:
    """Write the process's records to a stream while the block runs.

    Parameters
    ----------
    stream : TextIO, optional
        Standard error if not given.
    """
    out = sys.stderr if stream is None else stream
    line = _json_line if settings.json_lines else _text_line

    budget = LineBudget()

    def write(message: Message) -> None:
        record = message.record
        if not budget.admit(record["time"].timestamp()):
            return
        left_out = budget.take_left_out()
        try:
            if left_out:
                out.write(f'{{"left_out_lines": {left_out}}}\n')
            out.write(line(record) + "\n")
            out.flush()
        except BlockingIOError:
            budget.lost()

    with suppress(ValueError):
        logger.remove(_DEFAULT_HANDLER_ID)
    # Values of variables in tracebacks could show secrets.
    handler_id = logger.add(
        write, level=settings.level, format="{message}", diagnose=False
    )
    try:
        yield
    finally:
        logger.remove(handler_id)


@contextmanager
def log_context(
    *,
    request_id: str = "",
    job_id: str = "",
    endpoint_id: str = "",
    entry_id: str = "",
    revision: int | None = None,
) -> Iterator[None]:
    """Bind ids to all records of this greenlet while the block runs."""
    ids = {
        "request_id": request_id,
        "job_id": job_id,
        "endpoint_id": endpoint_id,
        "entry_id": entry_id,
        "revision": revision,
    }
    bound = {
        name: value for name, value in ids.items() if value not in ("", None)
    }
    with logger.contextualize(**bound):
        yield


def masked(text: str) -> str:
    """Return a text without the credentials that it quotes."""
    return _SECRET_TEXT.sub(rf"\g<1>{MASK}", text)


def _fields(record: Record) -> dict[str, object]:
    fields: dict[str, object] = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": masked(record["message"]),
    }
    for name, value in record["extra"].items():
        fields[name] = MASK if _SECRET_NAME.search(name) else value
    exception = record["exception"]
    if exception is not None:
        fields["exception"] = masked(repr(exception.value))
        fields["traceback"] = masked("".join(format_exception(*exception)))
    return fields


def _json_line(record: Record) -> str:
    return encode(_fields(record), enc_hook=str).decode()


def _text_line(record: Record) -> str:
    fields = _fields(record)
    head = f"{fields.pop('time')} {fields.pop('level'):<7}"
    message = fields.pop("message")
    trace = fields.pop("traceback", "")
    ids = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"{head} {message} {ids}\n{trace}".rstrip()
