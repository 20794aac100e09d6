"""Decision logic without I/O, and the data model that it works on."""

from __future__ import annotations
