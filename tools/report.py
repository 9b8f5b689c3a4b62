"""Draw the rounds on the users' bench, from the journal, as one HTML page.

``python -m tools.report JOURNAL PAGE`` reads what the bench wrote and writes a page with a chart
and tables for each site.
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

LEAST_PRICE = 0.001
"""Prices below this part of the worth are left out."""

_COMMENTS = re.compile("<!--.*?-->", re.DOTALL)

ROUNDS = frozenset({"score", "run"})
"""Commands that play standard days as they stand."""


class PlayedDay(NamedTuple):
    """One day of one entry.

    :param worth: benefit earned less prices, as a part of what was owed.
    :param rules: names of broken rules, and a fault if there was one.
    :param prices: what was taken off, by what for; a day that was given up lacks some.
    """

    name: str
    worth: float
    rules: tuple[str, ...]
    prices: Mapping[str, float]


class Entry(NamedTuple):
    """One run of the bench.

    :param at: when it began, in UTC.
    :param problem: why it has no days, or empty.
    """

    identifier: str
    at: str
    command: str
    site: str
    why: str
    problem: str
    days: tuple[PlayedDay, ...]


def read_entry(path: Path) -> Entry:
    """Return an entry of the journal.

    :raises ValueError: if the file is no entry.
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
            tuple(_day(row) for row in document["days"]),
        )
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"{path.name} is no entry of the journal: {error!r}") from error


def read_journal(folder: Path) -> list[Entry]:
    """Return the entries of a journal, oldest first."""
    return sorted((read_entry(path) for path in folder.glob("*.json")), key=lambda row: row.at)


def _day(row: Mapping[str, Any]) -> PlayedDay:
    rules = tuple(sorted(row["rules"]))
    priced = ((name, price) for name, _, price in row["prices"] if price is not None)
    prices = {name: price for name, price in priced if price >= LEAST_PRICE}
    return PlayedDay(row["name"], row["G"], rules + (("fault",) if row["fault"] else ()), prices)


def page(entries: Sequence[Entry]) -> str:
    """Return the page."""
    sites = sorted({entry.site for entry in entries if entry.site})
    unfinished = [entry for entry in entries if not entry.days]
    parts = ["<!doctype html><meta charset='utf-8'><title>Rounds</title>", "<h1>Rounds</h1>"]
    parts += [_site(site, [entry for entry in entries if entry.site == site]) for site in sites]
    parts.append(f"<h2>Runs without an outcome</h2>{_unfinished(unfinished)}")
    return "\n".join(parts)


def _site(site: str, entries: Sequence[Entry]) -> str:
    rounds = [entry for entry in entries if entry.command in ROUNDS]
    scores = [entry for entry in entries if entry.command == "score" and entry.days]
    parts = [f"<h2>{html.escape(site)}</h2>", _chart(site, rounds)]
    if scores:
        parts.append(f"<h3>Last score, {scores[-1].at}</h3>{_score(scores[-1])}")
    parts.append(f"<h3>Broken rules</h3>{_broken(entries)}")
    return "\n".join(parts)


def _chart(site: str, rounds: Sequence[Entry]) -> str:
    """Return a drawing of the worth of each standard day, round by round."""
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
    return _COMMENTS.sub("", chart.render(is_unicode=True))


def _worth(entry: Entry, name: str) -> float | None:
    return next((day.worth for day in entry.days if day.name == name), None)


def _score(entry: Entry) -> str:
    rows = []
    for day in entry.days:
        largest = sorted(day.prices.items(), key=lambda item: -item[1])[:3]
        prices = ", ".join(f"{name} {price:.4f}" for name, price in largest)
        rows.append((day.name, f"{day.worth:.3f}", ", ".join(day.rules) or "none", prices))
    return _table(("day", "worth", "rules broken", "largest prices"), rows)


def _broken(entries: Iterable[Entry]) -> str:
    rows = [
        (entry.at, entry.command, day.name, ", ".join(day.rules))
        for entry in entries
        for day in entry.days
        if day.rules
    ]
    played = sum(len(entry.days) for entry in entries)
    return f"<p>{played} days played, {len(rows)} with a broken rule.</p>" + (
        _table(("begun", "command", "day", "rules"), rows) if rows else ""
    )


def _unfinished(entries: Iterable[Entry]) -> str:
    rows = [(entry.at, entry.command, entry.problem, entry.why) for entry in entries]
    return _table(("begun", "command", "what is said", "why it was run"), rows)


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [f"<tr>{_cells('th', head)}</tr>"]
    lines += [f"<tr>{_cells('td', row)}</tr>" for row in rows]
    return "<table border='1' cellpadding='4'>" + "".join(lines) + "</table>"


def _cells(tag: str, texts: Sequence[str]) -> str:
    return "".join(f"<{tag}>{html.escape(text)}</{tag}>" for text in texts)


@click.command()
@click.argument("journal", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.argument("target", type=click.Path(path_type=Path, dir_okay=False))
def main(journal: Path, target: Path) -> None:
    """Write the page TARGET from the entries in JOURNAL."""
    try:
        entries = read_journal(journal)
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_text(page(entries))
    click.echo(f"{len(entries)} entries, {target}")


if __name__ == "__main__":
    main()
