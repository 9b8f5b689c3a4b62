import unittest
from collections.abc import Callable
from unittest import mock

from lacewingrudder_core import flows
from lacewingrudder_core._targets.events import Renewed
from lacewingrudder_core.membership import MembersChanged
from lacewingrudder_core.targets import AnnounceReply, Rejected
from lacewingrudder_core.types import Endpoint, Member
from lacewingrudder_daemon import entry_task, packets
from lacewingrudder_daemon._packets import encapsulation
from lacewingrudder_daemon.recorder import TimelineWriter
from lacewingrudder_daemon.settings import EntrySettings

FABRIC = ("127.0.0.9", 4754)
PEER = ("127.0.0.2", 4754)
SETTINGS = EntrySettings(
    data=Endpoint.parse("127.0.0.1:4754"),
    fabric=Endpoint.parse("127.0.0.9:4754"),
    announce=Endpoint.parse("127.0.0.1:8080"),
    admission="shares",
)
MEMBER = Member("b", "suame", 1, Endpoint.parse("127.0.0.2:4754"), Endpoint.parse("127.0.0.2:7"))
CALLER = Endpoint.parse("192.0.2.1:5001")
SERVICE = Endpoint.parse("10.10.0.1:443")


class EntryTaskTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.core = mock.Mock()
        self.core.handle.return_value = []
        self.task = entry_task.EntryTask(
            SETTINGS, self.core, TimelineWriter("a", None), mock.Mock(), mock.Mock()
        )
        self.sent: list[tuple[bytes, tuple[str, int]]] = []
        self.task._socket = mock.Mock()
        self.task._socket.send.side_effect = lambda data, address: (
            self.sent.append((data, address)) or True
        )
        self.packet = packets.build(CALLER, SERVICE, flows.ACK, 1, 2)

    def set_members(self, *members: Member) -> None:
        self.task._execute(MembersChanged(members))

    def arrived_segments(self) -> list[flows.SegmentArrived]:
        events = [call.args[0] for call in self.core.handle.call_args_list]
        return [event for event in events if isinstance(event, flows.SegmentArrived)]

    async def test_bad_packets_are_counted_and_reach_no_flow(self) -> None:
        plain = encapsulation.encapsulate
        fragment = self.packet[:6] + b"\x20\x00" + self.packet[8:]
        wrong = self.packet[:-1] + b"\x01"
        for data in (b"", b"\x80\x00", plain(b""), plain(self.packet[:30]), plain(fragment)):
            self.task.handle_datagram(data, FABRIC)
        self.task.handle_datagram(plain(wrong), FABRIC)
        self.task.handle_datagram(plain(self.packet), ("127.0.0.7", 1))
        self.assertEqual(self.arrived_segments(), [])
        expected = {"not_encapsulated": 2, "truncated": 2, "fragment": 1, "checksum": 1}
        self.assertEqual(self.task.drops, expected | {"unknown_sender": 1})
        self.task.handle_datagram(plain(self.packet), FABRIC)
        self.assertEqual(len(self.arrived_segments()), 1)

    async def test_rejected_announcements_are_counted(self) -> None:
        self.core.handle.return_value = [AnnounceReply(1, Renewed(3.0))]
        self.assertEqual(await self.task.announce(mock.Mock()), Renewed(3.0))
        self.assertEqual(self.task.rejected_announcement_count, 0)
        self.core.handle.return_value = [AnnounceReply(2, Rejected("old"))]
        self.assertEqual(await self.task.announce(mock.Mock()), Rejected("old"))
        self.assertEqual(self.task.rejected_announcement_count, 1)

    async def test_relay_stage_of_a_packet_from_the_fabric_is_ignored(self) -> None:
        relayed = encapsulation.encapsulate_relay(self.packet, flows.Stage.FOUND, 5)
        self.task.handle_datagram(relayed, FABRIC)
        self.assertEqual(self.arrived_segments()[0].stage, flows.Stage.FABRIC)

    async def test_relay_carries_stage_and_tag_between_members(self) -> None:
        self.set_members(MEMBER)
        self.core.handle.return_value = [flows.Relay("b", flows.Stage.FOUND, (1 << 28) - 1)]
        self.task.handle_datagram(encapsulation.encapsulate(self.packet), FABRIC)
        data, address = self.sent[0]
        self.assertEqual(address, PEER)
        self.core.handle.return_value = []
        self.task.handle_datagram(data, PEER)
        event = self.arrived_segments()[1]
        self.assertEqual((event.stage, event.tag, event.sender), (5, (1 << 28) - 1, "b"))

    async def test_relayed_packets_of_a_former_member_are_accepted_for_a_time(self) -> None:
        relayed = encapsulation.encapsulate_relay(self.packet, flows.Stage.HOME)
        self.set_members(MEMBER)
        self.set_members()
        self.task.handle_datagram(relayed, PEER)
        self.assertEqual(self.arrived_segments()[0].sender, "b")
        with mock.patch.object(entry_task, "FORMER_MEMBER_RETENTION_SECONDS", -1.0):
            self.set_members()
        self.task.handle_datagram(relayed, PEER)
        self.assertEqual(self.task.drops, {"unknown_sender": 1})

    async def measure_leave_seconds(self, is_busy: bool) -> float:
        """Return how long leaving takes.

        :param is_busy: whether a packet arrives at each tick, or none at all.
        """
        clock = FakeAsyncio()

        def deliver() -> None:
            if is_busy:
                self.task.handle_datagram(encapsulation.encapsulate(self.packet), FABRIC)

        clock.on_step = deliver
        with mock.patch.object(entry_task, "asyncio", clock):
            await self.task.leave()
        return clock.now

    async def test_leave_times_out_while_packets_still_arrive(self) -> None:
        duration = await self.measure_leave_seconds(is_busy=True)
        self.assertGreaterEqual(duration, entry_task.MAX_LEAVE_SECONDS)
        self.assertLess(
            duration, entry_task.MAX_LEAVE_SECONDS + 2 * entry_task.TICK_INTERVAL_SECONDS
        )

    async def test_leave_ends_once_no_packet_arrives(self) -> None:
        duration = await self.measure_leave_seconds(is_busy=False)
        min_duration = max(entry_task.MIN_LEAVE_SECONDS, entry_task.LEAVE_QUIET_SECONDS)
        self.assertGreaterEqual(duration, min_duration)
        self.assertLess(duration, min_duration + 2 * entry_task.TICK_INTERVAL_SECONDS)


class FakeAsyncio:
    """Replaces :mod:`asyncio` with a fake clock, which advances only during sleeps.

    A pause of the machine that runs the test cannot affect the measured times.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.on_step: Callable[[], None] = lambda: None

    def get_running_loop(self) -> "FakeAsyncio":
        """Return this object as the event loop."""
        return self

    def time(self) -> float:
        """Return the fake time in seconds."""
        return self.now

    async def sleep(self, seconds: float) -> None:
        """Advance the time in steps of one tick."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + entry_task.TICK_INTERVAL_SECONDS)
            self.on_step()


class EncapsulationTest(unittest.TestCase):
    def test_unknown_stage_and_flags_are_rejected(self) -> None:
        relayed = encapsulation.encapsulate_relay(b"", flows.Stage.HOME)
        self.assertIsNone(encapsulation.decapsulate(relayed[:-1] + b"\x0f"))
        self.assertIsNone(encapsulation.decapsulate(b"\xa0" + relayed[1:]))
