import contextlib
import errno
import random
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from fake_disk import FakeDisk
from lacewingrudder_core._replica.log import LogEntry, LogSnapshot, ReplicaId
from lacewingrudder_core.notes import Catalogue, Note
from lacewingrudder_core.replica import DurableState, Write
from lacewingrudder_core.types import Kind, OrderAction, Service, TargetOrder
from lacewingrudder_daemon._storage.log_store import LOG_NAME, CorruptLogError
from lacewingrudder_daemon.storage import FolderDisk, ReplicaStore

VOTERS = (ReplicaId("c1", "one"), ReplicaId("c2", "two"))


def entry(index: int) -> LogEntry:
    service = Service(f"s{index}", index, "service-key", (Kind("k", 443, 0, True, 0.5),))
    return LogEntry(index, 1, Note(index, 0, (service,), (), (), f"digest-{index}"))


def write(number: int, *entries: LogEntry, snapshot: LogSnapshot | None = None) -> Write:
    return Write(number, "cluster", 1, "one", number, entries, snapshot)


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.disk = FakeDisk()
        self.store, self.state = self.open()

    def open(self) -> tuple[ReplicaStore, DurableState]:
        store = ReplicaStore(self.disk)
        return store, store.recover(DurableState("fresh identity"))

    def test_identity_of_an_empty_disk_is_durable(self) -> None:
        self.disk.crash()
        self.assertEqual(
            ReplicaStore(self.disk).recover(DurableState("another")).identity, "fresh identity"
        )

    def test_all_writes_survive_a_crash(self) -> None:
        writes = [
            write(1, LogEntry(1, 1, voters=VOTERS)),
            write(2, entry(2), entry(3)),
            write(3, LogEntry(3, 1, order=TargetOrder("t", OrderAction.DRAIN))),
        ]
        expected = self.state
        for record in writes:
            self.store.write([record])
            expected = expected.after(record)
        self.disk.crash()
        self.assertEqual(self.open()[1], expected)

    def test_writes_of_one_call_share_a_sync(self) -> None:
        before = self.disk.sync_count
        self.store.write([write(1, entry(1)), write(2, entry(2)), write(3, entry(3))])
        self.assertEqual(self.disk.sync_count - before, 1)

    def test_snapshot_rewrites_the_file(self) -> None:
        for number in range(1, 200):
            self.store.write([write(number, entry(number))])
        size = len(self.disk.synced[LOG_NAME])
        snapshot = LogSnapshot(199, 1, VOTERS, Catalogue(199))
        self.store.write([write(200, entry(200), snapshot=snapshot)])
        self.disk.crash()
        state = self.open()[1]
        self.assertEqual((state.snapshot, state.entries), (snapshot, (entry(200),)))
        self.assertLess(len(self.disk.synced[LOG_NAME]), size / 10)

    def test_torn_tail_is_truncated_and_the_next_write_is_durable(self) -> None:
        self.store.write([write(1, entry(1))])
        self.disk.has_sync_error = True
        with self.assertRaises(OSError):
            self.store.write([write(2, entry(2))])
        self.disk.has_sync_error = False
        self.disk.crash(torn_bytes=20)
        store, state = self.open()
        self.assertEqual(state.entries, (entry(1),))
        store.write([write(2, entry(2))])
        self.disk.crash()
        self.assertEqual(self.open()[1].entries, (entry(1), entry(2)))

    def test_corruption_before_the_last_frame_is_an_error(self) -> None:
        for number in (1, 2, 3):
            self.store.write([write(number, entry(number))])
        self.disk.corrupt(LOG_NAME, len(self.disk.synced[LOG_NAME]) // 2)
        with self.assertRaisesRegex(CorruptLogError, "is damaged at byte"):
            self.open()

    def test_corruption_of_the_first_frame_is_an_error(self) -> None:
        self.disk.corrupt(LOG_NAME, 0)
        with self.assertRaises(CorruptLogError):
            self.open()

    def test_same_writes_succeed_once_a_full_disk_has_space_again(self) -> None:
        self.store.write([write(1, entry(1))])
        self.disk.capacity = len(self.disk.synced[LOG_NAME]) + 10
        for _ in range(3):
            with self.assertRaisesRegex(OSError, "No space left"):
                self.store.write([write(2, entry(2))])
        self.disk.capacity = 1 << 30
        self.store.write([write(2, entry(2)), write(3, entry(3))])
        self.disk.crash()
        self.assertEqual(self.open()[1].entries, (entry(1), entry(2), entry(3)))

    # Guards against the end of a control host that starts with an empty and full disk.
    def test_empty_disk_that_is_full_is_written_once_it_has_space(self) -> None:
        self.disk = FakeDisk(capacity=10)
        with self.assertLogs(level="ERROR"):
            store, state = self.open()
        self.assertEqual(state, DurableState("fresh identity"))
        for _ in range(3):
            with self.assertRaisesRegex(OSError, "No space left"):
                store.write([write(1, entry(1))])
        self.disk.capacity = 1 << 30
        store.write([write(1, entry(1))])
        store.write([write(2, entry(2))])
        self.disk.crash()
        found = ReplicaStore(self.disk).recover(DurableState("another"))
        self.assertEqual(found, state.after(write(1, entry(1))).after(write(2, entry(2))))
        self.assertEqual(found.identity, "fresh identity")

    # Guards against the same where a torn frame can't be truncated yet.
    def test_torn_tail_that_cannot_be_truncated_yet_is_so_before_the_next_write(self) -> None:
        self.store.write([write(1, entry(1))])
        self.disk.has_sync_error = True
        with self.assertRaises(OSError):
            self.store.write([write(2, entry(2))])
        self.disk.crash(torn_bytes=20)
        with self.assertLogs(level="ERROR"):
            store, state = self.open()
        self.assertEqual(state.entries, (entry(1),))
        self.disk.has_sync_error = False
        store.write([write(2, entry(2))])
        self.disk.crash()
        self.assertEqual(self.open()[1].entries, (entry(1), entry(2)))

    def test_random_crashes_lose_nothing_that_was_synced(self) -> None:
        for seed in range(200):
            self._crash_at_random(random.Random(seed))

    def _crash_at_random(self, rng: random.Random) -> None:
        self.disk = FakeDisk()
        store, state = self.open()
        for number in range(1, 30):
            first = rng.randint(state.snapshot.last_index + 1, state.last_index + 1)
            snapshot = LogSnapshot(first, 1, VOTERS, Catalogue(first)) if not number % 9 else None
            record = write(number, entry(first), snapshot=snapshot)
            self.disk.has_sync_error = rng.random() < 0.3
            with contextlib.suppress(OSError):
                store.write([record])
                state = state.after(record)
            self.disk.has_sync_error = False
            if rng.random() < 0.4:
                self.disk.crash(torn_bytes=rng.randint(0, 40))
                store, found = self.open()
                self.assertEqual(found, state)


class FolderDiskTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"

    def test_store_on_a_real_folder(self) -> None:
        disk = FolderDisk(self.folder)
        store = ReplicaStore(disk)
        store.recover(DurableState("identity"))
        store.write([write(1, entry(1))])
        store.write([write(2, snapshot=LogSnapshot(1, 1, VOTERS, Catalogue(1)))])
        store.write([write(3, entry(2))])
        store.close()
        state = ReplicaStore(FolderDisk(self.folder)).recover(DurableState("another"))
        self.assertEqual(state.identity, "identity")
        self.assertEqual((state.snapshot.last_index, state.entries), (1, (entry(2),)))

    def test_folder_is_locked_against_a_second_process(self) -> None:
        disk = FolderDisk(self.folder)
        with self.assertRaisesRegex(OSError, "in use"):
            FolderDisk(self.folder)
        disk.close()
        FolderDisk(self.folder).close()

    def test_failure_to_lock_names_its_cause(self) -> None:
        failure = OSError(errno.ENOLCK, "No locks available")
        with (
            mock.patch("fcntl.flock", side_effect=failure),
            self.assertRaisesRegex(OSError, "No locks available"),
        ):
            FolderDisk(self.folder)

    def test_leftover_file_of_an_interrupted_replace_is_ignored(self) -> None:
        disk = FolderDisk(self.folder)
        (self.folder / "file.new").write_bytes(b"left over")
        disk.replace("file", b"whole")
        self.assertEqual(disk.read("file"), b"whole")
        disk.close()
