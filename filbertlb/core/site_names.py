"""Names in a site's configuration."""

from __future__ import annotations

NAME_PATTERN = r"[a-z0-9][a-z0-9-]*"
"""What names of sites, regions, scopes and organisations look like."""
