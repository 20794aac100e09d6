"""Endpoint choice policies behind one narrow interface."""

from __future__ import annotations
