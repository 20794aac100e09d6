"""Load-balancing policies with a common interface."""

from __future__ import annotations
