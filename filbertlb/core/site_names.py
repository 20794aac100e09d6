"""Syntax of names in the site configuration."""

from __future__ import annotations

NAME_PATTERN = r"[a-z0-9][a-z0-9-]*"
"""Pattern of site, region, scope, failure domain and organisation names."""
