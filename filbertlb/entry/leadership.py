"""Leader election: acquires and renews the lease of one scope."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from gevent import sleep
from gevent import spawn
from loguru import logger

from filbertlb.entry.events import LeaseAcquired
from filbertlb.entry.events import LeaseLost
from filbertlb.errors import FilbertlbError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from filbertlb.core.clock import Clock
    from filbertlb.core.lease import Lease
    from filbertlb.table.lease import LeaseManager
    from filbertlb.tasks import Mailbox

MIN_SLEEP_S = 0.02


def _campaign(
    keeper: LeaseManager,
    mailbox: Mailbox,
    clock: Clock,
    delay_s: Callable[[], float],
) -> None:
    lease: Lease | None = None
    while True:
        held = keeper.step(delay_s())
        if held is None and lease is not None:
            mailbox.post(LeaseLost())
        elif held is not None and (lease is None or held.epoch != lease.epoch):
            mailbox.post(LeaseAcquired(held))
        lease = held
        sleep_s = keeper.next_due_s(delay_s()) - clock.monotonic()
        sleep(max(MIN_SLEEP_S, sleep_s))


@contextmanager
def leader_election(
    keeper: LeaseManager,
    mailbox: Mailbox,
    clock: Clock,
    delay_s: Callable[[], float],
    may_release: Callable[[], bool],
) -> Iterator[None]:
    """Acquire and renew the lease while the block runs; release it after.

    Parameters
    ----------
    keeper : LeaseKeeper
        The lease of the scope.
    mailbox : Mailbox
        The decider's mailbox; receives ``Elected`` and ``Deposed``.
    delay_s : callable
        Returns how long to wait before taking a free lease, in seconds,
        so that preferred entries can take it first.
    may_release : callable
        Returns whether to release the lease at the end. If not, the
        lease is left to expire.
    """
    task = spawn(_campaign, keeper, mailbox, clock, delay_s)
    try:
        yield
    finally:
        task.kill()
        if may_release():
            _release_lease(keeper)


def _release_lease(keeper: LeaseManager) -> None:
    if keeper.held() is None:
        return
    try:
        keeper.release()
    except FilbertlbError as error:
        logger.warning(
            "failed to release the lease, it will expire: {}", error.message
        )
