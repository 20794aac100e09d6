"""Jobs of several steps that a site's workers run under leases."""

from __future__ import annotations
