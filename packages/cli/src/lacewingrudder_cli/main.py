"""The ``lwr`` command."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any, NoReturn

import click
from lacewingrudder_core.messages import OperatorReply, StatusRequest, SubmitNote, SubmitOrder
from lacewingrudder_core.notes import SubmitReply, SubmitTag
from lacewingrudder_core.types import Endpoint, OrderAction, TargetOrder
from lacewingrudder_wire.client import request
from lacewingrudder_wire.documents import read_document, read_note
from lacewingrudder_wire.exceptions import DocumentError, ExitCode, LacewingrudderError

_EXIT_CODES = {
    SubmitTag.ACCEPTED: ExitCode.DONE,
    SubmitTag.CONFLICT: ExitCode.CONFLICT,
    SubmitTag.REFUSED: ExitCode.REFUSED,
    SubmitTag.INVALID: ExitCode.INVALID,
    SubmitTag.UNKNOWN: ExitCode.UNKNOWN,
}


class EndpointType(click.ParamType[Endpoint]):
    """A parameter of the form ``ADDRESS:PORT``."""

    name = "ADDRESS:PORT"

    def convert(self, value: Any, param: Any, ctx: Any) -> Endpoint:
        """Return the endpoint, or fail with a usage error."""
        try:
            return Endpoint.parse(value)
        except ValueError as error:
            self.fail(f"{value}: {error}", param, ctx)


class ErrorGroup(click.Group):
    """A group that turns the project's errors into their exit codes."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command that the arguments name."""
        try:
            return super().invoke(ctx)
        except LacewingrudderError as error:
            click.echo(f"lwr: {error}", err=True)
            sys.exit(error.exit_code)


control_option = click.option(
    "--control",
    "controls",
    type=EndpointType(),
    multiple=True,
    required=True,
    help="Control host to ask; may be given many times.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group(cls=ErrorGroup)
def cli() -> None:
    """Operate a lacewingrudder load balancer."""


@cli.command()
@click.argument("file", type=click.Path(path_type=Path))
@json_option
def check(file: Path, as_json: bool) -> None:
    """Check a settings file or a release note."""
    try:
        _check_file(file)
    except DocumentError as error:
        _finish_invalid(error, as_json)
    click.echo(json.dumps({"valid": True}) if as_json else f"{file}: valid")


@cli.command()
@click.argument("note", type=click.Path(path_type=Path))
@control_option
@json_option
def submit(note: Path, controls: tuple[Endpoint, ...], as_json: bool) -> None:
    """Hand in a release note."""
    try:
        contents = read_note(note)
    except DocumentError as error:
        _finish_invalid(error, as_json)
    _finish(request(controls, SubmitNote(contents)), as_json)


@cli.command()
@click.argument("target")
@control_option
@json_option
def drain(target: str, controls: tuple[Endpoint, ...], as_json: bool) -> None:
    """End new flows to a target; its open flows go on."""
    order = TargetOrder(target, OrderAction.DRAIN)
    _finish(request(controls, SubmitOrder(order)), as_json)


@cli.command()
@click.argument("target")
@control_option
@json_option
def withdraw(target: str, controls: tuple[Endpoint, ...], as_json: bool) -> None:
    """Withdraw a target for good; its open flows go on."""
    order = TargetOrder(target, OrderAction.WITHDRAW)
    _finish(request(controls, SubmitOrder(order)), as_json)


@cli.command()
@click.argument("target")
@control_option
@json_option
def restore(target: str, controls: tuple[Endpoint, ...], as_json: bool) -> None:
    """Take back a drain or a withdrawal: the target takes new flows again."""
    order = TargetOrder(target, OrderAction.RESTORE)
    _finish(request(controls, SubmitOrder(order)), as_json)


@cli.command()
@control_option
@json_option
def status(controls: tuple[Endpoint, ...], as_json: bool) -> None:
    """Show the revision and the hosts that have not confirmed it."""
    answer = request(controls, StatusRequest())
    if as_json:
        hosts = [host._asdict() for host in answer.hosts]
        click.echo(json.dumps(answer._asdict() | {"hosts": hosts}))
        return
    click.echo(f"revision {answer.revision}, leader {answer.leader or 'none'}")
    for host in answer.hosts:
        click.echo(f"{host.name} ({host.zone}): revision {host.revision}")
    if answer.missing:
        click.echo(f"not in force on: {', '.join(answer.missing)}")


def _check_file(file: Path) -> None:
    try:
        document = json.loads(file.read_text("utf-8"))
    except (OSError, ValueError):
        document = {}
    if isinstance(document, dict) and "roles" in document:
        read_document(file, "settings")
    else:
        read_note(file)


def _finish_invalid(error: DocumentError, as_json: bool) -> NoReturn:
    if not as_json:
        raise error
    problem = {"file": error.file, "field": error.field, "reason": error.reason}
    click.echo(json.dumps({"valid": False, "tag": SubmitTag.INVALID} | problem))
    sys.exit(error.exit_code)


def _finish(answer: OperatorReply, as_json: bool) -> None:
    reply: SubmitReply = answer.reply
    if as_json:
        click.echo(json.dumps(reply._asdict()))
    else:
        click.echo(f"{reply.tag}: revision {reply.revision} {reply.detail}".rstrip())
    sys.exit(_EXIT_CODES[reply.tag])
