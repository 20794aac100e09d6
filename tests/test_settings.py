from __future__ import annotations

from json import dumps

import pytest

from filbertlb.messages import Role
from filbertlb.settings.load import load_settings
from filbertlb.settings.load import SettingsError
from filbertlb.settings.process import ProcessSettings

KEY = "1:c2VjcmV0"
ENTRY = {"role": "entry", "instance_id": "e1", "keys": [KEY]}
ENDPOINT = {
    "endpoint_id": "w1",
    "role": "worker",
    "capacity": {"accelerators": 8, "cores": 30, "memory_gib": 128},
}


@pytest.fixture
def load(tmp_path):
    def write_and_load(*documents):
        paths = []
        for index, document in enumerate(documents):
            path = tmp_path / f"file{index}.json"
            text = document if isinstance(document, str) else dumps(document)
            path.write_text(text)
            paths.append(path)
        return load_settings(paths, ProcessSettings)

    return write_and_load


def test_overlay_is_merged_key_by_key(load):
    base = ENTRY | {"limits": {"drain_s": 5, "connections": 10}}
    overlay = {
        "role": "agent",
        "limits": {"drain_s": 9},
        "keys": ["2:a", "1:b"],
        "endpoint": ENDPOINT,
    }
    settings = load(base, overlay)
    assert settings.limits.drain_s == 9.0
    assert settings.limits.connections == 10
    assert settings.keys == ("2:a", "1:b")
    assert settings.endpoint.role == Role.WORKER
    assert settings.endpoint.capacity.accelerators == 8
    assert "2:a" not in repr(settings)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"link_prot": 1}, "link_prot: unknown key; did you mean 'link_port'"),
        ({"zzz": 1}, "zzz: unknown key; use one of ['address'"),
        ({"limits": {"drain_s": "9"}}, "limits.drain_s: '9' does not fit;"),
        ({"limits": {"drain_s": 0}}, "limits.drain_s: 0 is not allowed: "),
        ({"limits": []}, "limits: [] is not an object; write {...}"),
        ({"http_port": 70000}, "http_port: 70000 is not allowed: "),
        ({"http_port": True}, "http_port: True does not fit; write a whole"),
        ({"http_port": 80.5}, "http_port: 80.5 does not fit; write a whole"),
        ({"address": "here"}, "address: 'here' is not allowed: "),
        ({"role": "entri"}, "role: 'entri' does not fit; write one of ['en"),
        ({"table_url": "db:1"}, "table_url: 'db:1' is not allowed: "),
        ({"keys": KEY}, "keys: *** is not a list;"),
        ({"logs": {"level": "LOUD"}}, "logs.level: 'LOUD' is not allowed: "),
        ({"endpoint": {"role": "runner"}}, "endpoint.endpoint_id: missing;"),
        ({"role": "agent"}, "an agent needs 'endpoint'; add"),
        ({"keys": []}, "'keys' is empty; add at least one"),
        ({"keys": [7]}, "keys[0]: *** does not fit; write a text"),
        (
            {"endpoint": ENDPOINT | {"capacity": {"accelerators": -1}}},
            "endpoint.capacity.accelerators: -1 is not allowed: ",
        ),
    ],
)
def test_mistake_names_file_key_value_and_mend(load, change, message):
    with pytest.raises(SettingsError) as caught:
        load(ENTRY, change)
    assert message in caught.value.message
    assert "file1.json" in caught.value.message


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("{", "not valid JSON: "),
        ("[]", "holds no object"),
        ('{"role": "entry", "role": "agent"}', "['role'] stand twice"),
        ('{"limits": {"drain_s": NaN}}', "'NaN' is no JSON number"),
    ],
)
def test_malformed_file_is_named(load, text, message):
    with pytest.raises(SettingsError) as caught:
        load(ENTRY, text)
    assert message in caught.value.message
    assert "file1.json" in caught.value.message


def test_missing_file_and_missing_key_are_named(load, tmp_path):
    with pytest.raises(SettingsError, match="instance_id: missing; add it"):
        load({"role": "entry"})
    missing = tmp_path / "missing.json"
    with pytest.raises(SettingsError, match="missing.json: No such file"):
        load_settings([missing], ProcessSettings)
