from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from filbertlb.backend.ledger import Ledger
from filbertlb.cli.demo import example_site
from filbertlb.cli.main import main
from filbertlb.core.model import JobClass
from filbertlb.demo.accounts import settle_accounts
from filbertlb.demo.night import JobArrival
from filbertlb.demo.night import Told


@pytest.mark.parametrize("site", ["jadran", "qureshi"])
def test_sample_night_accounts_for_everything(site):
    options = ["--jobs", "20", "--requests", "40", "--length-s", "3"]
    result = CliRunner().invoke(
        main, ["--json", "demo", "--site", site, *options]
    )
    accounts = json.loads(result.stdout)
    assert result.exit_code == 0, accounts
    assert sum(accounts["count_by_state"].values()) == 60
    assert accounts["lost"] == []


@pytest.mark.parametrize(
    ("state", "ran", "starts", "done", "blamed"),
    [
        ("succeeded", "yes", 2, 2, ()),
        ("succeeded", "yes", 2, 1, ("false_answers",)),
        ("succeeded", "yes", 3, 2, ("doubled",)),
        ("failed", "no", 1, 0, ("false_answers",)),
        ("running", "yes", 2, 0, ("lost",)),
    ],
)
def test_accounts_name_what_went_wrong(state, ran, starts, done, blamed):
    arrival = JobArrival(0, "k", "o", 2, 1, JobClass.GANG, 1.0, False)
    ledger = Ledger()
    ledger.starts_by_key["k"] = starts
    ledger.done_by_key["k"] = done
    accounts = settle_accounts([Told(arrival, state, ran, "j")], ledger)
    names = ("lost", "doubled", "half_run", "false_answers")
    assert tuple(n for n in names if getattr(accounts, n)) == blamed
    assert accounts.clean == (not blamed)


def test_examples_hold_todays_sizes():
    sizes = {
        site: len(example_site(site).expected_workers())
        for site in ("jadran", "qureshi")
    }
    assert sizes == {"jadran": 10, "qureshi": 10}
