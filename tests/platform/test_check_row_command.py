"""``filbertlb config check-row`` from its arguments to its exit code."""

from __future__ import annotations

from io import BytesIO
from json import loads
from pathlib import Path
from re import findall
from re import MULTILINE

import pytest
from click import UsageError
from click.testing import CliRunner

from filbertlb.cli.config import _read_row
from filbertlb.cli.context import Context
from filbertlb.cli.context import ExitCode
from filbertlb.cli.main import main
from tests.platform.test_configuration_check import CASES
from tests.platform.test_configuration_check import route
from tests.platform.test_configuration_check import row
from tests.platform.test_configuration_check import SECRET
from tests.platform.test_configuration_check import tenant

ROOT = Path(__file__).parent.parent.parent
PAGE = ROOT / "docs" / "operators" / "configuration.md"


@pytest.fixture
def check(tmp_path):
    """Return a function that runs the command on values of the row."""

    def run(body, *options, against=None, as_json=False):
        path = tmp_path / "new.json"
        path.write_bytes(body)
        arguments = ["config", "check-row", str(path), *options]
        if against is not None:
            old = tmp_path / "old.json"
            old.write_bytes(against)
            arguments += ["--against", str(old)]
        common = ["--json"] if as_json else []
        return CliRunner().invoke(main, [*common, *arguments])

    return run


def test_sound_row_ends_with_0(check):
    result = check(row(), "--accelerators", "4")
    assert result.exit_code == ExitCode.OK
    assert result.output == "configuration 3: errors: 0, warnings: 0\n"


def test_warnings_alone_end_with_0(check):
    result = check(row(services=[{"name": "render"}, {"name": "idle"}]))
    assert result.exit_code == ExitCode.OK
    assert "errors: 0, warnings: 1" in result.output


def test_errors_and_differences_end_with_1(check):
    body = row(routes=[route(attempts=0)], tenants=[tenant(apiKeys=[SECRET])])
    result = check(body, "--accelerators", "3", against=row())
    assert result.exit_code == ExitCode.FAILED
    assert result.output.splitlines() == [
        "configuration 3: errors: 3, warnings: 0",
        "error version_not_newer version: version 3 is not newer than 3 in "
        "force and would be ignored; use 4 or more",
        "error too_few_attempts routes[0].attempts: 0 attempts allow no "
        "run; give 1 or more",
        "error guarantees_exceed_capacity tenants: guarantees of 4 "
        "accelerators exceed the 3 of the site; reduce them by 1",
        "differences from 3: 2",
        "changed routes 'q': attempts: 2 -> 0",
        "changed tenants 'divers': apiKeys: 1 added, 1 removed",
    ]


def test_json_has_findings_and_differences(check):
    body = row(version=4, routes=[route(attempts=0)])
    result = check(body, against=row(), as_json=True)
    assert result.exit_code == ExitCode.FAILED
    assert loads(result.stdout) == {
        "version": 4,
        "findings": [
            {
                "code": "too_few_attempts",
                "severity": "error",
                "path": "routes[0].attempts",
                "message": "0 attempts allow no run; give 1 or more",
            }
        ],
        "differences": [
            {
                "section": "routes",
                "name": "q",
                "change": "changed",
                "details": ["attempts: 2 -> 0"],
            }
        ],
    }
    alone = loads(check(row(), as_json=True).stdout)
    assert alone == {"version": 3, "findings": [], "differences": None}


@pytest.mark.parametrize("as_json", [False, True])
@pytest.mark.parametrize(
    "broken",
    [
        b"",
        f'{{"tenants":[{{"apiKeys":["{SECRET}"]}}],}}'.encode(),
        f'{{"tenants":[{{"apiKeys":["{SECRET}"]}}]}}'.encode(),
    ],
    ids=["empty", "no_json", "no_version"],
)
def test_unreadable_file_ends_with_2_and_shows_no_key(check, broken, as_json):
    first = check(broken, as_json=as_json)
    second = check(row(), against=broken, as_json=as_json)
    for result, name in ((first, "new.json"), (second, "old.json")):
        assert result.exit_code == ExitCode.USAGE
        assert "malformed_data" in result.stderr
        assert name in result.stderr
        assert SECRET not in result.output


@pytest.mark.parametrize(
    "options",
    [
        ("--accelerators", "-1"),
        ("--accelerators", "x"),
        ("--against", "no-such-file.json"),
        ("--against", "/"),
        ("more.json",),
    ],
)
def test_wrong_usage_ends_with_2(check, options):
    assert check(row(), *options).exit_code == ExitCode.USAGE


def test_file_that_fails_while_it_is_read_is_wrong_usage():
    # As a file on a network share that goes away after it was opened.
    class FailingFile(BytesIO):
        name = "new.json"

        def read(self, size=-1, /):
            raise OSError("input/output error")

    with pytest.raises(UsageError, match="new.json: input/output error"):
        _read_row(Context("", "", False), FailingFile())


def test_page_lists_the_findings_with_their_severity():
    page = PAGE.read_text(encoding="utf-8")
    rows = findall(
        r"^\| `([a-z_0-9]+)` \| (error|warning) \|", page, MULTILINE
    )
    known = {tuple(expected.split()[:2]) for _, _, expected in CASES}
    assert {(severity, code) for code, severity in rows} == known
    assert len(rows) == len(known)
