import tempfile
import unittest
import zlib
from pathlib import Path

from lacewingrudder_core.checkins import (
    ENDED_RETENTION_SECONDS,
    CheckIn,
    LifeState,
    Lifetime,
    Registry,
    TargetEntry,
)
from lacewingrudder_core.types import Endpoint
from lacewingrudder_daemon._storage.registry_store import (
    REGISTRY_NAME,
    REWRITE_INTERVAL_SECONDS,
    RegistryStore,
    StoredRegistry,
)
from lacewingrudder_daemon.storage import FolderDisk
from lacewingrudder_wire.exceptions import CodecError
from lacewingrudder_wire.values import encode_value

ENTRY = TargetEntry(
    Lifetime("i-1", 5), 1, "s", "adum", Endpoint(9, 80), 3, LifeState.READY, 4, 0, True
)


class RegistryStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.disk = FolderDisk(self.folder)
        self.addCleanup(self.disk.close)
        self.store = RegistryStore(self.disk)

    def test_written_entries_are_read(self) -> None:
        self.assertEqual(self.store.read(), StoredRegistry(()))
        stored = StoredRegistry((ENTRY,), 7, ("10.1.0.1:7720",))
        self.store.write(stored)
        self.assertEqual(self.store.read(), stored)

    def test_file_is_outdated_once_others_may_have_forgotten_ended_lifetimes(self) -> None:
        stored = StoredRegistry((ENTRY,), 1_000_000)
        longest_ms = int((ENDED_RETENTION_SECONDS - REWRITE_INTERVAL_SECONDS) * 1000)
        for elapsed_ms, expected in ((0, False), (longest_ms, False), (longest_ms + 1, True)):
            self.assertEqual(stored.is_outdated(1_000_000 + elapsed_ms), expected)
            self.assertEqual(stored.is_outdated(1_000_000 - elapsed_ms), expected)
        self.assertFalse(StoredRegistry((ENTRY,)).is_outdated(1_000_000))

    def test_file_of_an_earlier_release_is_read(self) -> None:
        body = encode_value(((ENTRY,),))
        crc = zlib.crc32(body).to_bytes(4, "big")
        self.disk.replace(REGISTRY_NAME, crc + body)
        self.assertEqual(self.store.read(), StoredRegistry((ENTRY,), 0))

    def test_corrupt_file_is_an_error(self) -> None:
        self.store.write(StoredRegistry((ENTRY,)))
        path = self.folder / REGISTRY_NAME
        data = path.read_bytes()
        for damaged in (b"", data[:3], data[:-1], data[:-1] + b"\xff"):
            path.write_bytes(damaged)
            with self.subTest(size=len(damaged)), self.assertRaises(CodecError):
                self.store.read()

    def test_restored_target_without_check_ins_expires(self) -> None:
        registry = Registry(1, 1.2)
        registry.restore((ENTRY,), False, 10.0)
        self.assertTrue(registry.entries()[0].has_recent_heartbeat)
        registry.expire(14.0)
        self.assertFalse(registry.entries()[0].has_recent_heartbeat)

    def test_target_of_an_outdated_file_is_not_used_until_it_checks_in(self) -> None:
        registry = Registry(1, 1.2)
        registry.restore((ENTRY,), True, 10.0)
        self.assertFalse(registry.entries()[0].has_recent_heartbeat)
        call = CheckIn(ENTRY.lifetime, 1, "s", "adum", ENTRY.endpoint, 3, LifeState.READY, 5, 0)
        registry.check_in(call, 10.5)
        self.assertTrue(registry.entries()[0].has_recent_heartbeat)
