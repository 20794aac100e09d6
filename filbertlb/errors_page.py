"""Writes the page of all errors, ``docs/errors.md``.

Run as ``python -m filbertlb.errors_page``.
"""

from __future__ import annotations

import sys
from http import HTTPStatus
from importlib import import_module
from inspect import cleandoc
from pathlib import Path
from pkgutil import walk_packages
from typing import TYPE_CHECKING

import filbertlb
from filbertlb.errors import FilbertlbError

if TYPE_CHECKING:
    from collections.abc import Iterator

PAGE_PATH = Path("docs") / "errors.md"
PROGRAM = "__main__"
INTRODUCTION = """\
# Errors

Written from the classes by `python -m filbertlb.errors_page`.

Every failure of the HTTP interface has this body:

```json
{
  "error": {
    "code": "not_accepted",
    "message": "the job was not accepted: the table service is down",
    "ran": "no",
    "request_id": "5b0f7f6f0f9a3c1e",
    "retry_after_s": 2.0
  }
}
```

- `code` is stable. Programs act on it and on `ran`, people on `message`.
- `ran` tells whether the work ran: `no`, it did not and will not, and it
  is safe to send it again; `yes`, it ran; `unknown`, it may have run, so
  ask again with the same key. A failure that knows better than its class
  tells so; the table shows the class's default.
- `retry_after_s`, also in the header `Retry-After`, is there when a retry
  is worthwhile.
- `request_id` is in the logs of the entry and in the header
  `X-Request-Id`.

Codes of messages between processes, of settings and of the commands stand
here too; the status is then what the HTTP interface would answer.

| Code | Status | Ran | Meaning | Raised by |
|---|---|---|---|---|
"""


def error_classes() -> list[type[FilbertlbError]]:
    """Return all error classes of the package, by code and module."""
    for module in walk_packages(filbertlb.__path__, f"{filbertlb.__name__}."):
        if not module.name.endswith(PROGRAM):
            import_module(module.name)
    own = {
        cls
        for cls in _descendants(FilbertlbError)
        if cls.__module__.startswith(f"{filbertlb.__name__}.")
    }
    return sorted(own, key=lambda cls: (cls.code, cls.__module__))


def render_page() -> str:
    """Return the whole page as Markdown."""
    rows = [_row(cls) for cls in error_classes()]
    return INTRODUCTION + "\n".join(rows) + "\n"


def main() -> None:
    """Write the page below the working folder."""
    PAGE_PATH.write_text(render_page(), encoding="utf-8")
    sys.stdout.write(f"wrote {PAGE_PATH}\n")


def _descendants(cls: type[FilbertlbError]) -> Iterator[type[FilbertlbError]]:
    for child in cls.__subclasses__():
        yield child
        yield from _descendants(child)


def _row(cls: type[FilbertlbError]) -> str:
    status = HTTPStatus(cls.status)
    meaning = cleandoc(cls.__doc__ or "").splitlines()[0]
    module = cls.__module__.removeprefix(f"{filbertlb.__name__}.")
    cells = (
        f"`{cls.code}`",
        f"{status.value} {status.phrase}",
        cls.default_ran.value,
        meaning,
        f"`{module}`",
    )
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    main()
