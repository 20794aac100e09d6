"""The reference pages against the code that they describe."""

from __future__ import annotations

from collections import defaultdict
from json import loads
from pathlib import Path
from re import DOTALL
from re import findall
from re import MULTILINE

import click

from filbertlb.cli.context import ExitCode
from filbertlb.cli.main import main
from filbertlb.errors_page import error_classes
from filbertlb.errors_page import PAGE_PATH
from filbertlb.errors_page import render_page
from tests.api_site import open_site

ROOT = Path(__file__).parent.parent
PLAIN_PATHS = (
    "/v1/config",
    "/v1/config/history",
    "/v1/config/status",
    "/v1/organisations",
    "/v1/endpoints",
    "/v1/status",
    "/healthz",
    "/readyz",
)


def read(name):
    return (ROOT / "docs" / name).read_text(encoding="utf-8")


def test_page_of_errors_is_current():
    # Write it anew with: python -m filbertlb.errors_page
    assert (ROOT / PAGE_PATH).read_text(encoding="utf-8") == render_page()


def test_error_classes_have_a_code_of_their_own_and_a_meaning():
    classes = error_classes()
    assert [c for c in classes if "code" not in vars(c)] == []
    assert [c for c in classes if not c.__doc__] == []


def test_a_shared_code_has_one_status():
    statuses = defaultdict(set)
    for cls in error_classes():
        statuses[cls.code].add(int(cls.status))
    assert {c: s for c, s in statuses.items() if len(s) > 1} == {}


def test_http_page_lists_every_route_with_its_access():
    rows = findall(
        r"^### `(GET|POST) (\S+)` \((\w+)\)$",
        read("http.md"),
        flags=MULTILINE,
    )
    with open_site() as site:
        routes = site.entry.application.routes
    listed = [(r.method, r.path, r.access.value) for r in routes]
    assert sorted(rows) == sorted(listed)


def test_http_page_names_codes_with_their_status():
    rows = findall(
        r"^\| `([a-z_]+)` \| .*\((\d{3})\) \|$", read("http.md"), MULTILINE
    )
    assert rows
    known = {(cls.code, str(int(cls.status))) for cls in error_classes()}
    assert set(rows) <= known


def test_http_page_shows_answers_as_they_are():
    sections = read("http.md").split("### `")
    examples = {
        section.partition("`")[0]: [
            loads(text)
            for text in findall(r"```json\n(.*?)```", section, flags=DOTALL)
        ]
        for section in sections[1:]
    }
    with open_site() as site:
        for path in PLAIN_PATHS:
            (example,) = examples[f"GET {path}"]
            answer = site.call("GET", path)
            assert answer.keys() == example.keys(), path
            for name, shown in example.items():
                if shown and isinstance(shown, list):
                    _assert_same_keys(shown[0], answer[name][0])
        (example,) = examples["POST /v1/jobs"]
        client = site.client()
        assert client.submit_job({}).keys() == example.keys()


def _assert_same_keys(shown, given):
    if isinstance(shown, dict):
        assert shown.keys() == given.keys()


def commands(group, prefix=""):
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from commands(command, f"{prefix}{name} ")
        else:
            yield f"{prefix}{name}"


def test_page_of_commands_lists_every_command_and_exit_code():
    page = read("cli.md")
    listed = findall(
        r"^\| `filbertlb ([a-z -]+?)(?: [A-Z].*)?` \|", page, MULTILINE
    )
    assert sorted(listed) == sorted(commands(main))
    codes = findall(r"^\| (\d) \| `(\w+)` \|", page, flags=MULTILINE)
    assert codes == [(str(code.value), code.name) for code in ExitCode]
