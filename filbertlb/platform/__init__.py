"""Adapter for the users' platform: message formats, settings and calls."""

from __future__ import annotations
