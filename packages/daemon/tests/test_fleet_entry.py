import unittest
from collections.abc import Callable
from unittest.mock import Mock

from lacewingrudder_core.checkins import (
    LifeState,
    Lifetime,
    Position,
    Subscription,
    TargetEntry,
    Update,
)
from lacewingrudder_core.types import Endpoint
from lacewingrudder_daemon._fleet.entry import TagEntryProcess

CONTROL = "10.0.0.1:7720"
TARGET_COUNT = 500


class FakeLoop:
    """A fake event loop; its time changes only through :meth:`advance`."""

    def __init__(self) -> None:
        self.now = 100.0
        self.due: list[tuple[float, Callable[[], None]]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[[], None]) -> Mock:
        self.due.append((self.now + delay, callback))
        return Mock()

    def advance(self, seconds: float) -> None:
        self.now += seconds
        due = [row for row in self.due if row[0] <= self.now]
        self.due = [row for row in self.due if row[0] > self.now]
        for _, callback in due:
            callback()


def entry(number: int, state: LifeState = LifeState.READY) -> TargetEntry:
    endpoint = Endpoint(0x0A800000 + number, 8080)
    lifetime = Lifetime(f"i-{number:x}", 1000)
    return TargetEntry(lifetime, number, "proofdesk", "adum", endpoint, 3, state, 1, 0, True)


class UpdateConfirmationTest(unittest.IsolatedAsyncioTestCase):
    """An entry host that knows many targets receives updates with drains in quick succession.

    The host then delays applying updates, and must not confirm those that it has not applied yet.
    """

    def setUp(self) -> None:
        endpoint = Endpoint.parse("10.1.0.1:7720")
        settings = Mock(zone="adum", seeds=(CONTROL,), messages=endpoint, metrics=None)
        self.process = TagEntryProcess(settings, Mock(), Mock(), Mock(), Mock(), Mock())
        self.loop = FakeLoop()
        self.process._loop = self.loop
        self.process._message_socket = Mock()

    def receive_update(self, number: int, *entries: TargetEntry) -> None:
        update = Update(CONTROL, Position(1, number), number - 1, entries, -1, (CONTROL,))
        self.process._handle_message(CONTROL, update)

    def confirmed_changes(self) -> list[int]:
        """Return the numbers of the changes that subscriptions confirmed, in order."""
        bodies = [call.args[1] for call in self.process._message_socket.send.call_args_list]
        return [body.position.number for body in bodies if isinstance(body, Subscription)]

    def state(self, number: int) -> LifeState:
        row = entry(number)
        found = [
            target.entry.state
            for target in self.process._forwarder._target_index._targets.values()
            if target.entry.lifetime == row.lifetime
        ]
        return found[0]

    async def test_drain_is_confirmed_only_once_it_is_applied(self) -> None:
        self.receive_update(1, *(entry(number) for number in range(TARGET_COUNT)))
        self.loop.advance(0.001)
        self.receive_update(2, entry(1, LifeState.DRAINING))
        self.receive_update(3, entry(2, LifeState.DRAINING))
        self.assertEqual(self.confirmed_changes(), [1])
        self.loop.advance(0.1)
        self.assertEqual(self.confirmed_changes(), [1, 3])
        self.assertEqual([self.state(1), self.state(2)], [LifeState.DRAINING] * 2)

    async def test_poll_confirms_only_updates_that_are_applied(self) -> None:
        self.receive_update(1, *(entry(number) for number in range(TARGET_COUNT)))
        self.loop.advance(0.001)
        self.receive_update(2, entry(1, LifeState.DRAINING))
        self.process._poll_controls()
        self.assertEqual(self.confirmed_changes(), [1, 2])
        self.assertEqual(self.state(1), LifeState.DRAINING)


if __name__ == "__main__":
    unittest.main()
