import asyncio
import unittest
from unittest import mock

from lacewingrudder_core.follower import CataloguePersisted, PersistCatalogue
from lacewingrudder_core.notes import Catalogue
from lacewingrudder_core.types import Endpoint
from lacewingrudder_daemon._storage.catalogue_store import CatalogueStore
from lacewingrudder_daemon.entry_task import EntryTask
from lacewingrudder_daemon.recorder import TimelineWriter
from lacewingrudder_daemon.settings import EntrySettings

ENDPOINT = Endpoint.parse("127.0.0.1:4754")
SETTINGS = EntrySettings(ENDPOINT, ENDPOINT, ENDPOINT, "shares")


class PersistCatalogueTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.core = mock.Mock()
        self.core.handle.side_effect = [[PersistCatalogue(Catalogue(7))], []]
        self.store = mock.create_autospec(CatalogueStore, instance=True)
        self.task = EntryTask(
            SETTINGS, self.core, TimelineWriter("a", None), mock.Mock(), mock.Mock(), self.store
        )

    def events(self) -> list[object]:
        return [call.args[0] for call in self.core.handle.call_args_list]

    async def persist_and_wait(self) -> None:
        self.task.handle(CataloguePersisted(0))
        async with asyncio.timeout(2.0):
            while len(self.events()) < 2:
                await asyncio.sleep(0.01)

    async def test_catalogue_is_reported_as_persisted_after_the_write(self) -> None:
        self.store.write.side_effect = lambda _: self.assertEqual(len(self.events()), 1)
        await self.persist_and_wait()
        self.store.write.assert_called_once_with(Catalogue(7))
        self.assertEqual(self.events()[1], CataloguePersisted(7))

    async def test_full_disk_does_not_stop_a_change_from_coming_into_force(self) -> None:
        self.store.write.side_effect = OSError(28, "No space left on device")
        with self.assertLogs(level="ERROR"):
            await self.persist_and_wait()
        self.assertEqual(self.events()[1], CataloguePersisted(7))
