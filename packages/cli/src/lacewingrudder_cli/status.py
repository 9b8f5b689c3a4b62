"""``lwr status``: the accepted revision, and the hosts on which it is in force."""

from __future__ import annotations

import json

import click
from lacewingrudder_core.messages import ControlStatus, HostStatus, Status, StatusRequest
from lacewingrudder_core.types import Endpoint
from lacewingrudder_wire.client import request

from .options import control_option, json_option


@click.command()
@control_option
@json_option
def status(controls: tuple[Endpoint, ...], as_json: bool) -> None:
    """Show the accepted revision and hosts that have not confirmed it.

    A revision is accepted once a majority of the control hosts have stored it on disk. It is known
    to be in force on an entry host once that host confirms it.
    """
    answer: Status = request(controls, StatusRequest())
    click.echo(json.dumps(status_document(answer)) if as_json else status_text(answer))


def status_document(answer: Status) -> dict[str, object]:
    """Convert a status to a JSON document."""
    return answer._asdict() | {
        "hosts": [host._asdict() for host in answer.hosts],
        "controls": [control._asdict() for control in answer.controls],
    }


def status_text(answer: Status) -> str:
    """Format a status as text."""
    lines = [_first_line(answer)]
    if answer.evacuated_zones:
        lines.append(evacuation_text(answer))
    lines += [_control_line(control) for control in answer.controls]
    lines += [_host_line(host, answer) for host in answer.hosts]
    lines += [f"entry    {name:<16} no report to any control host" for name in answer.unheard]
    lines.append(confirmation_text(answer))
    return "\n".join(lines)


def confirmation_text(answer: Status) -> str:
    """Format the number of hosts with the revision in force, and the names of the others."""
    unconfirmed = (*answer.missing, *answer.unheard)
    count = len(answer.hosts) + len(answer.unheard)
    text = (
        f"revision {answer.revision} in force on {count - len(unconfirmed)} of {count} entry hosts"
    )
    return f"{text}; not confirmed by: {', '.join(unconfirmed)}" if unconfirmed else text


def evacuation_text(answer: Status) -> str:
    """Format the names of the evacuated zones."""
    return f"evacuated zones: {', '.join(answer.evacuated_zones) or 'none'}"


def _first_line(answer: Status) -> str:
    if answer.accepting:
        return f"revision {answer.revision}, leader {answer.leader}, accepting"
    return (
        f"revision {answer.revision}, no leader reachable, not accepting changes: "
        "hosts keep serving with their current configuration"
    )


def _control_line(control: ControlStatus) -> str:
    state = "no answer" if control.revision is None else f"revision {control.revision}"
    return f"control  {control.name:<16} {state}"


def _host_line(host: HostStatus, answer: Status) -> str:
    prefix = f"entry    {host.name:<16} {host.zone:<12} revision {host.revision}"
    if host.name not in answer.missing:
        return f"{prefix}, in force"
    if host.revision < answer.revision:
        return f"{prefix}, behind, last report {host.age:.1f} s ago"
    return f"{prefix}, not confirmed recently, last report {host.age:.1f} s ago"
