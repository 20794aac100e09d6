"""The agent role: a process that runs next to each endpoint."""

from __future__ import annotations
