from __future__ import annotations

from contextlib import contextmanager

import attrs
import pytest
from gevent import sleep
from gevent import Timeout

from filbertlb.standin.row_store import RowStore
from filbertlb.standin.wsgi import serving
from tests.platform.thin_links import large_configuration
from tests.platform.thin_links import Link
from tests.platform.thin_links import running_entries

THIN_BYTES_PER_S = 5_000_000 / 8
IDLE_BYTES_PER_S = THIN_BYTES_PER_S / 20
"""Most that a thin link carries while nothing changes."""
WIDE_BYTES_PER_S = 100_000_000 / 8
CONFIG_APPLY_S = 3.0
"""Time from a confirmation in which a configuration must be in force."""
CONTACT_S = 4.0
"""Time after a trouble from which all that holds must hold again."""
ANSWER_S = 1.24
"""Time that a slow store takes for each answer."""
DEADLINE_S = 60.0
FIRST, SECOND, THIRD = 10, 20, 30


@attrs.define
class Deployment:
    """Entries of which two have thin links, and their store."""

    store: RowStore
    entries: list

    @property
    def thin(self):
        return self.entries[:2]

    def write(self, version, routes):
        value = large_configuration(version, routes)
        self.store.write("op", "config", value)

    def wait_until_in_force(self, version, entries):
        while any(entry.in_force.version < version for entry in entries):
            sleep(0.01)

    def bytes_in(self, span_s):
        """Return the most bytes that a thin link carries in a time."""
        before = [entry.link.read_bytes for entry in self.thin]
        sleep(span_s)
        return max(
            entry.link.read_bytes - start
            for entry, start in zip(self.thin, before, strict=True)
        )

    def bytes_until_in_force(self, version, entries):
        """Return what each entry's link carries until then."""
        before = [entry.link.read_bytes for entry in entries]
        carried = {}
        while len(carried) < len(entries):
            sleep(0.01)
            for entry, start in zip(entries, before, strict=True):
                if entry.in_force.version >= version:
                    carried.setdefault(
                        entry.name, entry.link.read_bytes - start
                    )
        return list(carried.values())


@contextmanager
def deployment(wide=2):
    store = RowStore()
    store.write("op", "config", large_configuration(FIRST, 3))
    rates = [THIN_BYTES_PER_S] * 2 + [WIDE_BYTES_PER_S] * wide
    with (
        Timeout(DEADLINE_S),
        serving(store.application()) as url,
        running_entries(
            url.removeprefix("http://"), [Link(rate) for rate in rates]
        ) as entries,
    ):
        found = Deployment(store, entries)
        found.wait_until_in_force(FIRST, entries)
        yield found


@pytest.mark.parametrize("routes", [1_400, 4_200])
def test_large_configuration_filled_thin_links(routes):
    # Entries had read it whole twice before it was in force, and then read
    # it again at every poll.
    with deployment() as site:
        for version in (SECOND, THIRD):
            site.write(version, routes)
            carried = site.bytes_until_in_force(version, site.thin)
            assert max(carried) < THIN_BYTES_PER_S * CONFIG_APPLY_S
        # An entry may go on reading what another one has given it already.
        while site.bytes_in(0.5) > IDLE_BYTES_PER_S * 0.5:
            pass
        assert site.bytes_in(2.0) < IDLE_BYTES_PER_S * 2.0


@pytest.mark.parametrize("routes", [1_400, 4_200])
def test_entry_stayed_behind_after_the_store_had_been_slow(routes):
    # What was read in vain in the meantime filled the link afterwards.
    with deployment(wide=6) as site:
        site.store.faults.delay_s = ANSWER_S
        sleep(2.0)
        site.write(SECOND, routes)
        sleep(ANSWER_S)
        site.write(THIRD, routes)
        sleep(3.0)
        site.store.faults.delay_s = 0.0
        carried = site.bytes_until_in_force(THIRD, site.thin)
        assert max(carried) < THIN_BYTES_PER_S * CONTACT_S


@pytest.mark.parametrize("routes", [1_400, 4_200])
def test_entry_without_the_store_asked_all_others_for_the_whole_row(routes):
    with deployment(wide=6) as site:
        for entry in site.entries[::2]:
            entry.link.silent = True
        sleep(2.0)
        site.write(SECOND, routes)
        behind = [site.entries[0]]
        carried = site.bytes_until_in_force(SECOND, behind)
        assert max(carried) < THIN_BYTES_PER_S * CONFIG_APPLY_S
