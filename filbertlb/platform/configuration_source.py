"""Where an entry gets the configuration from: the table or other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from filbertlb.platform.configuration import ConfigurationReader
from filbertlb.platform.configuration import OPERATOR_TABLE
from filbertlb.table.contact import FollowerContact
from filbertlb.table.mirror import Follower
from filbertlb.table.mirror import Mirror

if TYPE_CHECKING:
    from collections.abc import Callable

    from filbertlb.batch.configuration import CurrentConfiguration
    from filbertlb.batch.row_exchange import RowExchange
    from filbertlb.core.clock import Clock
    from filbertlb.table.base import WatchedTable
    from filbertlb.table.contact import Contact


@attrs.frozen
class ConfigurationSource:
    """Keeps the configuration of an entry up to date.

    Parameters
    ----------
    follower : Follower
        Follows the operators' table.
    contact : Contact
        Contact of this follower with the table.
    reader : ConfigurationReader
        Applies newer rows.
    exchange : RowExchange
        Reads the row of other entries while the table gives none.
    """

    follower: Follower
    contact: Contact
    reader: ConfigurationReader
    exchange: RowExchange

    @property
    def in_force(self) -> CurrentConfiguration:
        """The configuration that requests are handled by."""
        return self.reader.in_force

    @property
    def known_version(self) -> int:
        """Row version up to which this entry has each configuration."""
        return max(self.exchange.version, self.follower.mirror.version)

    @property
    def behind(self) -> bool:
        """Whether another entry has offered a row that is not read yet."""
        return self.exchange.heard_version > self.known_version

    def may_be_behind(self) -> bool:
        """Return whether there may be a newer configuration."""
        return self.behind or not self.contact.reachable

    def tasks(self) -> list[Callable[[], None]]:
        """Return the tasks that read, which run until they are killed."""
        return [
            self.follower.run,
            lambda: self.reader.ask_entries(self.exchange, self.contact),
        ]


def configuration_source(
    table: WatchedTable,
    exchange: RowExchange,
    in_force: CurrentConfiguration,
    clock: Clock,
) -> ConfigurationSource:
    """Return a source that has read nothing yet."""
    reader = ConfigurationReader(in_force, exchange)
    mirror = Mirror()
    mirror.add_listener(reader.on_row)
    follower = Follower(table, OPERATOR_TABLE, mirror, clock)
    return ConfigurationSource(
        follower, FollowerContact(follower), reader, exchange
    )
