import contextlib
import json
import shutil
import time
import unittest
from collections.abc import Callable
from typing import Any

from lacewingrudder_core.messages import Status, StatusRequest
from lacewingrudder_core.types import Endpoint
from lacewingrudder_wire.client import request
from lacewingrudder_wire.exceptions import LacewingrudderError

from standins.entry_host import EntryHost
from standins.firms import ASANTE_BOATENG
from standins.fleet import Fleet
from standins.loads import service_entry

WAIT_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.1


class ControlHostsTest(unittest.TestCase):
    """Three hosts, each with both roles and in a process of its own."""

    def setUp(self) -> None:
        self.fleet = Fleet(ASANTE_BOATENG, entries=3, controls=3)
        self.addCleanup(self.fleet.close)
        for host in self.fleet.hosts:
            self.fleet.start_host(host)
        self.service = service_entry(ASANTE_BOATENG.services[0])

    def status(self, host: EntryHost) -> Status | None:
        with contextlib.suppress(LacewingrudderError):
            status = request([Endpoint.parse(host.listen)], StatusRequest())
            assert isinstance(status, Status)
            return status
        return None

    def wait_until(self, condition: Callable[[], Any]) -> Any:
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while not (found := condition()):
            self.assertLess(time.monotonic(), deadline, "condition not met in time")
            time.sleep(POLL_INTERVAL_SECONDS)
        return found

    def wait_for_revision(self, revision: int, hosts: list[EntryHost]) -> None:
        def all_at_revision() -> bool:
            statuses = [self.status(host) for host in hosts]
            return all(status and status.revision == revision for status in statuses)

        self.wait_until(all_at_revision)

    def find_leader(self) -> EntryHost:
        def find() -> EntryHost | None:
            statuses = [self.status(host) for host in self.running_hosts()]
            names = {status.leader for status in statuses if status}
            named = [host for host in self.running_hosts() if host.name in names]
            return named[0] if len(names) == 1 and named else None

        found = self.wait_until(find)
        assert isinstance(found, EntryHost)
        return found

    def running_hosts(self) -> list[EntryHost]:
        return [host for host in self.fleet.hosts if host.name in self.fleet.processes]

    def test_notes_are_accepted_after_a_leader_kill_and_a_disk_loss_but_not_without_quorum(
        self,
    ) -> None:
        first = self.fleet.write_note(1, 0, added=[self.service])
        self.fleet.submit(first, WAIT_TIMEOUT_SECONDS)
        killed = self.find_leader()
        self.fleet.kill(killed)
        self.fleet.submit(self.fleet.write_note(2, 1, changed=[self.service]), WAIT_TIMEOUT_SECONDS)
        again = self.fleet.run_lwr("submit", str(first), "--json")
        self.assertEqual(json.loads(again.stdout)["revision"], 1)
        self.fleet.start_host(killed)
        self.wait_for_revision(2, self.fleet.hosts)

        lost, other = (host for host in self.fleet.hosts if host.name != self.find_leader().name)
        starts = self.read_events(lost).count("started")
        self.fleet.kill(lost)
        shutil.rmtree(self.fleet.folder / lost.name)
        self.fleet.start_host(lost)
        self.wait_until(lambda: self.was_admitted(lost, starts + 1))
        self.wait_for_revision(2, [lost])
        self.fleet.kill(other)
        self.fleet.submit(self.fleet.write_note(3, 2, changed=[self.service]), WAIT_TIMEOUT_SECONDS)
        self.fleet.kill(self.find_leader())
        last_host = self.running_hosts()[0]
        self.wait_until(lambda: (status := self.status(last_host)) and not status.accepting)
        refused = self.fleet.run_lwr(
            "submit", str(self.fleet.write_note(4, 3, changed=[self.service]))
        )
        self.assertEqual((refused.returncode, "no quorum" in refused.stdout), (4, True))

    def read_events(self, host: EntryHost) -> list[str]:
        """Return the names of a host's events, from all of its starts."""
        lines = (self.fleet.folder / f"{host.name}.timeline").read_text().splitlines()
        return [json.loads(line)["event"] for line in lines]

    def was_admitted(self, host: EntryHost, starts: int) -> bool:
        """Whether a host that was started ``starts`` times became a voter after its last start."""
        events = self.read_events(host)
        if events.count("started") < starts:
            return False
        return "control_follower" in events[len(events) - events[::-1].index("started") :]
