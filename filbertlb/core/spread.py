"""Distribution of the decider role over the entries."""

from __future__ import annotations

from functools import partial
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

RANK_DELAY_S = 0.5
"""Additional wait of a challenger for each rank, in seconds."""


def rank_entries(
    scopes: Iterable[str], entry_ids: Iterable[str]
) -> dict[str, tuple[str, ...]]:
    """Rank the entries for each scope so that deciders are balanced.

    The entries are ranked by rendezvous hashing. The first rank then goes
    to the highest-ranked entry among those that have the fewest first
    ranks so far.

    Parameters
    ----------
    scopes : iterable of str
        All scopes.
    entry_ids : iterable of str
        Live entries.

    Returns
    -------
    dict
        Entries by scope, in order of preference.
    """
    entries = sorted(entry_ids)
    first_count_by_id = dict.fromkeys(entries, 0)
    ranked_by_scope: dict[str, tuple[str, ...]] = {}
    for scope in sorted(scopes):
        ranked = sorted(entries, key=partial(_rendezvous_hash, scope))
        if ranked:
            first = min(ranked, key=first_count_by_id.__getitem__)
            first_count_by_id[first] += 1
            ranked.remove(first)
            ranked.insert(0, first)
        ranked_by_scope[scope] = tuple(ranked)
    return ranked_by_scope


def takeover_delay_s(ranked_ids: Sequence[str], holder_id: str) -> float:
    """Return how long a challenger waits for its rank, in seconds."""
    if holder_id not in ranked_ids:
        return len(ranked_ids) * RANK_DELAY_S
    return ranked_ids.index(holder_id) * RANK_DELAY_S


def _rendezvous_hash(scope: str, entry_id: str) -> bytes:
    return blake2b(f"{scope}/{entry_id}".encode(), digest_size=8).digest()
