"""The agent role: the process beside each endpoint."""

from __future__ import annotations
