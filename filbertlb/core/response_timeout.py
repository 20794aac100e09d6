"""Timeout of calls to a server whose response time varies."""

from __future__ import annotations

import attrs

MARGIN = 2.0
"""Timeout as a multiple of the latest response time."""
DECAY = 0.75
"""Least share of a timeout that is left after an answer."""


@attrs.define
class ResponseTimeout:
    """Timeout that follows the response time of a server.

    A timeout below the response time of a slow server would fail every call
    to it, though each is answered; a long one finds a silent connection
    late.

    Parameters
    ----------
    shortest_s, longest_s : float
        Bounds of the timeout.

    Attributes
    ----------
    current_s : float
        Timeout of the next call.
    """

    shortest_s: float
    longest_s: float
    current_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin with the shortest timeout."""
        self.current_s = self.shortest_s

    def on_answer(self, response_s: float) -> None:
        """Follow the response time of a call that was answered."""
        wanted_s = max(MARGIN * response_s, DECAY * self.current_s)
        self.current_s = self._bounded(wanted_s)

    def on_timeout(self, timeout_s: float) -> None:
        """Wait longer than a call that was not answered in time.

        Calls in flight at the same time that fail together count once.
        """
        self.current_s = max(self.current_s, self._bounded(2.0 * timeout_s))

    def _bounded(self, timeout_s: float) -> float:
        return min(self.longest_s, max(self.shortest_s, timeout_s))
