"""``lwr drain``, ``lwr withdraw`` and ``lwr restore``: orders for a single target."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable

import click
from lacewingrudder_core.messages import OperatorReply, Status, StatusRequest, SubmitOrder
from lacewingrudder_core.notes import SubmitReply, SubmitTag
from lacewingrudder_core.types import Endpoint, OrderAction, TargetOrder
from lacewingrudder_wire.client import request
from lacewingrudder_wire.exceptions import UnreachableError

from .options import control_option, json_option
from .outcomes import EXIT_CODES, reply_text
from .status import confirmation_text

DEFAULT_WAIT_SECONDS = 3.0
POLL_INTERVAL_SECONDS = 0.2

wait_option = click.option(
    "--wait",
    type=click.FloatRange(0.0, 60.0),
    default=DEFAULT_WAIT_SECONDS,
    show_default=True,
    metavar="SECONDS",
    help="Maximum time to wait for all entry hosts to confirm the order.",
)


def _make_order_command(action: OrderAction, explanation: str) -> click.Command:
    def run(target: str, controls: tuple[Endpoint, ...], wait: float, as_json: bool) -> None:
        order = SubmitOrder(TargetOrder(target, action))
        answer: OperatorReply = request(controls, order)
        last_status = None
        if answer.reply.tag is SubmitTag.ACCEPTED and wait > 0:
            last_status = wait_until_confirmed(controls, answer.reply.revision, wait)
        click.echo(
            _format_json(answer.reply, last_status)
            if as_json
            else _format_text(answer.reply, last_status)
        )
        sys.exit(EXIT_CODES[answer.reply.tag])

    command: Callable[..., None] = run
    command = json_option(wait_option(control_option(click.argument("target")(command))))
    return click.command(action.value, help=explanation)(command)


drain = _make_order_command(
    OrderAction.DRAIN,
    "Stop sending new flows to TARGET, given as ADDRESS:PORT.\n\n"
    "Open flows continue. Entry hosts that can't be reached are listed; they keep sending new "
    "flows to the target until they receive the order.",
)
withdraw = _make_order_command(
    OrderAction.WITHDRAW,
    "Withdraw TARGET, given as ADDRESS:PORT, permanently.\n\n"
    "Open flows continue. Entry hosts that can't be reached are listed; they keep sending new "
    "flows to the target until they receive the order.",
)
restore = _make_order_command(
    OrderAction.RESTORE,
    "Revert a drain or a withdrawal of TARGET, given as ADDRESS:PORT.\n\n"
    "The target receives new flows again.",
)


def wait_until_confirmed(
    controls: tuple[Endpoint, ...], revision: int, seconds: float
) -> Status | None:
    """Wait until all entry hosts have confirmed a revision, or until a timeout.

    :param seconds: the timeout.
    :return: the last status, or ``None`` if the last status request got no answer.
    """
    deadline = time.monotonic() + seconds
    last_status: Status | None = None
    while True:
        try:
            last_status = request(controls, StatusRequest())
        except UnreachableError:
            last_status = None
        is_confirmed = (
            last_status is not None
            and last_status.revision >= revision
            and not unconfirmed_hosts(last_status)
        )
        if is_confirmed or time.monotonic() + POLL_INTERVAL_SECONDS > deadline:
            return last_status
        time.sleep(POLL_INTERVAL_SECONDS)


def unconfirmed_hosts(status: Status) -> tuple[str, ...]:
    """Return the entry hosts that have not confirmed the revision or never reported at all."""
    return (*status.missing, *status.unheard)


def _format_json(reply: SubmitReply, last_status: Status | None) -> str:
    document = reply._asdict()
    if last_status is not None:
        document["missing"] = list(unconfirmed_hosts(last_status))
    return json.dumps(document)


def _format_text(reply: SubmitReply, last_status: Status | None) -> str:
    lines = [reply_text(reply)]
    if reply.tag is SubmitTag.REFUSED:
        lines.append(
            "nothing changed: all hosts continue as before, including those in a partitioned zone"
        )
    if last_status is not None:
        lines.append(confirmation_text(last_status))
        if unconfirmed_hosts(last_status):
            lines.append(
                "hosts that have not confirmed may still send new flows to the target; "
                "those in a partitioned zone do so until the zone is reachable again"
            )
    return "\n".join(lines)
