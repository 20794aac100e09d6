"""The reference pages against the code that they describe."""

from __future__ import annotations

from collections import defaultdict
from json import loads
from pathlib import Path
from re import DOTALL
from re import findall
from re import MULTILINE

import click
import pytest
from click.testing import CliRunner

from filbertlb.api.auth import hash_secret
from filbertlb.api.auth import split_token
from filbertlb.cli.context import ExitCode
from filbertlb.cli.main import main
from filbertlb.core.site import load_site
from filbertlb.errors_page import error_classes
from filbertlb.errors_page import PAGE_PATH
from filbertlb.errors_page import render_page
from filbertlb.messages import Role
from filbertlb.settings.load import load_settings
from filbertlb.settings.process import ProcessSettings
from tests.api_site import open_site

ROOT = Path(__file__).parent.parent
EXAMPLES = ROOT / "filbertlb" / "examples"
OVERLAY = "overlay.json"
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


def site_keys(folder):
    """Return the settings file that the command for a key prints."""
    path = folder / "keys.json"
    path.write_text(CliRunner().invoke(main, ["token", "site-key"]).stdout)
    return path


def process_settings(shared, files, folder):
    keys = site_keys(folder)
    return [
        load_settings([shared, file, keys], ProcessSettings) for file in files
    ]


@pytest.mark.parametrize("name", ["jadran", "qureshi"])
def test_steps_of_a_site_fit_its_configuration(name, tmp_path):
    config = load_site([EXAMPLES / "base.json", EXAMPLES / name / OVERLAY])
    page = read("operators/sites.md").split("\n## ")
    (section,) = [one for one in page if one.lower().startswith(name)]
    texts = findall(r"```json\n(.*?)```", section, flags=DOTALL)
    paths = [tmp_path / f"{number}.json" for number in range(len(texts))]
    for path, text in zip(paths, texts, strict=True):
        path.write_text(text)
    processes = process_settings(paths[0], paths[1:], tmp_path)
    roles = [one.endpoint and one.endpoint.role for one in processes]
    assert roles == [None, Role.WORKER, Role.RUNNER]
    for process in processes:
        domain = config.failure_domains[process.failure_domain]
        assert process.region == domain.scope_name
    worker = processes[1]
    rack = config.failure_domains[worker.failure_domain].racks[worker.rack]
    assert worker.endpoint.capacity == rack.each


def test_files_of_the_tour_fit_each_other(tmp_path):
    tour = EXAMPLES / "tour"
    config = load_site([EXAMPLES / "base.json", tour / "site.json"])
    files = [tour / f"{name}.json" for name in ("entry", "worker", "runner")]
    processes = process_settings(tour / "process.json", files, tmp_path)
    (worker,) = config.expected_workers()
    assert processes[1].endpoint.capacity == worker.capacity
    assert {one.region for one in processes} == set(config.scopes)


def test_operators_token_never_replaces_a_file(tmp_path):
    path = tmp_path / "operator.json"
    command = ["token", "operator", "--settings", str(path)]
    text = CliRunner().invoke(main, command).stdout.strip()
    token_id, secret = split_token(text)
    kept = path.read_text()
    assert loads(kept) == {
        "operator_token_hash": f"{token_id}:{hash_secret(secret)}"
    }
    assert CliRunner().invoke(main, command).exit_code == ExitCode.USAGE
    assert path.read_text() == kept
