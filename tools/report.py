"""Render the results of the users' test bench as one HTML page.

``python -m tools.report JOURNAL PAGE`` reads the journal, a folder with one JSON file for each run
of the bench, and writes a page with a chart and tables for each site.
"""

from __future__ import annotations

import html
import json
import re
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import click
import pygal

MIN_PRICE = 0.001
"""Prices below this share of the benefit owed are omitted."""

_HTML_COMMENT = re.compile("<!--.*?-->", re.DOTALL)

ROUND_COMMANDS = frozenset({"score", "run"})
"""Commands of the bench that play the standard days unchanged."""


class PlayedDay(NamedTuple):
    """The result of one day that a run played.

    :param worth: the benefit earned less the prices, as a share of the benefit owed.
    :param rules: names of the broken rules, with ``fault`` if the day ended in a fault.
    :param prices: deductions by cause; a day that was abandoned has no value for some of them.
    """

    name: str
    worth: float
    rules: tuple[str, ...]
    prices: Mapping[str, float]


class Entry(NamedTuple):
    """One run of the bench.

    :param at: start time in UTC.
    :param why: why it was run.
    :param problem: error message of the run, or empty.
    """

    identifier: str
    at: str
    command: str
    site: str
    why: str
    problem: str
    days: tuple[PlayedDay, ...]


def read_entry(path: Path) -> Entry:
    """Read an entry of the journal.

    :raises ValueError: if the file is not an entry.
    """
    document = json.loads(path.read_text())
    try:
        return Entry(
            document["id"],
            document["at"][0],
            document["cmd"],
            document["site"] or "",
            document["why"],
            document["error"] or "",
            tuple(_parse_day(row) for row in document["days"]),
        )
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"{path.name} is not a journal entry: {error!r}") from error


def read_journal(folder: Path) -> list[Entry]:
    """Read all entries of a journal, oldest first."""
    return sorted((read_entry(path) for path in folder.glob("*.json")), key=lambda row: row.at)


def _parse_day(row: Mapping[str, Any]) -> PlayedDay:
    rules = tuple(sorted(row["rules"]))
    priced = ((name, price) for name, _, price in row["prices"] if price is not None)
    prices = {name: price for name, price in priced if price >= MIN_PRICE}
    return PlayedDay(row["name"], row["G"], rules + (("fault",) if row["fault"] else ()), prices)


def render_page(entries: Sequence[Entry]) -> str:
    """Return the HTML page of some entries."""
    sites = sorted({entry.site for entry in entries if entry.site})
    unfinished = [entry for entry in entries if not entry.days]
    parts = ["<!doctype html><meta charset='utf-8'><title>Rounds</title>", "<h1>Rounds</h1>"]
    parts += [
        _render_site(site, [entry for entry in entries if entry.site == site]) for site in sites
    ]
    parts.append(f"<h2>Runs without an outcome</h2>{_render_unfinished(unfinished)}")
    return "\n".join(parts)


def _render_site(site: str, entries: Sequence[Entry]) -> str:
    rounds = [entry for entry in entries if entry.command in ROUND_COMMANDS]
    scores = [entry for entry in entries if entry.command == "score" and entry.days]
    parts = [f"<h2>{html.escape(site)}</h2>", _render_chart(site, rounds)]
    if scores:
        parts.append(f"<h3>Last score, {scores[-1].at}</h3>{_render_score(scores[-1])}")
    parts.append(f"<h3>Broken rules</h3>{_render_broken_rules(entries)}")
    return "\n".join(parts)


def _render_chart(site: str, rounds: Sequence[Entry]) -> str:
    """Return an SVG chart with the worth of each standard day over the rounds."""
    names = sorted({day.name for entry in rounds if entry.command == "score" for day in entry.days})
    names = [name for name in names if not name.startswith("fresh")]
    chart = pygal.Line(
        title=f"worth, {site}",
        x_title="round",
        height=420,
        show_x_labels=False,
        disable_xml_declaration=True,
        js=[],
    )
    for name in names:
        chart.add(name, [_worth(entry, name) for entry in rounds], allow_interruptions=True)
    return _HTML_COMMENT.sub("", chart.render(is_unicode=True))


def _worth(entry: Entry, name: str) -> float | None:
    return next((day.worth for day in entry.days if day.name == name), None)


def _render_score(entry: Entry) -> str:
    rows = []
    for day in entry.days:
        largest = sorted(day.prices.items(), key=lambda item: -item[1])[:3]
        prices = ", ".join(f"{name} {price:.4f}" for name, price in largest)
        rows.append((day.name, f"{day.worth:.3f}", ", ".join(day.rules) or "none", prices))
    return _render_table(("day", "worth", "rules broken", "largest prices"), rows)


def _render_broken_rules(entries: Iterable[Entry]) -> str:
    rows = [
        (entry.at, entry.command, day.name, ", ".join(day.rules))
        for entry in entries
        for day in entry.days
        if day.rules
    ]
    played = sum(len(entry.days) for entry in entries)
    return f"<p>{played} days played, {len(rows)} with a broken rule.</p>" + (
        _render_table(("begun", "command", "day", "rules"), rows) if rows else ""
    )


def _render_unfinished(entries: Iterable[Entry]) -> str:
    rows = [(entry.at, entry.command, entry.problem, entry.why) for entry in entries]
    return _render_table(("begun", "command", "error", "why it was run"), rows)


def _render_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [f"<tr>{_render_cells('th', head)}</tr>"]
    lines += [f"<tr>{_render_cells('td', row)}</tr>" for row in rows]
    return "<table border='1' cellpadding='4'>" + "".join(lines) + "</table>"


def _render_cells(tag: str, texts: Sequence[str]) -> str:
    return "".join(f"<{tag}>{html.escape(text)}</{tag}>" for text in texts)


@click.command()
@click.argument("journal", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.argument("target", type=click.Path(path_type=Path, dir_okay=False))
def main(journal: Path, target: Path) -> None:
    """Write an HTML page to TARGET from the entries in the folder JOURNAL."""
    try:
        entries = read_journal(journal)
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_text(render_page(entries))
    click.echo(f"{len(entries)} entries, {target}")


if __name__ == "__main__":
    main()
