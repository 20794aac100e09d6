"""Longest chains of run times through steps that need each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Sequence


def longest_chains_ms(
    before: Sequence[Collection[int]], run_ms: Callable[[int], int]
) -> dict[int, int]:
    """Return the time of the longest chain that ends with each step.

    Steps in a circle, and those after one, have no chain and are left out.

    Parameters
    ----------
    before : sequence of collection of int
        For each step, those that come before it.
    run_ms : callable
        Given the index of a step that has a chain, returns its run time.
    """
    chain_ms: dict[int, int] = {}
    for index in in_order(before):
        earlier_ms = (chain_ms[earlier] for earlier in before[index])
        chain_ms[index] = run_ms(index) + max((0, *earlier_ms))
    return chain_ms


def in_order(before: Sequence[Collection[int]]) -> list[int]:
    """Return steps in an order in which each follows those before it.

    Steps in a circle, and those after one, are left out.
    """
    later: dict[int, list[int]] = {}
    for index, earlier in enumerate(before):
        for number in earlier:
            later.setdefault(number, []).append(index)
    missing = [len(earlier) for earlier in before]
    ordered = [index for index, count in enumerate(missing) if not count]
    for index in ordered:
        for following in later.get(index, ()):
            missing[following] -= 1
            if not missing[following]:
                ordered.append(following)
    return ordered
