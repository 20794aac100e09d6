"""State charts: loading from JSON files, validation and execution.

Running the module writes the diagrams of all charts to
``docs/charts.md``.
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
    """The file of a state chart is inconsistent or malformed."""

    code = "invalid_chart"


class ChartNotFoundError(NotFoundError):
    """There is no state chart with this name."""

    code = "chart_not_found"


class IllegalTransitionError(ConflictError):
    """The state chart has no such transition from the current state."""

    code = "illegal_transition"


@attrs.frozen
class Transition:
    """One transition of a state chart."""

    trigger: str
    source: str
    dest: str


@attrs.frozen
class Chart:
    """States and transitions of one kind of object.

    Parameters
    ----------
    initial : str
        State of a new object.
    final : tuple of str
        States without outgoing transitions.
    """

    name: str
    initial: str
    states: tuple[str, ...]
    final: tuple[str, ...]
    transitions: tuple[Transition, ...]

    def successors(self, state: str) -> frozenset[str]:
        """Return the states reachable by a single transition."""
        return frozenset(
            transition.dest
            for transition in self.transitions
            if transition.source == state
        )


@attrs.define
class LifecycleState:
    """Current state of one object; changed by `StateChart.fire` only."""

    state: str


class StateChart:
    """Executes the transitions of one chart for any number of objects.

    All objects share one state machine, which keeps no references to
    them.

    Parameters
    ----------
    chart : Chart
        A validated chart.
    """

    def __init__(self, chart: Chart) -> None:
        self.chart = chart
        self._machine = Machine(
            model=None,
            states=list(chart.states),
            initial=chart.initial,
            transitions=[
                attrs.asdict(transition) for transition in chart.transitions
            ],
            auto_transitions=False,
        )

    def new(self) -> LifecycleState:
        """Return the state of a new object."""
        return LifecycleState(self.chart.initial)

    def fire(self, lifecycle: LifecycleState, trigger: str) -> None:
        """Apply a trigger to one object.

        Raises
        ------
        IllegalTransitionError
            If the current state has no transition for the trigger.
        """
        event = self._machine.events.get(trigger)
        try:
            if event is None:
                raise MachineError(f"no trigger {trigger!r}")
            event.trigger(lifecycle)
        except MachineError as error:
            raise IllegalTransitionError(
                f"{self.chart.name} in state {lifecycle.state!r} has no "
                f"transition {trigger!r}; read its state again"
            ) from error

    def after(self, state: str, trigger: str) -> str:
        """Return the state that a trigger leads to.

        Raises
        ------
        IllegalTransitionError
            If the state has no transition for the trigger.
        """
        lifecycle = LifecycleState(state)
        self.fire(lifecycle, trigger)
        return lifecycle.state

    def allows(self, state: str, trigger: str) -> bool:
        """Return whether a state has a transition for a trigger."""
        return trigger in self._machine.get_triggers(state)

    def is_final(self, state: str) -> bool:
        """Return whether a state is final."""
        return state in self.chart.final


def parse_chart(text: str | bytes, source: str) -> Chart:
    """Parse and validate a chart in JSON.

    Parameters
    ----------
    source : str
        File name for error messages.

    Raises
    ------
    InvalidChartError
        If the text is malformed or the chart is inconsistent.
    """
    try:
        chart = decode(text, type=Chart)
    except MsgspecError as error:
        raise InvalidChartError(f"{source}: {error}") from error
    for problem in _inconsistencies(chart):
        raise InvalidChartError(f"{source}: {problem}")
    return chart


def unreachable_states(chart: Chart) -> frozenset[str]:
    """Return the states that cannot be reached from the initial state."""
    return frozenset(chart.states) - _reachable_from(chart, {chart.initial})


def dead_ends(chart: Chart) -> frozenset[str]:
    """Return the states from which no final state can be reached."""
    final = frozenset(chart.final)
    return frozenset(
        state
        for state in chart.states
        if not final & _reachable_from(chart, {state})
    )


@cache
def state_chart(name: str) -> StateChart:
    """Return the cached `StateChart` of a packaged chart.

    Raises
    ------
    ChartNotFoundError
        If there is no chart with this name.
    """
    charts = chart_by_name()
    if name not in charts:
        raise ChartNotFoundError(
            f"no state chart {name!r}; use one of {sorted(charts)!r}"
        )
    return StateChart(charts[name])


@cache
def chart_by_name() -> Mapping[str, Chart]:
    """Return all packaged charts by name."""
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
    """Write the page of all packaged charts, in the working directory."""
    PAGE_PATH.parent.mkdir(exist_ok=True)
    page = render_page(chart_by_name().values())
    PAGE_PATH.write_text(page, encoding="utf-8")
    sys.stdout.write(f"wrote {PAGE_PATH}\n")


def _inconsistencies(chart: Chart) -> Iterable[str]:
    """Yield a message for each inconsistency of a chart."""
    declared = set(chart.states)
    used = {chart.initial, *chart.final}
    for transition in chart.transitions:
        used |= {transition.source, transition.dest}
    for state in sorted(used - declared):
        yield f"state {state!r} is used but not listed in 'states'"
    for transition in chart.transitions:
        if transition.source in chart.final:
            yield (
                f"final state {transition.source!r} has an outgoing transition"
            )
    counts = Counter((m.source, m.trigger) for m in chart.transitions)
    for (source, trigger), count in counts.items():
        if count > 1:
            yield f"{trigger!r} from {source!r} leads to {count} states"


def _reachable_from(chart: Chart, start: set[str]) -> frozenset[str]:
    """Return the given states and all states reachable from them."""
    visited: set[str] = set()
    pending = set(start)
    while pending:
        state = pending.pop()
        visited.add(state)
        pending |= chart.successors(state) - visited
    return frozenset(visited)


def _diagram(chart: Chart) -> list[str]:
    transitions = [
        f"    {transition.source} --> {transition.dest}: {transition.trigger}"
        for transition in chart.transitions
    ]
    ends = [f"    {state} --> [*]" for state in chart.final]
    return [
        "```mermaid",
        "stateDiagram-v2",
        f"    [*] --> {chart.initial}",
        *transitions,
        *ends,
        "```",
    ]


if __name__ == "__main__":
    main()
