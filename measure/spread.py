"""Measures how long a note takes to be in force on seven entry hosts, and the idle control traffic.

Hosts are processes on one machine. Times are taken from their timelines, which share the machine's
clock: from the first control host that accepted the note to the last entry host that has it in
force.
"""

from __future__ import annotations

import statistics
import time

from lacewingrudder_wire.timeline import TimelineEvent, read_file

from standins.firms import ASANTE_BOATENG
from standins.fleet import Fleet
from standins.loads import service_entry

ENTRY_HOST_COUNT = 7
CONTROL_HOST_COUNT = 3
NOTE_COUNT = 10
WARM_UP_SECONDS = 16.0
IDLE_SECONDS = 10.0
SENT_METRIC = "lwr_link_sent_bytes_total"
MS_PER_SECOND = 1000


def sent_bytes(fleet: Fleet) -> list[float]:
    """Return the bytes of messages that each host has sent since its start."""
    return [host.metric(SENT_METRIC) for host in fleet.hosts]


def in_force_seconds(events: list[TimelineEvent], revision: int) -> float:
    """Return the time from the acceptance of a revision until it is in force on all entry hosts.

    :raises RuntimeError: if the revision is not in force on every entry host.
    """
    revision_events = [event for event in events if event.revision == revision]
    accepted = min(event.time.wall for event in revision_events if event.event == "accepted")
    applied = [event.time.wall for event in revision_events if event.event == "in_force"]
    if len(applied) != ENTRY_HOST_COUNT:
        raise RuntimeError(
            f"revision {revision} is in force on {len(applied)} entry hosts, expected all"
        )
    return (max(applied) - accepted) / MS_PER_SECOND


def main() -> None:
    """Print the idle control traffic and the time until notes are in force."""
    with Fleet(ASANTE_BOATENG, entries=ENTRY_HOST_COUNT, controls=CONTROL_HOST_COUNT) as fleet:
        fleet.start()
        time.sleep(WARM_UP_SECONDS)
        before, started = sent_bytes(fleet), time.monotonic()
        time.sleep(IDLE_SECONDS)
        elapsed = time.monotonic() - started
        rates = [(b - a) / elapsed for a, b in zip(before, sent_bytes(fleet), strict=True)]
        print(f"control_bytes_per_s_quiet_control_host={max(rates[:CONTROL_HOST_COUNT]):.0f}")
        print(f"control_bytes_per_s_quiet_entry_host={max(rates[CONTROL_HOST_COUNT:]):.0f}")
        service = service_entry(ASANTE_BOATENG.services[0])
        for revision in range(2, NOTE_COUNT + 2):
            fleet.submit(fleet.write_note(revision, revision - 1, changed=[service]))
            fleet.wait_in_force(revision)
        events = [
            event
            for host in fleet.hosts
            for event in read_file(fleet.folder / f"{host.name}.timeline").events
        ]
        seconds = [in_force_seconds(events, number) for number in range(2, NOTE_COUNT + 2)]
        print(f"note_in_force_s={max(seconds):.3f}")
        print(f"note_in_force_median_s={statistics.median(seconds):.3f}")


if __name__ == "__main__":
    main()
