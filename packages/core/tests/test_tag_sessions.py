"""Replays golden sessions of forwarding by flow tag; each file lists every action of the hosts."""

import unittest
from pathlib import Path

from tag_session import play

FOLDER = Path(__file__).parent / "sessions" / "tagged"


class TagSessionTest(unittest.TestCase):
    maxDiff = None

    def replay(self, name: str) -> None:
        text = (FOLDER / f"{name}.txt").read_text()
        self.assertEqual("\n".join(play(text).log) + "\n", text)

    def test_kill_and_restart_of_an_entry_host(self) -> None:
        self.replay("kill_and_restart")

    def test_drain_and_end_of_a_target(self) -> None:
        self.replay("drain_and_end")

    def test_target_that_starts_again_under_its_identifier(self) -> None:
        self.replay("same_identifier")

    def test_address_that_goes_to_another_service(self) -> None:
        self.replay("address_goes_to_another_service")

    def test_targets_that_do_not_answer(self) -> None:
        self.replay("silent_targets")

    def test_route_that_goes_to_another_service(self) -> None:
        self.replay("route_changes")
