"""Timeout of calls to a server whose response time varies."""

from __future__ import annotations

import attrs

MARGIN = 2.0
"""Timeout as a multiple of the latest response time."""


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
    response_s : float
        Latest known response time.
    """

    shortest_s: float
    longest_s: float
    current_s: float = attrs.field(init=False)
    response_s: float = attrs.field(init=False, default=0.0)

    def __attrs_post_init__(self) -> None:
        """Begin with the shortest timeout."""
        self.current_s = self.shortest_s

    def on_answer(self, lowest_s: float, highest_s: float) -> None:
        """Follow the response time of a call that was answered.

        Parameters
        ----------
        lowest_s, highest_s : float
            What the response time can have been. They differ for a call that
            the server held back for a time that it does not tell.
        """
        self.response_s = min(highest_s, max(lowest_s, self.response_s))
        self.current_s = self._bounded(MARGIN * self.response_s)

    def on_timeout(self, timeout_s: float) -> None:
        """Wait longer than a call that was not answered in time.

        Calls in flight at the same time that fail together count once.
        """
        self.current_s = max(self.current_s, self._bounded(2.0 * timeout_s))

    def _bounded(self, timeout_s: float) -> float:
        return min(self.longest_s, max(self.shortest_s, timeout_s))
