from __future__ import annotations

from json import dumps

import pytest
from click.testing import CliRunner

from filbertlb.batch.evacuation import MAX_AGE_SHARE
from filbertlb.cli.context import ExitCode
from filbertlb.cli.main import main
from filbertlb.errors import FilbertlbError
from filbertlb.platform.configuration import POLL_S
from filbertlb.platform.settings import load_settings_file
from filbertlb.platform.settings import MIN_EVACUATE_MS
from filbertlb.platform.settings import QUEUE_ORDER_VARIABLE
from filbertlb.platform.settings import QueueOrder
from filbertlb.platform.settings import QueueOrderSettingError
from filbertlb.platform.settings import RUN_TIMES_VARIABLE
from filbertlb.platform.settings import SettingsFileError

SETTINGS = {
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


def write_settings(folder, body):
    path = folder / "settings.json"
    path.write_text(body if isinstance(body, str) else dumps(body))
    return str(path)


def test_loads_known_fields_and_ignores_others(tmp_path):
    settings = load_settings_file(write_settings(tmp_path, SETTINGS))
    assert (settings.node, settings.worker_address, settings.first_port) == (
        "side-1",
        "10.0.0.1:8529",
        7000,
    )


@pytest.mark.parametrize(
    ("limits", "cores"),
    [({}, 1.0), ({"cpuShare": 0.25, "cores": 2, "memoryMb": 300}, 0.5)],
)
def test_processor_is_the_share_of_a_core_times_its_speed(
    tmp_path, limits, cores
):
    path = write_settings(tmp_path, SETTINGS | {"limits": limits})
    assert load_settings_file(path).processor_cores == cores


@pytest.mark.parametrize(
    ("fields", "period_s"), [({}, 1.5), ({"heartbeatMs": 4000}, 4.0)]
)
def test_heartbeat_period_is_that_of_the_site(tmp_path, fields, period_s):
    path = write_settings(tmp_path, SETTINGS | fields)
    assert load_settings_file(path).heartbeat_period_s == period_s


@pytest.mark.parametrize(
    ("fields", "lease_s"), [({}, 10.0), ({"bounds": {"holdMaxMs": 6000}}, 6.0)]
)
def test_longest_lease_is_that_of_the_site(tmp_path, fields, lease_s):
    path = write_settings(tmp_path, SETTINGS | fields)
    assert load_settings_file(path).max_lease_s == lease_s


@pytest.mark.parametrize(
    ("value", "run_times"),
    [(None, "declared"), ("declared", "declared"), ("learned", "learned")],
)
def test_source_of_run_times_is_a_variable(
    tmp_path, monkeypatch, value, run_times
):
    monkeypatch.delenv(RUN_TIMES_VARIABLE, raising=False)
    if value is not None:
        monkeypatch.setenv(RUN_TIMES_VARIABLE, value)
    path = write_settings(tmp_path, SETTINGS)
    assert load_settings_file(path).run_times == run_times


@pytest.mark.parametrize("value", ["", "Learned", "x" * 999])
def test_unknown_source_of_run_times_is_rejected(tmp_path, monkeypatch, value):
    monkeypatch.setenv(RUN_TIMES_VARIABLE, value)
    path = write_settings(tmp_path, SETTINGS)
    with pytest.raises(FilbertlbError, match="declared, learned") as caught:
        load_settings_file(path)
    assert caught.value.code == "run_times_setting"
    assert len(str(caught.value)) < 300


@pytest.mark.parametrize(
    ("bounds", "costs"),
    [
        ({}, (2.0, 100)),
        ({"bounds": {"unknown": 1}}, (2.0, 100)),
        ({"bounds": {"checkpointIntervalS": 0.5}}, (0.5, 100)),
        ({"bounds": {"checkpointIntervalS": 1, "restoreMs": 600}}, (1, 600)),
    ],
)
def test_costs_of_checkpoints_are_those_of_the_deployment(
    tmp_path, bounds, costs
):
    settings = load_settings_file(write_settings(tmp_path, SETTINGS | bounds))
    assert (settings.checkpoint_interval_s, settings.restore_ms) == costs


@pytest.mark.parametrize(
    ("fields", "evacuate_ms"),
    [
        ({}, 0),
        ({"bounds": {}}, 0),
        ({"bounds": {"evacuateMs": None}}, 0),
        ({"bounds": {"evacuateMs": 0}}, 0),
        ({"bounds": {"evacuateMs": 2000}}, 2000),
        ({"bounds": {"evacuateMs": 5000, "reclaimMs": 2700}}, 5000),
    ],
)
def test_deployment_without_a_bound_has_no_evacuation(
    tmp_path, fields, evacuate_ms
):
    path = write_settings(tmp_path, SETTINGS | fields)
    assert load_settings_file(path).evacuate_ms == evacuate_ms


@pytest.mark.parametrize(
    "body",
    [
        "",
        "{",
        {},
        SETTINGS | {"platform": {}},
        SETTINGS | {"portRange": "x"},
        SETTINGS | {"bounds": {"restoreMs": -1}},
        SETTINGS | {"bounds": {"checkpointIntervalS": "2"}},
    ],
)
def test_invalid_file_is_rejected(tmp_path, body):
    path = write_settings(tmp_path, body)
    with pytest.raises(SettingsFileError, match="cannot be used"):
        load_settings_file(path)
    result = CliRunner().invoke(main, ["platform", "settings", path])
    assert result.exit_code == ExitCode.REFUSED


@pytest.mark.parametrize("evacuate_ms", [1, 1000, 1999])
def test_bound_of_evacuations_below_two_polls_is_rejected(
    tmp_path, evacuate_ms
):
    # The known requests would be outdated between two polls, and an entry
    # that decides would place nothing most of the time.
    body = SETTINGS | {"bounds": {"evacuateMs": evacuate_ms}}
    path = write_settings(tmp_path, body)
    expected = f"'evacuateMs' in 'bounds' is {evacuate_ms}; set it to 2000"
    with pytest.raises(SettingsFileError, match=expected) as caught:
        load_settings_file(path)
    assert caught.value.code == "settings_file"


def test_shortest_bound_of_evacuations_covers_a_poll():
    assert MAX_AGE_SHARE * MIN_EVACUATE_MS / 1000 > POLL_S


def test_settings_command_shows_loaded_settings(tmp_path):
    path = write_settings(tmp_path, SETTINGS)
    result = CliRunner().invoke(main, ["platform", "settings", path])
    assert "store_address: 10.0.0.9:8524" in result.output


@pytest.mark.parametrize(
    ("value", "order"),
    [
        (None, QueueOrder.DEADLINE),
        ("deadline", QueueOrder.DEADLINE),
        ("benefit", QueueOrder.BENEFIT),
    ],
)
def test_queue_order_is_read_from_the_environment(
    value, order, tmp_path, monkeypatch
):
    # Deployments that do not select an order are served as before.
    monkeypatch.delenv(QUEUE_ORDER_VARIABLE, raising=False)
    if value is not None:
        monkeypatch.setenv(QUEUE_ORDER_VARIABLE, value)
    path = write_settings(tmp_path, SETTINGS)
    assert load_settings_file(path).queue_order is order


@pytest.mark.parametrize("value", ["", "fair", "x" * 999])
def test_unknown_queue_order_is_a_coded_error(tmp_path, monkeypatch, value):
    # An empty value selected the default, unlike that of the run times, and
    # a long one was shown whole.
    monkeypatch.setenv(QUEUE_ORDER_VARIABLE, value)
    path = write_settings(tmp_path, SETTINGS)
    expected = f"{value[:80]!r}; set it to one of deadline, benefit"
    with pytest.raises(QueueOrderSettingError, match=expected) as caught:
        load_settings_file(path)
    assert caught.value.code == "queue_order_setting"
    assert len(str(caught.value)) < 300
