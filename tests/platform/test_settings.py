from __future__ import annotations

from json import dumps

import pytest
from click.testing import CliRunner

from filbertlb.cli.context import ExitCode
from filbertlb.cli.main import main
from filbertlb.platform.settings import load_settings_file
from filbertlb.platform.settings import SettingsFileError

FILE = {
    "node": "side-1",
    "role": "agent",
    "ip": "10.0.0.1",
    "zone": "a",
    "region": "coast",
    "listen": {"admin": "10.0.0.1:8526"},
    "portRange": [7000, 7015],
    "app": "10.0.0.1:8529",
    "platform": {"addr": "10.0.0.9:8524", "form": "table"},
    "unknown": {"is": "ignored"},
}


def written(folder, body):
    path = folder / "settings.json"
    path.write_text(body if isinstance(body, str) else dumps(body))
    return str(path)


def test_reads_what_a_role_needs_and_ignores_the_rest(tmp_path):
    found = load_settings_file(written(tmp_path, FILE))
    assert (found.node, found.worker_address, found.first_port) == (
        "side-1",
        "10.0.0.1:8529",
        7000,
    )


@pytest.mark.parametrize(
    "body",
    ["", "{", {}, FILE | {"platform": {}}, FILE | {"portRange": "x"}],
)
def test_an_unusable_file_has_a_coded_error(tmp_path, body):
    path = written(tmp_path, body)
    with pytest.raises(SettingsFileError, match="cannot be used"):
        load_settings_file(path)
    result = CliRunner().invoke(main, ["platform", "settings", path])
    assert result.exit_code == ExitCode.REFUSED


def test_the_command_shows_what_was_read(tmp_path):
    path = written(tmp_path, FILE)
    result = CliRunner().invoke(main, ["platform", "settings", path])
    assert "store_address: 10.0.0.9:8524" in result.output
