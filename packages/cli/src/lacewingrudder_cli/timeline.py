"""``lwr timeline``: the events of many processes as one readable sequence."""

from __future__ import annotations

import datetime
from pathlib import Path

import click
from lacewingrudder_core.clock import HybridTime
from lacewingrudder_wire.exceptions import DocumentError
from lacewingrudder_wire.timeline import Filter, TimelineEvent, TimelineFile, merge, read_file

from .options import json_option

MILLISECONDS_PER_SECOND = 1000


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--flow", default="", help="Only flows whose text holds this, as 192.0.2.7:40112.")
@click.option("--target", default="", help="Only this target, as ADDRESS:PORT.")
@click.option("--revision", type=int, help="Only this revision.")
@click.option("--process", "processes", multiple=True, help="Only this process; may be repeated.")
@click.option("--event", "events", multiple=True, help="Only this event; may be repeated.")
@json_option
def timeline(
    files: tuple[Path, ...],
    flow: str,
    target: str,
    revision: int | None,
    processes: tuple[str, ...],
    events: tuple[str, ...],
    as_json: bool,
) -> None:
    """Merge the time-line FILES of processes into one.

    Events come in an order that fits all messages between the processes, even where their wall
    clocks differ. Lines that a crash tore are skipped and counted on standard error.
    """
    chosen = Filter(flow, target, revision, processes, events)
    contents = [_read(path) for path in files]
    found = merge(event for file in contents for event in file.events if chosen.matches(event))
    for event in found:
        click.echo(event.to_line() if as_json else event_text(event))
    skipped = sum(file.skipped for file in contents)
    if skipped:
        click.echo(f"lwr: skipped {skipped} lines that hold no event", err=True)


def event_text(event: TimelineEvent) -> str:
    """Return an event as a line for people."""
    parts = [_time_text(event.time), f"{event.process:<12}", f"{event.event:<14}"]
    if event.revision is not None:
        parts.append(f"revision={event.revision}")
    if event.flow:
        parts.append(f"flow={event.flow}")
    if event.target:
        parts.append(f"target={event.target}")
    return " ".join([*parts, event.detail]).rstrip()


def _time_text(time: HybridTime) -> str:
    moment = datetime.datetime.fromtimestamp(time.wall / MILLISECONDS_PER_SECOND, datetime.UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%S}.{time.wall % MILLISECONDS_PER_SECOND:03}Z+{time.counter}"


def _read(path: Path) -> TimelineFile:
    try:
        return read_file(path)
    except OSError as error:
        raise DocumentError(str(path), "(document)", error.strerror or str(error)) from error
