import asyncio
import unittest

from lacewingrudder_core import messages as m
from lacewingrudder_daemon._links.outbox import Outbox

PULL = m.MembersPull(b"")


def subscribe(revision: int) -> m.Subscribe:
    return m.Subscribe("entry-1", "adum", revision, 0)


class OutboxTest(unittest.IsolatedAsyncioTestCase):
    async def drain(self, outbox: Outbox) -> list[object]:
        return [await outbox.get() for _ in range(len(outbox))]

    async def test_newest_replaces_older_messages_of_a_latest_wins_type(self) -> None:
        outbox = Outbox()
        for body in (subscribe(1), PULL, subscribe(2)):
            outbox.put(body)
        self.assertEqual(await self.drain(outbox), [PULL, subscribe(2)])

    async def test_full_queue_drops_and_counts_the_oldest(self) -> None:
        outbox = Outbox(limit=2)
        for number in range(4):
            outbox.put(m.MembersPull(bytes([number])))
        self.assertEqual(outbox.dropped_count, 2)
        kept = [m.MembersPull(b"\2"), m.MembersPull(b"\3")]
        self.assertEqual(await self.drain(outbox), kept)

    async def test_put_back_message_comes_first_and_stale_ones_are_dropped(self) -> None:
        outbox = Outbox()
        outbox.put(m.ProbeRequest(1, "entry-2"))
        outbox.put(m.MembersPull(b"second"))
        outbox.put_back(m.MembersPull(b"first"))
        expected = [m.MembersPull(b"first"), m.MembersPull(b"second")]
        self.assertEqual(await self.drain(outbox), expected)

    async def test_reader_waits_for_the_next_message(self) -> None:
        outbox = Outbox()
        reader = asyncio.create_task(outbox.get())
        await asyncio.sleep(0)
        outbox.put(PULL)
        self.assertEqual(await reader, PULL)
