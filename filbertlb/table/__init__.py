"""The platform's table service behind one narrow interface."""

from __future__ import annotations
