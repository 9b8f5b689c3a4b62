"""State charts: state machines that are loaded from JSON documents and run by the cores."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, TypedDict


class StateDocument(TypedDict):
    """One state of a chart document; ``on`` maps each event to the state that it leads to."""

    on: dict[str, str]


class ChartDocument(TypedDict):
    """A state chart in the form of its JSON file."""

    initial: str
    states: dict[str, StateDocument]


class Transition(NamedTuple):
    """The result of applying an event to a state.

    :param state: the state after the event.
    :param is_allowed: whether the chart defines a transition for the event in the original state.
    """

    state: str
    is_allowed: bool


class StateChart:
    """A stateless transition table, which any number of state machines can share.

    :param document: the contents of the chart's JSON file.
    :raises ValueError: if a transition or the initial state refers to an undefined state.
    """

    def __init__(self, document: ChartDocument) -> None:
        self._initial = document["initial"]
        self._transitions: Mapping[str, Mapping[str, str]] = {
            name: state["on"] for name, state in document["states"].items()
        }
        referenced = {to for events in self._transitions.values() for to in events.values()}
        undefined = ({self._initial} | referenced) - set(self._transitions)
        if undefined:
            raise ValueError(f"chart refers to undefined states: {', '.join(sorted(undefined))}")

    @property
    def initial(self) -> str:
        """The initial state of a state machine."""
        return self._initial

    @property
    def states(self) -> frozenset[str]:
        """The names of all states."""
        return frozenset(self._transitions)

    def next(self, state: str, event: str) -> Transition:
        """Return the transition for an event; an event without a transition keeps the state."""
        next_state = self._transitions[state].get(event)
        if next_state is None:
            return Transition(state, False)
        return Transition(next_state, True)
