"""Scheduling policies: placement and preemption of jobs."""

from __future__ import annotations
