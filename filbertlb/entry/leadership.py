"""Keeps or seeks the lease of one scope and tells the decider."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from gevent import sleep
from gevent import spawn
from loguru import logger

from filbertlb.entry.events import Deposed
from filbertlb.entry.events import Elected
from filbertlb.errors import FilbertlbError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from filbertlb.core.clock import Clock
    from filbertlb.core.lease import Lease
    from filbertlb.table.lease import LeaseManager
    from filbertlb.tasks import Mailbox

SHORTEST_NAP_S = 0.02


def _lead(
    keeper: LeaseManager,
    mailbox: Mailbox,
    clock: Clock,
    delay_s: Callable[[], float],
) -> None:
    lease: Lease | None = None
    while True:
        held = keeper.step(delay_s())
        if held is None and lease is not None:
            mailbox.post(Deposed())
        elif held is not None and (lease is None or held.epoch != lease.epoch):
            mailbox.post(Elected(held))
        lease = held
        nap_s = keeper.next_due_s(delay_s()) - clock.monotonic()
        sleep(max(SHORTEST_NAP_S, nap_s))


@contextmanager
def leading(
    keeper: LeaseManager,
    mailbox: Mailbox,
    clock: Clock,
    delay_s: Callable[[], float],
    may_release: Callable[[], bool],
) -> Iterator[None]:
    """Seek the lease while the block runs and give it up at its end.

    Parameters
    ----------
    keeper : LeaseManager
        The lease of the scope.
    mailbox : Mailbox
        The decider's mailbox; takes ``Elected`` and ``Deposed``.
    delay_s : callable
        Returns the time that is left to preferred entries, in seconds.
    may_release : callable
        Tells whether the lease is given up at the end; it lapses if
        not.
    """
    task = spawn(_lead, keeper, mailbox, clock, delay_s)
    try:
        yield
    finally:
        task.kill()
        if may_release():
            _release(keeper)


def _release(keeper: LeaseManager) -> None:
    if keeper.held() is None:
        return
    try:
        keeper.release()
    except FilbertlbError as error:
        logger.warning("lease not given up, it lapses: {}", error.message)
