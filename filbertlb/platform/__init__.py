"""Adapter to the users' platform: wire names, addresses and calls."""

from __future__ import annotations
