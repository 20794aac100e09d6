"""Checked settings of a process."""

from __future__ import annotations
