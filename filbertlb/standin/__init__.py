"""Small stand-ins for the platform and its endpoints."""

from __future__ import annotations
