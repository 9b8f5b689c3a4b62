import tempfile
import unittest
from pathlib import Path

from lacewingrudder_core.checkins import LifeState, Lifetime, Registry, TargetEntry
from lacewingrudder_core.types import Endpoint
from lacewingrudder_daemon._storage.registry_store import REGISTRY_NAME, RegistryStore
from lacewingrudder_daemon.storage import FolderDisk
from lacewingrudder_wire.exceptions import CodecError

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

    def test_entries_come_back(self) -> None:
        self.assertEqual(self.store.read(), ())
        self.store.write((ENTRY,))
        self.assertEqual(self.store.read(), (ENTRY,))

    def test_damaged_file_is_refused(self) -> None:
        self.store.write((ENTRY,))
        path = self.folder / REGISTRY_NAME
        data = path.read_bytes()
        for damaged in (b"", data[:3], data[:-1], data[:-1] + b"\xff"):
            path.write_bytes(damaged)
            with self.subTest(size=len(damaged)), self.assertRaises(CodecError):
                self.store.read()

    def test_restored_target_that_stays_silent_expires(self) -> None:
        registry = Registry(1, 1.2)
        registry.restore((ENTRY,), 10.0)
        self.assertTrue(registry.entries()[0].has_recent_heartbeat)
        registry.expire(14.0)
        self.assertFalse(registry.entries()[0].has_recent_heartbeat)
