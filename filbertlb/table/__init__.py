"""Interface to the platform's table service and the data kept in it."""

from __future__ import annotations
