"""Follows the configuration row that operators write."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from loguru import logger

from filbertlb.errors import FilbertlbError
from filbertlb.platform.wire import decode_configuration
from filbertlb.platform.wire import UnreadableMessageError

if TYPE_CHECKING:
    from filbertlb.batch.configuration import InForce
    from filbertlb.batch.peers import Peers
    from filbertlb.table.base import Row
    from filbertlb.table.base import TableService

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = f"{OPERATOR_TABLE}/config"
POLL_S = 0.9
"""Period of plain reads, for changes that the feed does not show."""


@attrs.define
class ConfigurationReader:
    """Puts each newer configuration in force.

    Parameters
    ----------
    peers : Peers, optional
        Other entries, asked while the table does not answer.

    Attributes
    ----------
    row_version : int
        Version of the row that was read last.
    """

    in_force: InForce
    peers: Peers | None = None
    row_version: int = 0

    def on_row(self, key: str, row: Row | None) -> None:
        """Take in a change of the operators' table."""
        if key != CONFIGURATION_KEY or row is None:
            return
        if row.version <= self.row_version:
            return
        try:
            offered = decode_configuration(row.value)
        except UnreadableMessageError as error:
            logger.error("configuration ignored: {}", error)
            return
        self.row_version = row.version
        if self.peers is not None:
            self.peers.read(row)
        self.in_force.offer(offered, f"row version {row.version}")

    def poll(self, table: TableService) -> None:
        """Read the row again and again until killed."""
        while True:
            try:
                self.on_row(CONFIGURATION_KEY, table.get(CONFIGURATION_KEY))
            except FilbertlbError as error:
                logger.info(
                    "configuration not read, {} stays in force: {}",
                    *(self.in_force.version, error),
                )
                self._ask_peers()
            sleep(POLL_S)

    def _ask_peers(self) -> None:
        """Take what other entries read while the table is silent here."""
        for row in self.peers.ask() if self.peers is not None else ():
            self.on_row(row.key, row)
