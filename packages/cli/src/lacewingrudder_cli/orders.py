"""Commands for operators' orders: for single targets, and for all targets of a zone."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable

import click
from lacewingrudder_core.messages import (
    OperatorReply,
    Status,
    StatusRequest,
    SubmitOrder,
    SubmitZoneOrder,
)
from lacewingrudder_core.notes import SubmitReply, SubmitTag, ZoneAction, ZoneOrder
from lacewingrudder_core.types import Endpoint, OrderAction, TargetOrder
from lacewingrudder_wire.client import request
from lacewingrudder_wire.exceptions import UnreachableError

from .options import control_option, json_option
from .outcomes import EXIT_CODES, reply_text
from .status import confirmation_text, evacuation_text

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
        reply, last_status = _submit(controls, order, wait)
        click.echo(
            _format_json(reply, last_status)
            if as_json
            else "\n".join(_text_lines(reply, last_status, "send new flows to the target"))
        )
        sys.exit(EXIT_CODES[reply.tag])

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


def _make_zone_command(
    name: str, action: ZoneAction, effect_before: str, explanation: str
) -> click.Command:
    """Return the command for a zone order.

    :param effect_before: what hosts do that do not have the order yet, for the operator.
    """

    def run(zone: str, controls: tuple[Endpoint, ...], wait: float, as_json: bool) -> None:
        order = SubmitZoneOrder(ZoneOrder(zone, action))
        reply, last_status = _submit(controls, order, wait)
        if as_json:
            click.echo(_format_json(reply, last_status))
        else:
            lines = _text_lines(reply, last_status, effect_before)
            if last_status is not None:
                lines += _zone_lines(zone, last_status)
            click.echo("\n".join(lines))
        sys.exit(EXIT_CODES[reply.tag])

    command: Callable[..., None] = run
    argument = click.argument("zone", callback=_check_zone)
    command = json_option(wait_option(control_option(argument(command))))
    return click.command(name, help=explanation)(command)


def _check_zone(context: click.Context, parameter: click.Parameter, value: str) -> str:
    if not value.strip():
        raise click.BadParameter("the name of a zone must not be empty")
    return value


evacuate = _make_zone_command(
    "evacuate",
    ZoneAction.EVACUATE,
    "send new flows to the zone",
    "Stop sending new flows to the targets of ZONE.\n\n"
    "Open flows continue. A service all of whose targets are in evacuated zones refuses new flows. "
    "Entry hosts that can't be reached are listed; they keep sending new flows to the zone until "
    "they receive the order.",
)
restore_zone = _make_zone_command(
    "restore-zone",
    ZoneAction.RESTORE,
    "send no new flows to the zone",
    "End the evacuation of ZONE.\n\n"
    "Its targets receive new flows again, as after a start: few at first. Orders for single "
    "targets stay in force.",
)


def _submit(
    controls: tuple[Endpoint, ...], order: SubmitOrder | SubmitZoneOrder, wait: float
) -> tuple[SubmitReply, Status | None]:
    """Submit an order and wait for the entry hosts to confirm it if it is accepted.

    :param wait: maximum time to wait, in seconds.
    :return: the answer, and the last status, or ``None`` if there was no wait or no status.
    """
    answer: OperatorReply = request(controls, order)
    if answer.reply.tag is not SubmitTag.ACCEPTED or wait <= 0:
        return answer.reply, None
    return answer.reply, wait_until_confirmed(controls, answer.reply.revision, wait)


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


def _text_lines(reply: SubmitReply, last_status: Status | None, effect_before: str) -> list[str]:
    lines = [reply_text(reply)]
    if reply.tag is SubmitTag.REFUSED:
        lines.append(
            "nothing changed: all hosts continue as before, including those in a partitioned zone"
        )
    if last_status is not None:
        lines.append(confirmation_text(last_status))
        if unconfirmed_hosts(last_status):
            lines.append(
                f"hosts that have not confirmed may still {effect_before}; "
                "those in a partitioned zone do so until the zone is reachable again"
            )
    return lines


def _zone_lines(zone: str, last_status: Status) -> list[str]:
    """Return the evacuated zones, and a warning if the zone may be misspelt.

    Control hosts accept any zone, because a zone may have targets but no entry host.
    """
    lines = [evacuation_text(last_status)]
    if zone not in {host.zone for host in last_status.hosts}:
        lines.append(f"warning: no entry host of zone {zone} has reported; check its name")
    return lines
