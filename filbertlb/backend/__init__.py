"""Runners and workers behind one narrow interface each."""

from __future__ import annotations
