"""The platform's object store behind one narrow interface."""

from __future__ import annotations
