"""The task of a control host: owns its core and its disk."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lacewingrudder_core import control as core
from lacewingrudder_core.spread import SendHost
from lacewingrudder_core.types import HostName

from .recorder import Recorder
from .store import ChangeStore


class ControlTask:
    """Feeds a control core and carries out its effects.

    :param send: sends a message to a host.
    :param answer: answers an operator's request.
    """

    def __init__(
        self,
        control: core.ControlCore,
        store: ChangeStore,
        recorder: Recorder,
        send: Callable[[HostName, Any], None],
        answer: Callable[[int, Any], None],
    ) -> None:
        self._core = control
        self._store = store
        self._recorder = recorder
        self._send = send
        self._answer = answer

    def handle(self, event: core.ControlEvent) -> None:
        """Hand an event to the core and carry out its effects."""
        for effect in self._core.handle(event, asyncio.get_running_loop().time()):
            self._carry_out(effect)

    def close(self) -> None:
        """Close the files."""
        self._store.close()

    def _carry_out(self, effect: core.ControlEffect) -> None:
        match effect:
            case core.Reply(token, body):
                self._answer(token, body)
            case SendHost(host, body):
                self._send(host, body)
            case core.Persist(change):
                self._store.append(change)
                self._recorder.record("accepted", revision=change.revision)
                self.handle(core.Persisted(change))
