"""Applies changes of the configuration row that operators write."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs
from gevent import sleep
from loguru import logger

from filbertlb.platform.configuration_check import check_configuration
from filbertlb.platform.wire import decode_configuration
from filbertlb.platform.wire import UnreadableMessageError

if TYPE_CHECKING:
    from filbertlb.batch.configuration import CurrentConfiguration
    from filbertlb.batch.row_exchange import RowExchange
    from filbertlb.table.base import Row
    from filbertlb.table.contact import Contact

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = f"{OPERATOR_TABLE}/config"
POLL_S = 0.9
"""Period in which other entries are asked for a newer configuration."""
MAX_POLL_S = 3.6
"""Longest pause after reads of their configuration that failed."""
MAX_LOGGED_FINDINGS = 10
"""Most findings logged per row, to bound the log volume of a faulty one."""


@attrs.define
class ConfigurationReader:
    """Applies each newer version of the site configuration.

    Parameters
    ----------
    exchange : RowExchange, optional
        Reads the row of other entries while the table gives none.
    random : Random
        Source of the jitter of polls.

    Attributes
    ----------
    row_version : int
        Version of the row that was applied last.
    """

    in_force: CurrentConfiguration
    exchange: RowExchange | None = None
    random: Random = attrs.Factory(Random)
    row_version: int = 0

    def on_row(
        self, key: str, row: Row | None, source: str = "the table"
    ) -> None:
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
        if self.exchange is not None:
            self.exchange.keep_newest(row)
        self.in_force.update_if_newer(
            configuration, f"row version {row.version} of {source}"
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

    def ask_entries(self, exchange: RowExchange, contact: Contact) -> None:
        """Ask other entries while the table gives no rows, until killed.

        Reads that fail are repeated less and less often, as they share the
        link with what they wait for.
        """
        pause_s = POLL_S
        while True:
            if contact.reachable or self._take_newer(exchange):
                pause_s = POLL_S
            else:
                pause_s = min(MAX_POLL_S, 2 * pause_s)
            sleep(pause_s * self.random.uniform(0.5, 1.0))

    def _take_newer(self, exchange: RowExchange) -> bool:
        """Apply a newer row of another entry; return whether none is left."""
        row = exchange.fetch_newer()
        if row is not None:
            self.on_row(row.key, row, "another entry")
        elif exchange.behind:
            logger.warning(
                "configuration {} in force, row version {} is known and not "
                "read yet",
                *(self.in_force.version, exchange.heard_version),
            )
        return not exchange.behind
