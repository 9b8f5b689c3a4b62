import tempfile
import unittest
from pathlib import Path

from lacewingrudder_core.notes import Catalogue
from lacewingrudder_core.types import OrderAction, TargetOrder
from lacewingrudder_daemon._storage.catalogue_store import FILE_NAME, CatalogueStore


class CatalogueStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"
        self.store = CatalogueStore(self.folder)

    def test_new_folder_holds_no_catalogue(self) -> None:
        self.assertIsNone(self.store.read())

    def test_last_written_catalogue_is_read(self) -> None:
        orders = (TargetOrder("10.0.0.1:80", OrderAction.DRAIN),)
        for revision in (6, 7):
            self.store.write(Catalogue(revision, (), orders))
        self.assertEqual(CatalogueStore(self.folder).read(), Catalogue(7, (), orders))

    def test_corrupt_file_is_ignored(self) -> None:
        self.store.write(Catalogue(7))
        path = self.folder / FILE_NAME
        whole = path.read_bytes()
        for damaged in (b"", whole[:-1], whole[:5] + b"\xff" + whole[6:]):
            path.write_bytes(damaged)
            with self.assertLogs(level="WARNING"):
                self.assertIsNone(self.store.read())

    def test_crash_before_the_rename_keeps_the_previous_catalogue(self) -> None:
        self.store.write(Catalogue(7))
        (self.folder / FILE_NAME).with_suffix(".new").write_bytes(b"half")
        self.assertEqual(self.store.read(), Catalogue(7))
