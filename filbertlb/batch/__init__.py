"""Multi-step jobs that a site's workers run under leases."""

from __future__ import annotations
