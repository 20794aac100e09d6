"""Scheduler for multi-accelerator jobs under organisation guarantees."""

from __future__ import annotations

__version__ = "0.1.0"
