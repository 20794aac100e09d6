from __future__ import annotations

from importlib.resources import files
from json import dumps
from json import loads

import pytest
from attrs import evolve
from msgspec.json import decode
from msgspec.json import encode

from filbertlb.core.site import load_site
from filbertlb.core.site import SiteConfig
from filbertlb.scheduling.config import WeightProfile
from filbertlb.scheduling.dry_run import broken_guarantees
from filbertlb.settings.load import SettingsError

EXAMPLES = files("filbertlb") / "examples"


def example(site):
    return load_site(
        [EXAMPLES / "base.json", EXAMPLES / site / "overlay.json"]
    )


@pytest.mark.parametrize(
    ("site", "domains", "cores", "profile"),
    [
        ("jadran", 3, 30.0, WeightProfile.COMPLETION_TIME),
        ("qureshi", 4, 130.0, WeightProfile.FRAGMENTATION),
    ],
)
def test_example_sites_are_valid(site, domains, cores, profile):
    config = example(site)
    assert config.site == site
    assert len(config.failure_domains) == domains
    assert len(config.scopes) == 1
    assert len(config.model_organisations()) == 4
    assert config.scheduler.profile is profile
    workers = config.expected_workers()
    assert len({worker.worker_id for worker in workers}) == 10
    assert {worker.capacity.cores for worker in workers} == {cores}
    assert decode(encode(config), type=SiteConfig) == config
    assert broken_guarantees(config) == []


def test_dry_run_reports_guarantees_that_become_unplaceable():
    config = example("jadran")
    workers = [
        worker
        for worker in config.expected_workers()
        if worker.rack in ("zadar-c-1", "zadar-c-2")
    ]
    problems = broken_guarantees(config, workers=workers[-1:])
    assert any("dive-footage.guarantees.stabilisation" in x for x in problems)
    assert broken_guarantees(config, config, workers[-1:]) == []
    archive = config.organisations["archive"]
    transcodes = archive.guarantees["transcodes"]
    grown = evolve(
        config,
        organisations={
            **config.organisations,
            "archive": evolve(
                archive,
                guarantees={"transcodes": evolve(transcodes, count=10)},
            ),
        },
    )
    assert grown.model_organisations("dalmatia") == grown.model_organisations()
    assert grown.model_organisations("north")[0].guarantees == ()
    (problem,) = broken_guarantees(grown, config, workers)
    assert "archive.guarantees.transcodes" in problem


def set_value(tree, path, value):
    *parents, last = path.split("/")
    for key in parents:
        tree = tree.setdefault(key, {})
    tree[last] = value


ARCHIVE = "organisations/archive"
SHAPE = f"{ARCHIVE}/guarantees/transcodes/shape"


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        ("limits/gang_member", 3, "did you mean 'gang_members'"),
        ("limits/gang_members", "3", "limits.gang_members: '3'"),
        ("limits/gang_members", 0, "limits.gang_members: 0"),
        ("site", "Jadran", "site: 'Jadran'"),
        ("scheduler/profile", "fast", "'fast' does not fit; write one of"),
        (
            "failure_domains/Split C",
            {"region": "x"},
            "'Split C' is not a valid name",
        ),
        (
            "failure_domains/split-b/racks/split-a-1",
            {"workers": 1, "each": {}},
            "rack 'split-a-1' is also in 'split-a'",
        ),
        (f"{SHAPE}/failure_domain", "split-z", "use one of ['split-a'"),
        (f"{SHAPE}/members", 65, "65 is more than limits.gang_members 64"),
        (f"{ARCHIVE}/quota_accelerators", 3, "3 is less than the 4"),
        (f"{SHAPE}/members", 40, "organisations.archive.quota_accelerators"),
        (
            "failure_domains/split-a/scope",
            "split",
            "previews.scope: None is not a scope; use one of ['dalmatia'",
        ),
        ("lease/margin_s", 3.0, "3.0 is not less than ttl_s 3.0"),
        (
            "organisations/dive-footage/guarantees/stabilisation/count",
            4,
            "116 accelerators are guaranteed but the racks have 80",
        ),
    ],
)
def test_error_names_file_key_value_and_correction(
    tmp_path, path, value, message
):
    overlay = EXAMPLES / "jadran" / "overlay.json"
    tree = loads(overlay.read_text())
    set_value(tree, path, value)
    invalid = tmp_path / "overlay.json"
    invalid.write_text(dumps(tree))
    with pytest.raises(SettingsError) as caught:
        load_site([EXAMPLES / "base.json", invalid])
    assert message in caught.value.message
    assert str(invalid) in caught.value.message
