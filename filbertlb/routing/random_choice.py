"""Uniform random routing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from filbertlb.routing.base import EndpointView


@attrs.define
class RandomChoice:
    """Ignores load, latency and failure domains."""

    def choose(
        self, endpoints: Sequence[EndpointView], rng: Random
    ) -> EndpointView | None:
        """Return a random endpoint, or None if there are none."""
        return rng.choice(endpoints) if endpoints else None
