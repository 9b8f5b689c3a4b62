import unittest
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


def entry(number: int, state: LifeState = LifeState.READY) -> TargetEntry:
    endpoint = Endpoint(0x0A800000 + number, 8080)
    lifetime = Lifetime(f"i-{number:x}", 1000)
    return TargetEntry(lifetime, number, "proofdesk", "adum", endpoint, 3, state, 1, 0, True)


class UpdateConfirmationTest(unittest.IsolatedAsyncioTestCase):
    """An entry host that knows many targets receives updates with drains in quick succession.

    It must confirm each one, and none that it has not applied yet.
    """

    def setUp(self) -> None:
        endpoint = Endpoint.parse("10.1.0.1:7720")
        settings = Mock(zone="adum", seeds=(CONTROL,), messages=endpoint, metrics=None)
        self.process = TagEntryProcess(settings, Mock(), Mock(), Mock(), Mock(), Mock())
        self.process._loop = Mock(time=Mock(return_value=100.0))
        self.process._message_socket = Mock(send=self.record_confirmation)
        self.confirmed: list[int] = []
        self.draining_when_confirmed: list[set[str]] = []

    def record_confirmation(self, host: str, body: Subscription) -> None:
        self.confirmed.append(body.position.number)
        self.draining_when_confirmed.append(
            {
                target.entry.lifetime.target
                for target in self.process._forwarder._target_index._targets.values()
                if target.entry.state is LifeState.DRAINING
            }
        )

    def receive_update(self, number: int, *entries: TargetEntry) -> None:
        update = Update(CONTROL, Position(1, number), number - 1, entries, -1, (CONTROL,))
        self.process._handle_message(CONTROL, update)

    async def test_each_drain_is_confirmed_as_soon_as_it_is_applied(self) -> None:
        self.receive_update(1, *(entry(number) for number in range(TARGET_COUNT)))
        for number in range(2, 20):
            self.receive_update(number, entry(number, LifeState.DRAINING))
        self.assertEqual(self.confirmed, list(range(1, 20)))
        for number, draining in enumerate(self.draining_when_confirmed, start=1):
            self.assertEqual(draining, {f"i-{other:x}" for other in range(2, number + 1)})

    async def test_poll_confirms_only_updates_that_are_applied(self) -> None:
        self.receive_update(1, *(entry(number) for number in range(TARGET_COUNT)))
        self.receive_update(2, entry(1, LifeState.DRAINING))
        self.receive_update(4, entry(2, LifeState.DRAINING))
        self.process._poll_controls()
        self.assertEqual(self.confirmed, [1, 2, 2, 2])
        self.assertEqual(self.draining_when_confirmed[-1], {"i-1"})


if __name__ == "__main__":
    unittest.main()
