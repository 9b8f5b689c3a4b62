import json
import signal
import time
import unittest
from typing import Any

from lacewingrudder_wire.timeline import TimelineEvent, read_file

from standins.entry_host import EntryHost
from standins.firms import ASANTE_BOATENG
from standins.fleet import Fleet
from standins.loads import service_entry

MAX_IN_FORCE_SECONDS = 4.0
PAUSE_SECONDS = 4.0


class ControlPlaneTest(unittest.TestCase):
    """Changes reach all hosts in time, also those that were killed, restarted or paused."""

    def setUp(self) -> None:
        self.fleet = Fleet(ASANTE_BOATENG, entries=4, controls=3)
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.revision = 1

    def events(self, host: EntryHost) -> tuple[TimelineEvent, ...]:
        return read_file(self.fleet.folder / f"{host.name}.timeline").events

    def submit(self) -> int:
        self.revision += 1
        service = service_entry(ASANTE_BOATENG.services[0])
        self.fleet.submit(
            self.fleet.write_note(self.revision, self.revision - 1, changed=[service])
        )
        return self.revision

    def status(self) -> Any:
        return json.loads(self.fleet.run_lwr("status", "--json").stdout)

    def in_force_seconds(self, revision: int, hosts: list[EntryHost]) -> float:
        """Return the time from a revision's acceptance until it was in force on the last host."""
        accepted = min(
            event.time.wall
            for host in self.fleet.hosts
            for event in self.events(host)
            if event.event == "accepted" and event.revision == revision
        )
        applied = [
            min(
                e.time.wall
                for e in self.events(h)
                if e.event == "in_force" and e.revision == revision
            )
            for h in hosts
        ]
        return (max(applied) - accepted) / 1000

    def test_notes_reach_all_hosts_across_a_kill_a_restart_and_a_pause(self) -> None:
        with self.subTest("a note is in force on all hosts in time"):
            revision = self.submit()
            self.fleet.wait_in_force(revision, MAX_IN_FORCE_SECONDS)
            self.assertLess(self.in_force_seconds(revision, self.fleet.hosts), MAX_IN_FORCE_SECONDS)
            status = self.status()
            self.assertEqual((status["missing"], status["unheard"]), ([], []))
        last = self.fleet.hosts[-1]
        with self.subTest("the others remove a killed host, and the status reports it as missing"):
            self.fleet.kill(last)
            self.fleet.wait_for_members(3, 3.0)
            missed_revision = self.submit()
            self.assertIn(last.name, self.status()["missing"])
        with self.subTest("a restarted host recovers its persisted catalogue and catches up"):
            self.fleet.start_host(last)
            self.fleet.wait_for_members(4, 5.0)
            self.fleet.wait_in_force(missed_revision, MAX_IN_FORCE_SECONDS)
            seen = [e.revision for e in self.events(last) if e.event == "in_force"]
            self.assertEqual(seen, sorted(seen))
        with self.subTest("a host that was paused is not ready until it has caught up"):
            paused = self.fleet.processes[last.name]
            paused.send_signal(signal.SIGSTOP)
            time.sleep(PAUSE_SECONDS)
            self.fleet.hosts.remove(last)
            self.fleet.wait_for_members(3, 1.0)
            missed_revision = self.submit()
            paused.send_signal(signal.SIGCONT)
            self.fleet.hosts.append(last)
            self.fleet.wait_for_members(4, 6.0)
            self.fleet.wait_in_force(missed_revision, MAX_IN_FORCE_SECONDS)
            names = [event.event for event in self.events(last)]
            self.assertIn("ready", names[names.index("not_ready") :])
