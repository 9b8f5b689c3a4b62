"""State charts that are read from documents and interpreted by the cores."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, TypedDict


class StateDocument(TypedDict):
    """One state of a chart document: which event leads to which state."""

    on: dict[str, str]


class ChartDocument(TypedDict):
    """A chart as its JSON file holds it."""

    initial: str
    states: dict[str, StateDocument]


class Transition(NamedTuple):
    """The answer of a chart to an event.

    :param allowed: whether the chart names the event in the state it was asked for.
    """

    state: str
    allowed: bool


class StateChart:
    """A state chart; it holds no current state, so that one chart serves many machines.

    :param document: the chart as its file holds it.
    :raises ValueError: if a transition or the initial state leads to a state that is not there.
    """

    def __init__(self, document: ChartDocument) -> None:
        self._initial = document["initial"]
        self._transitions: Mapping[str, Mapping[str, str]] = {
            name: state["on"] for name, state in document["states"].items()
        }
        reachable = {to for events in self._transitions.values() for to in events.values()}
        missing = ({self._initial} | reachable) - set(self._transitions)
        if missing:
            raise ValueError(f"chart leads to unknown states: {', '.join(sorted(missing))}")

    @property
    def initial(self) -> str:
        """The state in which a new machine starts."""
        return self._initial

    @property
    def states(self) -> frozenset[str]:
        """The names of all states."""
        return frozenset(self._transitions)

    def next(self, state: str, event: str) -> Transition:
        """Return the state after an event; an event the chart does not name changes nothing."""
        following = self._transitions[state].get(event)
        if following is None:
            return Transition(state, False)
        return Transition(following, True)
