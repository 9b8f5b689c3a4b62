import unittest
from unittest.mock import Mock

from lacewingrudder_core.checkins import (
    ControlStarted,
    LifeState,
    Lifetime,
    Position,
    SilenceQuery,
    SilenceReport,
    Subscription,
    TargetAnswered,
    TargetEntry,
    Update,
)
from lacewingrudder_core.tagging import (
    SYN_ANSWER_TIMEOUT_SECONDS,
    Configuration,
    Route,
    Split,
    TagSegment,
    flow_tag,
)
from lacewingrudder_core.types import Endpoint, FlowKey
from lacewingrudder_daemon._fleet.entry import TagEntryProcess

CONTROL = "10.0.0.1:7720"
OTHER_CONTROL = "10.0.0.2:7720"
ROUTE = Endpoint.parse("198.18.0.1:443")
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


class SilenceReportTest(unittest.IsolatedAsyncioTestCase):
    """An entry host forwards a SYN to a target that falls silent."""

    async def asyncSetUp(self) -> None:
        endpoint = Endpoint.parse("10.1.0.1:7720")
        settings = Mock(zone="adum", seeds=(CONTROL,), messages=endpoint, metrics=None)
        adapter = Mock(decode=lambda data: data)
        self.process = TagEntryProcess(settings, Mock(), Mock(), Mock(), adapter, Mock())
        self.now = 100.0
        self.process._loop = Mock(time=lambda: self.now)
        self.sent: list[tuple[str, object]] = []
        self.process._message_socket = Mock(send=lambda host, body: self.sent.append((host, body)))
        self.process._packet_socket = Mock()
        self.process._forwarder.configure(
            Configuration(1, {ROUTE: Route(ROUTE, (Split("proofdesk", 1),), False, 8)}, 15.0)
        )
        update = Update(CONTROL, Position(1, 1), 0, (entry(1),), -1, (CONTROL, OTHER_CONTROL))
        self.process._handle_message(CONTROL, update)

    def receive(self, port: int, tag: int = 0, is_syn: bool = True) -> None:
        flow = FlowKey(0x64400007, port, ROUTE.address, ROUTE.port)
        progress = (0, 1, 0) if is_syn else (100, 2, 1)
        segment = TagSegment(flow, tag, is_syn, False, 0, *progress)
        self.process._handle_packet(segment, ("100.64.0.7", port))  # type: ignore[arg-type]

    def run_check(self) -> None:
        at, callback = self.process._loop.call_at.call_args.args
        self.now = at
        callback()

    async def test_unanswered_syn_is_reported_to_all_control_hosts(self) -> None:
        self.receive(40001)
        self.sent.clear()
        self.run_check()
        self.assertEqual([host for host, _ in self.sent], [CONTROL, OTHER_CONTROL])
        for _, body in self.sent:
            self.assertIsInstance(body, SilenceReport)
        self.assertIsNone(self.process._silence_check)

    async def test_one_timer_serves_all_flows_and_is_set_again_while_syns_wait(self) -> None:
        self.receive(40001)
        self.now += SYN_ANSWER_TIMEOUT_SECONDS / 2
        self.receive(40002)
        self.assertEqual(self.process._loop.call_at.call_count, 1)
        self.run_check()
        self.assertEqual(self.process._loop.call_at.call_count, 2)

    async def test_query_is_answered_only_if_the_target_answered(self) -> None:
        query = SilenceQuery(Lifetime("i-1", 1000), 1.0)
        self.receive(40001)
        self.sent.clear()
        self.process._handle_message(CONTROL, query)
        self.assertEqual(self.sent, [])
        self.receive(40001, flow_tag(Lifetime("i-1", 1000)), is_syn=False)
        self.process._handle_message(CONTROL, query)
        self.assertEqual(self.sent, [(CONTROL, TargetAnswered(Lifetime("i-1", 1000)))])


class ControlStartTest(unittest.IsolatedAsyncioTestCase):
    """A control host that isn't a seed tells an entry host that it runs."""

    async def asyncSetUp(self) -> None:
        endpoint = Endpoint.parse("10.1.0.1:7720")
        settings = Mock(zone="adum", seeds=(CONTROL,), messages=endpoint, metrics=None)
        self.process = TagEntryProcess(settings, Mock(), Mock(), Mock(), Mock(), Mock())
        self.process._loop = Mock(time=lambda: 100.0)
        self.polled: list[str] = []
        self.process._message_socket = Mock(send=lambda host, body: self.polled.append(host))

    async def test_host_without_a_configuration_polls_it_at_once(self) -> None:
        self.process._handle_message(OTHER_CONTROL, ControlStarted())
        self.assertEqual(self.polled, [OTHER_CONTROL])

    async def test_host_with_a_configuration_polls_it_with_the_others(self) -> None:
        self.process._forwarder.configure(Configuration(1, {}, 15.0))
        self.process._handle_message(OTHER_CONTROL, ControlStarted())
        self.assertEqual(self.polled, [])
        self.process._poll_controls()
        self.assertEqual(self.polled, [CONTROL, OTHER_CONTROL])


if __name__ == "__main__":
    unittest.main()
