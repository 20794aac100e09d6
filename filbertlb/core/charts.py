"""State charts, read from JSON files and interpreted.

Running the module writes the page of diagrams, ``docs/charts.md``.
"""

from __future__ import annotations

import sys
from collections import Counter
from functools import cache
from importlib.resources import files
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
from msgspec import MsgspecError
from msgspec.json import decode
from transitions import Machine
from transitions import MachineError

from filbertlb.errors import ConflictError
from filbertlb.errors import InvalidInputError
from filbertlb.errors import NotFoundError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

CHARTS_PACKAGE = "filbertlb"
CHARTS_FOLDER = "charts"
PAGE_PATH = Path("docs") / "charts.md"


class InvalidChartError(InvalidInputError):
    """A chart's file contradicts itself or cannot be read."""

    code = "invalid_chart"


class ChartNotFoundError(NotFoundError):
    """There is no chart of this name."""

    code = "chart_not_found"


class IllegalTransitionError(ConflictError):
    """The chart has no such transition from the present state."""

    code = "illegal_transition"


@attrs.frozen
class Transition:
    """One arrow of a chart."""

    trigger: str
    source: str
    dest: str


@attrs.frozen
class Chart:
    """States of one kind of object and the moves between them.

    Parameters
    ----------
    initial : str
        State of a new object.
    final : tuple of str
        States without a way out.
    """

    name: str
    initial: str
    states: tuple[str, ...]
    final: tuple[str, ...]
    transitions: tuple[Transition, ...]

    def successors(self, state: str) -> frozenset[str]:
        """Return the states that one transition leads to."""
        return frozenset(
            move.dest for move in self.transitions if move.source == state
        )


@attrs.define
class LifecycleState:
    """State of one object; moved by its :class:`StateChart` only."""

    state: str


class StateChart:
    """Interprets one chart for any number of objects.

    One machine serves all objects and keeps no reference to them.

    Parameters
    ----------
    chart : Chart
        A checked chart.
    """

    def __init__(self, chart: Chart) -> None:
        self.chart = chart
        self._machine = Machine(
            model=None,
            states=list(chart.states),
            initial=chart.initial,
            transitions=[attrs.asdict(move) for move in chart.transitions],
            auto_transitions=False,
        )

    def new(self) -> LifecycleState:
        """Return a new object's life, in the initial state."""
        return LifecycleState(self.chart.initial)

    def fire(self, life: LifecycleState, trigger: str) -> None:
        """Move one object.

        Raises
        ------
        IllegalTransitionError
            If the trigger does not apply in the present state.
        """
        event = self._machine.events.get(trigger)
        try:
            if event is None:
                raise MachineError(f"no trigger {trigger!r}")
            event.trigger(life)
        except MachineError as error:
            raise IllegalTransitionError(
                f"a {self.chart.name} that is {life.state!r} cannot "
                f"{trigger!r}; read its state again"
            ) from error

    def after(self, state: str, trigger: str) -> str:
        """Return the state after a trigger.

        Raises
        ------
        IllegalTransitionError
            If the trigger does not apply in that state.
        """
        life = LifecycleState(state)
        self.fire(life, trigger)
        return life.state

    def allows(self, state: str, trigger: str) -> bool:
        """Tell whether a trigger applies in a state."""
        return trigger in self._machine.get_triggers(state)

    def is_final(self, state: str) -> bool:
        """Tell whether a state has no way out."""
        return state in self.chart.final


def parse_chart(text: str | bytes, source: str) -> Chart:
    """Return the chart of a JSON text, checked.

    Parameters
    ----------
    source : str
        Name of the file, for messages.

    Raises
    ------
    InvalidChartError
        If the chart contradicts itself.
    """
    try:
        chart = decode(text, type=Chart)
    except MsgspecError as error:
        raise InvalidChartError(f"{source}: {error}") from error
    for problem in _problems(chart):
        raise InvalidChartError(f"{source}: {problem}")
    return chart


def unreachable_states(chart: Chart) -> frozenset[str]:
    """Return the states that no object can come into."""
    return frozenset(chart.states) - _closure(chart, {chart.initial})


def dead_ends(chart: Chart) -> frozenset[str]:
    """Return the states from which no final state can be reached."""
    final = frozenset(chart.final)
    return frozenset(
        state for state in chart.states if not final & _closure(chart, {state})
    )


@cache
def state_chart(name: str) -> StateChart:
    """Return the interpreter of a shipped chart, shared by all callers.

    Raises
    ------
    ChartNotFoundError
        If there is no such chart.
    """
    charts = chart_by_name()
    if name not in charts:
        raise ChartNotFoundError(
            f"no chart {name!r}; there are {sorted(charts)!r}"
        )
    return StateChart(charts[name])


@cache
def chart_by_name() -> Mapping[str, Chart]:
    """Return all shipped charts."""
    folder = files(CHARTS_PACKAGE) / CHARTS_FOLDER
    texts = {
        entry.name: entry.read_bytes()
        for entry in folder.iterdir()
        if entry.name.endswith(".json")
    }
    charts = (parse_chart(texts[name], name) for name in sorted(texts))
    return {chart.name: chart for chart in charts}


def render_page(charts: Iterable[Chart]) -> str:
    """Return a Markdown page with a diagram for each chart."""
    lines = [
        "# State charts",
        "",
        "Written from `filbertlb/charts/*.json` by",
        "`python -m filbertlb.core.charts`.",
    ]
    for chart in charts:
        lines += ["", f"## {chart.name}", "", *_diagram(chart)]
    return "\n".join(lines) + "\n"


def main() -> None:
    """Write the page of all shipped charts below the working folder."""
    PAGE_PATH.parent.mkdir(exist_ok=True)
    page = render_page(chart_by_name().values())
    PAGE_PATH.write_text(page, encoding="utf-8")
    sys.stdout.write(f"wrote {PAGE_PATH}\n")


def _problems(chart: Chart) -> Iterable[str]:
    """Yield what contradicts itself in a chart."""
    known = set(chart.states)
    named = {chart.initial, *chart.final}
    for move in chart.transitions:
        named |= {move.source, move.dest}
    for state in sorted(named - known):
        yield f"state {state!r} is used but not among 'states'"
    for move in chart.transitions:
        if move.source in chart.final:
            yield f"final state {move.source!r} has a way out"
    arrows = Counter((m.source, m.trigger) for m in chart.transitions)
    for (source, trigger), count in arrows.items():
        if count > 1:
            yield f"{trigger!r} from {source!r} leads to {count} states"


def _closure(chart: Chart, start: set[str]) -> frozenset[str]:
    """Return the states that can be reached, with the start."""
    seen: set[str] = set()
    open_states = set(start)
    while open_states:
        state = open_states.pop()
        seen.add(state)
        open_states |= chart.successors(state) - seen
    return frozenset(seen)


def _diagram(chart: Chart) -> list[str]:
    arrows = [
        f"    {move.source} --> {move.dest}: {move.trigger}"
        for move in chart.transitions
    ]
    ends = [f"    {state} --> [*]" for state in chart.final]
    return [
        "```mermaid",
        "stateDiagram-v2",
        f"    [*] --> {chart.initial}",
        *arrows,
        *ends,
        "```",
    ]


if __name__ == "__main__":
    main()
