from __future__ import annotations

from json import dumps
from pathlib import Path
from re import DOTALL
from re import findall
from re import MULTILINE
from typing import get_args
from typing import get_type_hints

import attrs
import pytest

from filbertlb.backend.fake import FakeCommand
from filbertlb.settings.load import load_settings
from filbertlb.settings.process import ProcessSettings

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
PAGES = sorted([*ROOT.glob("*.md"), *DOCS.rglob("*.md")])


def read(name):
    return (DOCS / name).read_text(encoding="utf-8")


def default_by_key(cls, prefix=""):
    """Return the default of each setting as its page shows it."""
    defaults = {}
    for field in attrs.fields(cls):
        hint = get_type_hints(cls)[field.name]
        nested = [part for part in (hint, *get_args(hint)) if attrs.has(part)]
        key = f"{prefix}{field.name}"
        if field.default is attrs.NOTHING:
            defaults[key] = "required"
        elif not nested or field.default is None:
            defaults[key] = f"`{dumps(field.default)}`"
        if nested:
            defaults |= default_by_key(nested[0], f"{key}.")
    return defaults


def test_settings_page_lists_every_key_with_its_default():
    rows = findall(
        r"^\| `([a-z_.]+)` \|.*\| ([^|]+) \|[^|]+\|$",
        read("settings.md"),
        flags=MULTILINE,
    )
    assert dict(rows) == default_by_key(ProcessSettings)


def test_settings_examples_are_valid(tmp_path):
    examples = findall(r"```json\n(.*?)```", read("settings.md"), flags=DOTALL)
    assert len(examples) == 2
    for text in examples:
        path = tmp_path / "example.json"
        path.write_text(text)
        assert load_settings([path], ProcessSettings).instance_id in text


def test_running_page_lists_the_members_of_a_stand_in_command():
    rows = findall(
        r"^\| `(\w+)` \|.*\| `(.+)` \|$",
        read("operators/running.md"),
        flags=MULTILINE,
    )
    assert [name for name, _ in rows] == [
        field.name for field in attrs.fields(FakeCommand)
    ]
    for name, default in rows:
        wanted = getattr(FakeCommand(), name)
        assert default == dumps(wanted).removesuffix(".0")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_between_pages_resolve(page):
    targets = findall(r"\]\(([^)#:]+)\)", page.read_text(encoding="utf-8"))
    missing = [name for name in targets if not (page.parent / name).exists()]
    assert missing == []


def test_glossary_is_in_order_and_names_existing_folders():
    rows = findall(
        r"^\| ([a-z][a-z -]+) \|.*\| (.+) \|$",
        read("glossary.md"),
        flags=MULTILINE,
    )
    terms = [term for term, _ in rows]
    assert terms == sorted(terms)
    folders = findall(r"`(filbertlb/[a-z]+/)`", " ".join(w for _, w in rows))
    assert folders
    assert all((ROOT / folder).is_dir() for folder in folders)
