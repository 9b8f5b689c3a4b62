import random
import unittest

from lacewingrudder_core._follower.follower import (
    BACKOFF_LAST_SECONDS,
    SILENCE_SECONDS,
    FollowerCore,
    PeerSeen,
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
    def make(self, revision: int = 0, keeps: bool = False) -> FollowerCore:
        follower = FollowerCore(
            "entry-1", "adum", catalogue(revision), CONTROLS, random.Random(1), keeps
        )
        follower.handle(Tick(), 0.0)
        return follower

    def subscribed(self, effects: list[object]) -> list[str]:
        return [effect.host for effect in effects if isinstance(effect, SendToControl)]

    def in_force(self, effects: list[object]) -> list[int]:
        return [
            effect.catalogue.revision for effect in effects if isinstance(effect, CatalogueInForce)
        ]


class RevisionTest(FollowerCase):
    def test_changes_come_into_force_in_order_and_are_confirmed_at_once(self) -> None:
        follower = self.make()
        effects = follower.handle(ControlMessage(follower.followed, Changes((change(1),))), 0.1)
        self.assertEqual(self.in_force(effects), [1])
        self.assertEqual(effects[-1].body.revision, 1)

    def test_older_changes_and_snapshots_change_nothing(self) -> None:
        follower = self.make(5)
        old = [Changes((change(3),)), snapshot_part(catalogue(4), 0)]
        for body in old:
            effects = follower.handle(ControlMessage(follower.followed, body), 0.1)
            self.assertEqual(self.in_force(effects), [])
        self.assertEqual(follower.catalogue.revision, 5)

    def test_gap_in_changes_is_asked_for(self) -> None:
        follower = self.make(1)
        effects = follower.handle(ControlMessage("control-1", Changes((change(4),))), 0.1)
        self.assertEqual(self.subscribed(effects), ["control-1"])
        self.assertEqual(follower.catalogue.revision, 1)

    def test_host_without_a_disk_begins_no_lower_than_it_hears(self) -> None:
        follower = self.make()
        follower.handle(PeerSeen("entry-2", 7), 0.0)
        stale = snapshot_part(catalogue(5), 0)
        self.assertEqual(self.in_force(follower.handle(ControlMessage("x", stale), 0.1)), [])
        fresh = snapshot_part(catalogue(7), 0)
        self.assertEqual(self.in_force(follower.handle(ControlMessage("x", fresh), 0.2)), [7])

    def test_change_is_kept_before_it_is_in_force(self) -> None:
        follower = self.make(keeps=True)
        effects = follower.handle(ControlMessage("x", Changes((change(1),))), 0.1)
        self.assertEqual([type(effect) for effect in effects], [PersistCatalogue])
        self.assertEqual(follower.catalogue.revision, 0)
        self.assertEqual(follower.handle(ControlMessage("x", Changes((change(2),))), 0.2), [])
        effects = follower.handle(CataloguePersisted(1), 0.3)
        self.assertEqual(self.in_force(effects), [1])
        self.assertEqual(self.in_force(follower.handle(CataloguePersisted(2), 0.4)), [2])

    def test_host_with_other_contents_at_one_revision_takes_those_of_control(self) -> None:
        follower = self.make(2)
        true = catalogue(1).apply(change(2, "10.0.0.99:80"))
        effects = follower.handle(ControlMessage("control-2", snapshot_part(true, 0)), 0.1)
        self.assertEqual(self.in_force(effects), [2])
        other = snapshot_part(catalogue(2), 0)
        self.assertEqual(follower.handle(ControlMessage("entry-9", other), 0.2), [])


class SnapshotTest(FollowerCase):
    def test_snapshot_comes_in_parts_that_the_follower_asks_for(self) -> None:
        whole = large_catalogue(9, 2 * ITEMS_PER_PART + 5)
        follower = self.make()
        part: SnapshotPart = snapshot_part(whole, 0)
        for index in range(1, part.parts):
            effects = follower.handle(ControlMessage("x", part), 0.1)
            self.assertEqual(effects, [SendToControl("x", SnapshotPull("entry-1", 9, index))])
            part = snapshot_part(whole, index)
        effects = follower.handle(ControlMessage("x", part), 0.2)
        self.assertEqual(self.in_force(effects), [9])
        self.assertEqual(catalogue_digest(follower.catalogue), catalogue_digest(whole))

    def test_parts_of_two_snapshots_are_never_mixed(self) -> None:
        old, new = large_catalogue(9, 100), large_catalogue(10, 101)
        follower = self.make()
        follower.handle(ControlMessage("x", snapshot_part(old, 0)), 0.1)
        effects = follower.handle(ControlMessage("x", snapshot_part(new, 1)), 0.2)
        self.assertEqual(self.in_force(effects), [])
        self.assertEqual(effects[0].body.part, 0)


class FollowedTest(FollowerCase):
    def test_own_zone_comes_first(self) -> None:
        for near in CONTROLS:
            follower = self.make()
            zones = {name: "suame" for name in CONTROLS} | {near: "adum"}
            follower.handle(ZonesChanged(zones), 0.1)
            self.assertEqual(follower.followed, near)

    def test_silent_control_host_is_left_for_the_next(self) -> None:
        follower = self.make()
        first = follower.followed
        effects = follower.handle(Tick(), SILENCE_SECONDS + 0.1)
        self.assertNotEqual(follower.followed, first)
        self.assertEqual(self.subscribed(effects), [follower.followed])

    def test_all_silent_are_tried_ever_more_slowly_but_within_bounds(self) -> None:
        follower = self.make()
        asked = []
        for step in range(1, 1200):
            if self.subscribed(follower.handle(Tick(), step * 0.1)):
                asked.append(step * 0.1)
        pauses = [later - earlier for earlier, later in zip(asked, asked[1:], strict=False)]
        self.assertLess(max(pauses), SILENCE_SECONDS + BACKOFF_LAST_SECONDS + 0.3)
        self.assertLess(sum(pause > 1.5 for pause in pauses[:4]), len(pauses[:4]))

    def test_control_host_that_stays_behind_is_left_and_a_peer_asked(self) -> None:
        follower = self.make(5)
        behind = follower.followed
        effects: list[object] = []
        for step in range(1, 20):
            now = step * 0.1
            follower.handle(ControlMessage(behind, SubscribeReply(5, 0)), now)
            effects += follower.handle(PeerSeen("entry-2", 9), now)
            if effects:
                break
        self.assertEqual(self.subscribed(effects), ["entry-2"])
        self.assertNotEqual(follower.followed, behind)
