"""Test helper that runs ``lwr`` commands without a control host.

.. code-block:: python

    runner = LwrRunner(lambda body: OperatorReply(SubmitReply(SubmitTag.ACCEPTED, 7, "")))
    result = runner.run("drain", "10.0.0.1:9000")
    assert result.exit_code == 0
    assert runner.sent == [SubmitOrder(TargetOrder("10.0.0.1:9000", OrderAction.DRAIN))]
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence
from typing import Any
from unittest import mock

from click.testing import CliRunner, Result
from lacewingrudder_core.messages import OperatorRequest
from lacewingrudder_core.types import Endpoint

from . import main, orders, status

CONTROL = "127.0.0.1:7000"
_COMMANDS_WITHOUT_CONTROL = ("check", "timeline")


class LwrRunner:
    """Invokes commands and answers their requests in place of the control hosts.

    :param answer: called with each request; returns the answer, or raises the exception that the
        client would raise.
    """

    def __init__(self, answer: Callable[[OperatorRequest], Any]) -> None:
        self._answer = answer
        self.sent: list[OperatorRequest] = []

    def run(self, *arguments: str) -> Result:
        """Run a command, adding ``--control`` if the command has this option."""
        needs_control = bool(arguments) and arguments[0] not in _COMMANDS_WITHOUT_CONTROL
        control = ("--control", CONTROL) if needs_control else ()
        with contextlib.ExitStack() as stack:
            for module in (main, orders, status):
                stack.enter_context(mock.patch.object(module, "request", self._request))
            return CliRunner().invoke(main.cli, [*arguments, *control])

    def _request(self, controls: Sequence[Endpoint], body: OperatorRequest) -> Any:
        self.sent.append(body)
        return self._answer(body)
