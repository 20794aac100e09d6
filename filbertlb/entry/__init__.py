"""The entry role: accepts callers' requests and schedules jobs."""

from __future__ import annotations
