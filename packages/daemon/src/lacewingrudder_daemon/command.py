"""The ``lacewingrudderd`` command."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from pathlib import Path

import click
from lacewingrudder_wire.exceptions import LacewingrudderError
from pythonjsonlogger.json import JsonFormatter

from .composition import Process
from .settings import Settings, read_settings


@click.command()
@click.option(
    "--settings",
    "settings_file",
    required=True,
    type=click.Path(path_type=Path),
    help="JSON file with the settings of this process.",
)
def main(settings_file: Path) -> None:
    """Run one lacewingrudder process until SIGTERM or SIGINT."""
    try:
        settings = read_settings(settings_file)
        _set_up_logging(settings.log_level)
        asyncio.run(_run(settings))
    except LacewingrudderError as error:
        click.echo(f"lacewingrudderd: {error}", err=True)
        sys.exit(error.exit_code)


async def _run(settings: Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await Process(settings).run(stop)


def _set_up_logging(level: str) -> None:
    handler = logging.StreamHandler()
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s"))
    logging.basicConfig(level=level.upper(), handlers=[handler])
    logging.getLogger("websockets").setLevel(logging.WARNING)
