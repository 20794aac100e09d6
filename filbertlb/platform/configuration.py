"""Applies changes of the configuration row that operators write."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from loguru import logger

from filbertlb.errors import FilbertlbError
from filbertlb.platform.configuration_check import check_configuration
from filbertlb.platform.wire import decode_configuration
from filbertlb.platform.wire import UnreadableMessageError

if TYPE_CHECKING:
    from filbertlb.batch.configuration import CurrentConfiguration
    from filbertlb.batch.peers import Peers
    from filbertlb.table.base import Row
    from filbertlb.table.base import TableService

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = f"{OPERATOR_TABLE}/config"
POLL_S = 0.9
"""Polling period; catches changes that the change feed misses."""
MAX_LOGGED_FINDINGS = 10
"""Most findings logged per row, to bound the log volume of a faulty one."""


@attrs.define
class ConfigurationReader:
    """Applies each newer version of the site configuration.

    Parameters
    ----------
    peers : Peers, optional
        Other entries, queried while this entry cannot read the table.

    Attributes
    ----------
    row_version : int
        Version of the row that was applied last.
    """

    in_force: CurrentConfiguration
    peers: Peers | None = None
    row_version: int = 0

    def on_row(self, key: str, row: Row | None) -> None:
        """Apply a row of the operators' table if it is a newer configuration.

        A row that cannot be decoded is logged and ignored; the configuration
        in force stays.
        """
        if key != CONFIGURATION_KEY or row is None:
            return
        if row.version <= self.row_version:
            return
        try:
            configuration = decode_configuration(row.value)
        except UnreadableMessageError as error:
            logger.error("unreadable configuration row ignored: {}", error)
            return
        self.row_version = row.version
        version_before = self.in_force.version
        if self.peers is not None:
            self.peers.keep_newest(row)
        self.in_force.update_if_newer(
            configuration, f"row version {row.version}"
        )
        # Last, so that no fault of the checks keeps a row from being applied.
        self._log_findings(row, configuration.version, version_before)

    def _log_findings(
        self, row: Row, version: int, version_before: int
    ) -> None:
        """Log what the checks find, up to ``MAX_LOGGED_FINDINGS``."""
        findings = check_configuration(
            row.value,
            version_in_force=version_before if version_before >= 0 else None,
        )
        for finding in findings[:MAX_LOGGED_FINDINGS]:
            logger.warning(
                "configuration {}, row version {}: {}",
                *(version, row.version, finding),
            )
        if len(findings) > MAX_LOGGED_FINDINGS:
            logger.warning(
                "configuration {}, row version {}: {} more findings; "
                "filbertlb config check-row shows them",
                *(version, row.version, len(findings) - MAX_LOGGED_FINDINGS),
            )

    def poll(self, table: TableService) -> None:
        """Read the row every ``POLL_S`` seconds until the task is killed."""
        while True:
            try:
                self.on_row(CONFIGURATION_KEY, table.get(CONFIGURATION_KEY))
            except FilbertlbError as error:
                logger.info(
                    "configuration not read, {} stays in force: {}",
                    *(self.in_force.version, error),
                )
                self._query_peers()
            sleep(POLL_S)

    def _query_peers(self) -> None:
        """Apply the newest configuration rows that other entries have read."""
        for row in self.peers.fetch_rows() if self.peers is not None else ():
            self.on_row(row.key, row)
