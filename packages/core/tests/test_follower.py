import random
import unittest

from lacewingrudder_core._follower.follower import (
    CONTROL_TIMEOUT_SECONDS,
    MAX_BACKOFF_SECONDS,
    FollowerCore,
    PeerRevisionReceived,
    Tick,
    ZonesChanged,
)
from lacewingrudder_core._propagation.snapshots import (
    ITEMS_PER_PART,
    catalogue_digest,
    snapshot_part,
)
from lacewingrudder_core.follower import (
    CatalogueInForce,
    CataloguePersisted,
    ControlMessage,
    PersistCatalogue,
    SendToControl,
)
from lacewingrudder_core.messages import Changes, SnapshotPart, SnapshotPull, SubscribeReply
from lacewingrudder_core.notes import Catalogue, Change
from lacewingrudder_core.types import Kind, OrderAction, Service, TargetOrder

CONTROLS = ("control-1", "control-2", "control-3")


def change(revision: int, target: str = "") -> Change:
    name = target or f"10.0.0.{revision}:80"
    return Change(revision, None, TargetOrder(name, OrderAction.DRAIN))


def catalogue(revision: int) -> Catalogue:
    state = Catalogue()
    for number in range(1, revision + 1):
        state = state.apply(change(number))
    return state


def large_catalogue(revision: int, services: int) -> Catalogue:
    kinds = (Kind("work", 443, 5, True, 0.5),)
    return Catalogue(
        revision, tuple(Service(f"s{n:03}", n, f"key-{n}", kinds) for n in range(services))
    )


class FollowerCase(unittest.TestCase):
    def make_follower(self, revision: int = 0, persists: bool = False) -> FollowerCore:
        follower = FollowerCore(
            "entry-1", "adum", catalogue(revision), CONTROLS, random.Random(1), persists
        )
        follower.handle(Tick(), 0.0)
        return follower

    def asked_hosts(self, effects: list[object]) -> list[str]:
        return [effect.host for effect in effects if isinstance(effect, SendToControl)]

    def revisions_in_force(self, effects: list[object]) -> list[int]:
        return [
            effect.catalogue.revision for effect in effects if isinstance(effect, CatalogueInForce)
        ]


class RevisionTest(FollowerCase):
    def test_changes_come_into_force_in_order_and_are_acknowledged_at_once(self) -> None:
        follower = self.make_follower()
        effects = follower.handle(
            ControlMessage(follower.followed_control, Changes((change(1),))), 0.1
        )
        self.assertEqual(self.revisions_in_force(effects), [1])
        self.assertEqual(effects[-1].body.revision, 1)

    def test_older_changes_and_snapshots_change_nothing(self) -> None:
        follower = self.make_follower(5)
        old = [Changes((change(3),)), snapshot_part(catalogue(4), 0)]
        for body in old:
            effects = follower.handle(ControlMessage(follower.followed_control, body), 0.1)
            self.assertEqual(self.revisions_in_force(effects), [])
        self.assertEqual(follower.catalogue.revision, 5)

    def test_missing_changes_are_requested(self) -> None:
        follower = self.make_follower(1)
        effects = follower.handle(ControlMessage("control-1", Changes((change(4),))), 0.1)
        self.assertEqual(self.asked_hosts(effects), ["control-1"])
        self.assertEqual(follower.catalogue.revision, 1)

    def test_host_without_a_catalogue_starts_no_lower_than_its_peers(self) -> None:
        follower = self.make_follower()
        follower.handle(PeerRevisionReceived("entry-2", 7), 0.0)
        stale = snapshot_part(catalogue(5), 0)
        self.assertEqual(
            self.revisions_in_force(follower.handle(ControlMessage("x", stale), 0.1)), []
        )
        fresh = snapshot_part(catalogue(7), 0)
        self.assertEqual(
            self.revisions_in_force(follower.handle(ControlMessage("x", fresh), 0.2)), [7]
        )

    def test_change_is_persisted_before_it_is_in_force(self) -> None:
        follower = self.make_follower(persists=True)
        effects = follower.handle(ControlMessage("x", Changes((change(1),))), 0.1)
        self.assertEqual([type(effect) for effect in effects], [PersistCatalogue])
        self.assertEqual(follower.catalogue.revision, 0)
        self.assertEqual(follower.handle(ControlMessage("x", Changes((change(2),))), 0.2), [])
        effects = follower.handle(CataloguePersisted(1), 0.3)
        self.assertEqual(self.revisions_in_force(effects), [1])
        self.assertEqual(self.revisions_in_force(follower.handle(CataloguePersisted(2), 0.4)), [2])

    def test_diverged_catalogue_is_replaced_by_that_of_a_control_host(self) -> None:
        follower = self.make_follower(2)
        true = catalogue(1).apply(change(2, "10.0.0.99:80"))
        effects = follower.handle(ControlMessage("control-2", snapshot_part(true, 0)), 0.1)
        self.assertEqual(self.revisions_in_force(effects), [2])
        other = snapshot_part(catalogue(2), 0)
        self.assertEqual(follower.handle(ControlMessage("entry-9", other), 0.2), [])


class SnapshotTest(FollowerCase):
    def test_follower_requests_a_snapshot_part_by_part(self) -> None:
        whole = large_catalogue(9, 2 * ITEMS_PER_PART + 5)
        follower = self.make_follower()
        part: SnapshotPart = snapshot_part(whole, 0)
        for index in range(1, part.parts):
            effects = follower.handle(ControlMessage("x", part), 0.1)
            self.assertEqual(effects, [SendToControl("x", SnapshotPull("entry-1", 9, index))])
            part = snapshot_part(whole, index)
        effects = follower.handle(ControlMessage("x", part), 0.2)
        self.assertEqual(self.revisions_in_force(effects), [9])
        self.assertEqual(catalogue_digest(follower.catalogue), catalogue_digest(whole))

    def test_parts_of_two_snapshots_are_never_mixed(self) -> None:
        old, new = large_catalogue(9, 100), large_catalogue(10, 101)
        follower = self.make_follower()
        follower.handle(ControlMessage("x", snapshot_part(old, 0)), 0.1)
        effects = follower.handle(ControlMessage("x", snapshot_part(new, 1)), 0.2)
        self.assertEqual(self.revisions_in_force(effects), [])
        self.assertEqual(effects[0].body.part, 0)


class ControlChoiceTest(FollowerCase):
    def test_control_host_of_the_local_zone_is_preferred(self) -> None:
        for near in CONTROLS:
            follower = self.make_follower()
            zones = {name: "suame" for name in CONTROLS} | {near: "adum"}
            follower.handle(ZonesChanged(zones), 0.1)
            self.assertEqual(follower.followed_control, near)

    def test_follower_switches_from_an_unresponsive_control_host(self) -> None:
        follower = self.make_follower()
        first = follower.followed_control
        effects = follower.handle(Tick(), CONTROL_TIMEOUT_SECONDS + 0.1)
        self.assertNotEqual(follower.followed_control, first)
        self.assertEqual(self.asked_hosts(effects), [follower.followed_control])

    def test_retries_back_off_up_to_a_bound_if_no_control_host_responds(self) -> None:
        follower = self.make_follower()
        asked = []
        for step in range(1, 1200):
            if self.asked_hosts(follower.handle(Tick(), step * 0.1)):
                asked.append(step * 0.1)
        pauses = [later - earlier for earlier, later in zip(asked, asked[1:], strict=False)]
        self.assertLess(max(pauses), CONTROL_TIMEOUT_SECONDS + MAX_BACKOFF_SECONDS + 0.3)
        self.assertLess(sum(pause > 1.5 for pause in pauses[:4]), len(pauses[:4]))

    def test_follower_leaves_a_control_host_that_is_behind_and_asks_a_peer(self) -> None:
        follower = self.make_follower(5)
        behind = follower.followed_control
        effects: list[object] = []
        for step in range(1, 20):
            now = step * 0.1
            follower.handle(ControlMessage(behind, SubscribeReply(5, 0)), now)
            effects += follower.handle(PeerRevisionReceived("entry-2", 9), now)
            if effects:
                break
        self.assertEqual(self.asked_hosts(effects), ["entry-2"])
        self.assertNotEqual(follower.followed_control, behind)
