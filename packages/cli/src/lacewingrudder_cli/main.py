"""Entry point of the ``lwr`` command, with ``lwr check`` and ``lwr submit``."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any, NoReturn

import click
from lacewingrudder_core.messages import OperatorReply, SubmitNote
from lacewingrudder_core.notes import SubmitReply, SubmitTag
from lacewingrudder_core.types import Endpoint
from lacewingrudder_wire.client import request
from lacewingrudder_wire.documents import read_document, read_note
from lacewingrudder_wire.exceptions import DocumentError, LacewingrudderError

from .explain import explain
from .options import control_option, json_option
from .orders import drain, evacuate, restore, restore_zone, withdraw
from .outcomes import EXIT_CODES, reply_text
from .status import status
from .timeline import timeline


class ErrorGroup(click.Group):
    """A command group that reports errors of this project and exits with their exit codes."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the selected command; print an error of this project and exit with its code."""
        try:
            return super().invoke(ctx)
        except LacewingrudderError as error:
            click.echo(f"lwr: {error}", err=True)
            sys.exit(error.exit_code)


@click.group(cls=ErrorGroup)
def cli() -> None:
    """Operate a lacewingrudder load balancer.

    Release notes describe services: check a note, submit it, and use status to see when it is in
    force on all entry hosts. Orders drain, withdraw or restore a single target, or evacuate or
    restore a zone. The timeline shows the events of all processes. Explain shows where an entry
    host would send a new flow.

    \b
    Exit codes: 0 done, 2 usage error or invalid input, 3 conflict, 4 refused (not accepted),
    5 unknown (may have been accepted; send it again). Those of explain are in its own help.
    """


@cli.command()
@click.argument("file", type=click.Path(path_type=Path))
@json_option
def check(file: Path, as_json: bool) -> None:
    """Validate a settings file or a release note."""
    try:
        _validate_file(file)
    except DocumentError as error:
        _exit_with_invalid_document(error, as_json)
    click.echo(json.dumps({"valid": True}) if as_json else f"{file}: valid")


@cli.command()
@click.argument("note", type=click.Path(path_type=Path))
@control_option
@json_option
def submit(note: Path, controls: tuple[Endpoint, ...], as_json: bool) -> None:
    """Submit a release note."""
    try:
        contents = read_note(note)
    except DocumentError as error:
        _exit_with_invalid_document(error, as_json)
    _exit_with_reply(request(controls, SubmitNote(contents)), as_json)


for command in (status, drain, withdraw, restore, evacuate, restore_zone, timeline, explain):
    cli.add_command(command)


def _validate_file(file: Path) -> None:
    try:
        document = json.loads(file.read_text("utf-8"))
    except (OSError, ValueError):
        document = {}
    if isinstance(document, dict) and "roles" in document:
        read_document(file, "settings")
    else:
        read_note(file)


def _exit_with_invalid_document(error: DocumentError, as_json: bool) -> NoReturn:
    if not as_json:
        raise error
    problem = {"file": error.file, "field": error.field, "reason": error.reason}
    click.echo(json.dumps({"valid": False, "tag": SubmitTag.INVALID} | problem))
    sys.exit(error.exit_code)


def _exit_with_reply(answer: OperatorReply, as_json: bool) -> None:
    reply: SubmitReply = answer.reply
    if as_json:
        click.echo(json.dumps(reply._asdict()))
    else:
        click.echo(reply_text(reply))
    sys.exit(EXIT_CODES[reply.tag])
