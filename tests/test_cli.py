"""The operator's commands against a whole entry in process."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from filbertlb.cli.context import ExitCode
from filbertlb.cli.main import main
from filbertlb.cli.sending import send_until_settled
from filbertlb.client import AnswerLostError
from filbertlb.client import CallFailedError
from filbertlb.client import Client
from tests.api_site import CONFIG
from tests.api_site import open_site

CHANGED = {**CONFIG, "organisations": {"dairies": {"weight": 2.0}}}
# As many accelerators as the rack has, but more cores.
SHAPE = {"members": 2, "each": {"accelerators": 4, "cores": 20.0}}
GUARANTEE = {"dairies": {"guarantees": {"all": {"shape": SHAPE}}}}
BROKEN = {**CONFIG, "organisations": GUARANTEE}


class Shell:
    """Runs commands as an operator would."""

    def __init__(self, site, folder):
        self.site = site
        self._folder = folder

    def file(self, name, value):
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(value))
        return str(path)

    def run(self, *arguments, who="operator", answer=None):
        token = self.site.token_by_name[who]
        common = ["--url", self.site.entry.url, "--token", token]
        return CliRunner().invoke(main, [*common, *arguments], input=answer)

    def json(self, *arguments, who="operator"):
        result = self.run("--json", *arguments, who=who)
        assert result.exit_code == ExitCode.OK, result.output
        return json.loads(result.stdout)

    def head(self):
        return self.json("config", "show")["number"]


@pytest.fixture
def shell(tmp_path):
    with open_site() as site:
        yield Shell(site, tmp_path)


def test_config_from_check_to_rollback(shell):
    base = shell.file("base", CONFIG)
    overlay = shell.file("changed", CHANGED)
    files = [base, overlay]
    assert shell.run("config", "check", *files).exit_code == ExitCode.OK
    dry = shell.run("config", "apply", *files, "--dry-run")
    assert "organisations.dairies.weight: 1.0 -> 2.0" in dry.output
    assert shell.run("config", "apply", *files, answer="n\n").exit_code == 1
    assert shell.head() == 1
    made = shell.run("config", "apply", *files, "--note", "x", answer="y\n")
    assert "based on revision 1" in made.output
    assert "revision 2 is accepted" in made.output
    again = shell.json("config", "apply", *files)
    assert again == {"revision": 2}
    stale = shell.run("config", "apply", base, "--yes", "--based-on", "1")
    assert stale.exit_code == ExitCode.REFUSED
    assert "organisations.dairies.weight: 1.0 -> 2.0" in stale.stderr
    back = shell.run("config", "rollback", "1")
    assert "revision 3 brings 1 back" in back.output
    history = shell.json("config", "history")
    assert [item["note"] for item in history] == ["", "x", "rollback to 1"]
    assert "dairies" in shell.run("config", "show", "--revision", "1").output
    status = shell.json("config", "status")
    assert (status["head"], status["in_force"]["e1"]) == (3, 3)


def test_config_that_breaks_a_guarantee_is_refused(shell):
    broken = shell.file("broken", BROKEN)
    for arguments in (
        ("config", "check", broken),
        ("config", "apply", broken, "--dry-run"),
        ("config", "apply", broken, "--yes"),
    ):
        result = shell.run(*arguments)
        assert result.exit_code == ExitCode.REFUSED, result.output
        assert "1 of its shapes have no placement" in result.output
    mistake = shell.file("mistake", {**CONFIG, "sight": 1})
    result = shell.run("config", "check", mistake)
    assert result.exit_code == ExitCode.REFUSED
    assert "'site'" in result.stderr
    assert shell.head() == 1


def test_lost_answer_of_a_change_is_repeated_under_one_token(
    shell, monkeypatch
):
    sent = []
    apply_config = Client.apply_config

    def lose_first(client, change):
        answer = apply_config(client, change)
        sent.append(change["token"])
        if len(sent) == 1:
            raise AnswerLostError("lost")
        return answer

    monkeypatch.setattr(Client, "apply_config", lose_first)
    files = [shell.file("base", CONFIG), shell.file("changed", CHANGED)]
    assert shell.json("config", "apply", *files) == {"revision": 2}
    assert len(sent) == 2
    assert len(set(sent)) == 1
    assert shell.head() == 2


@pytest.mark.parametrize(
    ("error", "calls", "told"),
    [
        (AnswerLostError("lost"), 4, True),
        (CallFailedError(503, {"ran": "no"}), 1, False),
    ],
)
def test_change_is_repeated_only_while_its_outcome_is_unknown(
    error, calls, told, monkeypatch, capsys
):
    sent = []

    def fail(change):
        sent.append(change)
        raise error

    monkeypatch.setattr("filbertlb.cli.sending.RETRY_S", 0.0)
    with pytest.raises(type(error)):
        send_until_settled(fail, {"based_on": 3, "token": "abc"})
    assert len(sent) == calls
    repeat = "--based-on 3 --request-token abc"
    assert (repeat in capsys.readouterr().err) == told


def test_organisation_from_creation_to_its_first_job(shell):
    made = shell.json("organisation", "create", "herders", "--weight", "2")
    assert made == {"revision": 2}
    twice = shell.run("organisation", "create", "herders")
    assert twice.exit_code == ExitCode.REFUSED
    assert "organisation_exists" in twice.stderr
    assert "herders" in shell.run("organisation", "list").output.split()
    assert shell.json("organisation", "show", "herders")["weight"] == 2.0
    token = shell.run("organisation", "token", "herders").output.strip()
    shell.site.token_by_name["herders"] = token
    submit = ("job", "submit", "--wait-s", "40", "--key", "first")
    job = shell.json(*submit, who="herders")
    assert job["state"] == "succeeded"
    own = ("--organisation", "herders", "--json")
    found = shell.run(*own, *submit)
    assert json.loads(found.stdout)["job_id"] == job["job_id"]
    wide = shell.run("job", "submit", "--members", "9", who="herders")
    assert wide.exit_code == ExitCode.REFUSED


def test_endpoints_status_and_trail(shell):
    listed = shell.json("endpoint", "list")
    assert [item["endpoint_id"] for item in listed] == ["r1", "s1/0"]
    assert "0 of 8 slots" in shell.run("endpoint", "list").output
    drained = shell.run("endpoint", "drain", "s1/0")
    assert "s1/0 takes no new work" in drained.output
    unknown = shell.run("--json", "endpoint", "drain", "s9")
    assert unknown.exit_code == ExitCode.REFUSED
    error = json.loads(unknown.stderr)["error"]
    assert (error["code"], error["ran"]) == ("endpoint_not_found", "no")
    assert "entry_id: e1" in shell.run("status").output
    trail = shell.run("audit", "--action", "endpoint.drain", "--verify")
    assert "s1/0" in trail.output
    assert "is whole" in trail.output
    assert "endpoint.drain" not in shell.run("audit", "--actor", "x").output


def test_outage_ends_commands_with_its_own_exit_code(shell):
    shell.site.table.faults.down = True
    result = shell.run("config", "history")
    assert result.exit_code == ExitCode.UNAVAILABLE
    assert shell.run("endpoint", "drain").exit_code == ExitCode.USAGE
