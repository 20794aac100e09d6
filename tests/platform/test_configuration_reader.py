"""The checks that a process makes when it reads the configuration row."""

from __future__ import annotations

import pytest
from loguru import logger

from filbertlb.batch.configuration import CurrentConfiguration
from filbertlb.platform.configuration import CONFIGURATION_KEY
from filbertlb.platform.configuration import ConfigurationReader
from filbertlb.platform.configuration import MAX_LOGGED_FINDINGS
from filbertlb.table.base import Row
from tests.platform.test_configuration_check import route
from tests.platform.test_configuration_check import row


@pytest.mark.parametrize(
    "body",
    [
        b'{"version":4,"\xff":1}',
        b'{"version":4,"services":["\xff"]}',
        b'{"version":4,"services":[{"name":"\xff"}]}',
        b'{"version":4,"routes":[{"name":"q","timeoutMs":"\xff"}]}',
        b'{"version":4,"routes":[{"name":"q","\xff":1}]}',
    ],
)
def test_odd_bytes_in_unread_fields_keep_no_row_from_being_applied(body):
    # The decoder validates only the texts that are read. A check that read
    # more of them refused a row that the product accepts.
    reader = ConfigurationReader(CurrentConfiguration())
    reader.on_row(CONFIGURATION_KEY, Row(CONFIGURATION_KEY, body, 7))
    assert reader.in_force.version == 4


@pytest.fixture
def warnings():
    found = []
    sink = logger.add(
        lambda message: found.append(message.record["message"]),
        level="WARNING",
    )
    yield found
    logger.remove(sink)


def test_findings_of_an_accepted_row_are_logged(warnings):
    reader = ConfigurationReader(CurrentConfiguration())
    body = row(routes=[route(slackFactor=0.5)])
    reader.on_row(CONFIGURATION_KEY, Row(CONFIGURATION_KEY, body, 7))
    # A finding changes nothing about what is in force.
    assert reader.in_force.version == 3
    assert warnings == [
        "configuration 3, row version 7: error slack_factor_below_1 "
        "routes[0].slackFactor: 0.5 is less time than the work itself "
        "takes; give 1 or more"
    ]
    # The same row, polled again, is not checked again.
    reader.on_row(CONFIGURATION_KEY, Row(CONFIGURATION_KEY, body, 7))
    assert len(warnings) == 1


def test_row_with_an_older_version_is_logged_and_ignored(warnings):
    reader = ConfigurationReader(CurrentConfiguration())
    reader.on_row(CONFIGURATION_KEY, Row(CONFIGURATION_KEY, row(), 7))
    older = Row(CONFIGURATION_KEY, row(version=2), 8)
    reader.on_row(CONFIGURATION_KEY, older)
    assert reader.in_force.version == 3
    assert ["version_not_newer" in line for line in warnings] == [True]


def test_log_of_findings_is_bounded(warnings):
    # A configuration with a fault in each of many routes would flood the log.
    reader = ConfigurationReader(CurrentConfiguration())
    count = MAX_LOGGED_FINDINGS + 5
    routes = [route(f"q{number}", attempts=0) for number in range(count)]
    body = row(routes=routes)
    reader.on_row(CONFIGURATION_KEY, Row(CONFIGURATION_KEY, body, 7))
    assert len(warnings) == MAX_LOGGED_FINDINGS + 1
    assert warnings[-1] == (
        "configuration 3, row version 7: 5 more findings; "
        "filbertlb config check-row shows them"
    )
