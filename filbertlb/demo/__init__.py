"""A whole site in one process, for a first look and for tests."""

from __future__ import annotations
