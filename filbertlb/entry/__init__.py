"""The entry role: callers' front door and decider."""

from __future__ import annotations
