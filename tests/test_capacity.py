from __future__ import annotations

import json

import pytest

from benchmarks.capacity_page import MarkerMissingError
from benchmarks.capacity_page import MEMBERSHIP
from benchmarks.capacity_page import PAGE
from benchmarks.capacity_page import rewritten
from benchmarks.capacity_page import tables_of
from benchmarks.capacity_process import Sample
from benchmarks.capacity_roles import margin
from benchmarks.capacity_roles import Row
from benchmarks.capacity_roles import Term
from benchmarks.capacity_site import FRAMING_BYTES
from benchmarks.capacity_site import use_between
from benchmarks.capacity_slopes import fit
from benchmarks.measure_capacity import RESULTS


def sample(cpu_s, frames, size, reads):
    kind = {"Announce": frames}
    return Sample(cpu_s, 1, kind, {}, {"Announce": size}, {}, reads, 0, 0)


def test_page_is_current_with_the_figures():
    results = json.loads(RESULTS.read_text(encoding="utf-8"))
    sizes = json.loads(MEMBERSHIP.read_text(encoding="utf-8"))["bytes"]
    page = PAGE.read_text(encoding="utf-8")
    assert rewritten(page, tables_of(results, sizes)) == page
    # Figures that differ show on the page.
    results["idle"][0]["use"]["decider"]["cpu"] *= 2
    assert rewritten(page, tables_of(results, sizes)) != page


@pytest.mark.parametrize("text", ["", "<!-- begin a -->\n"])
def test_page_without_marks_is_refused(text):
    with pytest.raises(MarkerMissingError):
        rewritten(text, {"a": "table\n"})


@pytest.mark.parametrize(
    ("counts", "values", "expected"),
    [
        ((10, 50, 100), (7, 27, 52), (2, 0.5, 0)),
        ((0, 1, 2), (0, 3, 0), (1, 0, 2)),
    ],
)
def test_line_of_least_squares(counts, values, expected):
    line = fit(counts, values)
    found = (line.base, line.slope, line.residual)
    assert found == pytest.approx(expected, abs=1e-9)


def test_rounding_error_is_no_residual():
    counts = [0.1 * number for number in range(1, 40)]
    line = fit(counts, [241.7 + count / 3 for count in counts])
    assert line.residual == 0
    assert fit((0, 1, 2), (0, 1e-6, 0)).residual > 0


@pytest.mark.parametrize(
    ("value", "limit", "expected"),
    [
        (25, 100, "75% left"),
        (100, 100, "0% left"),
        (150, 100, "**1.5 times the limit**"),
        (1, None, ""),
    ],
)
def test_margin(value, limit, expected):
    assert margin(value, limit) == expected


def test_row_shows_its_arithmetic():
    terms = (Term(1, 5.0), Term(4, 2.5))
    row = Row("cpu", (Term(2, 20.0),), terms, 30, "m")
    assert row.cells() == (
        "cpu",
        "40",
        "**1.33 times the limit**",
        "15",
        "5 + 4 x 2.5",
        "30",
        "50% left",
        "m",
    )


def test_use_is_a_rate_with_headers():
    first = (10.0, sample(cpu_s=1.0, frames=0, size=0, reads=3), 100)
    last = (14.0, sample(cpu_s=3.0, frames=8, size=800, reads=11), 500)
    use = use_between(first, last)
    assert (use.cpu, use.table_reads, use.table_bytes) == (0.5, 2.0, 100.0)
    assert use.bytes_in == 200 + 2 * FRAMING_BYTES
    assert use.bytes_out == 0
