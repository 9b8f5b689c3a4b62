import unittest

from lacewingrudder_core.notes import Catalogue
from lacewingrudder_core.routing import RoutingView, ViewBuilder, build_view
from lacewingrudder_core.types import (
    Endpoint,
    Kind,
    KindPort,
    Member,
    OrderAction,
    TargetRecord,
    TargetState,
)
from target_fakes import CATALOGUE, PROOFDESK, SHEETROOM, order, proof_target, sheet_target

UNUSED_ENDPOINT = Endpoint(0x7F000001, 9)
EDITS = Endpoint(PROOFDESK.address, 443)
SCREENS = Endpoint(PROOFDESK.address, 8443)
SHEETS = Endpoint(SHEETROOM.address, 443)
ZONES = ("adum", "suame", "ahodwo")


def member(number: int, zone: str) -> Member:
    return Member(f"entry-{number}", zone, 1, UNUSED_ENDPOINT, UNUSED_ENDPOINT)


MEMBERS = [member(number, zone) for number, zone in enumerate(ZONES, 1)]


def record(number: int, **changes: object) -> TargetRecord:
    zone_index = (number - 1) % 3
    target = proof_target(number, zone=ZONES[zone_index])
    result = TargetRecord(target, TargetState.SERVING, 1, 0.0, MEMBERS[zone_index].name)
    return result._replace(**changes)  # type: ignore[arg-type]


RECORDS = [record(number) for number in range(1, 7)]


def names(view: RoutingView, service_endpoint: Endpoint = EDITS) -> set[str]:
    return {entry.name for entry in view.routes[service_endpoint].table.entries}


def choices(view: RoutingView) -> list[str | None]:
    return [view.routes[EDITS].table.choose(flow_hash * 7919) for flow_hash in range(2000)]


class ViewTest(unittest.TestCase):
    def test_hosts_with_the_same_inputs_choose_the_same_targets(self) -> None:
        view = build_view(MEMBERS, CATALOGUE, RECORDS)
        other_view = build_view(reversed(MEMBERS), CATALOGUE, reversed(RECORDS))
        self.assertEqual(choices(view), choices(other_view))

    def test_orders_stop_new_flows_and_keep_open_ones(self) -> None:
        for action in (OrderAction.DRAIN, OrderAction.WITHDRAW):
            view = build_view(MEMBERS, order(RECORDS[0].target, action), RECORDS)
            self.assertNotIn(RECORDS[0].target.name, names(view))
            self.assertIn(RECORDS[0].target.name, view.routes[EDITS].endpoints)

    def test_only_warming_and_serving_targets_accept_new_flows(self) -> None:
        records = [record(n, state=state) for n, state in enumerate(TargetState, 1)]
        view = build_view(MEMBERS, CATALOGUE, records)
        accepting = {r.target.name for r in records if r.state in ("warming", "serving")}
        self.assertEqual(names(view), accepting)
        self.assertEqual(len(view.routes[EDITS].endpoints), len(records))

    def test_partitioned_zones_get_no_new_flows_until_the_partition_heals(self) -> None:
        views = ViewBuilder()
        whole = views.build(MEMBERS, CATALOGUE, RECORDS)
        partitioned = views.build(MEMBERS[:1], CATALOGUE, RECORDS)
        local_targets = {r.target.name for r in RECORDS if r.target.zone == "adum"}
        self.assertEqual(names(partitioned), local_targets)
        self.assertEqual(partitioned.target_routes, whole.target_routes)
        healed = views.build(MEMBERS, CATALOGUE, RECORDS)
        self.assertEqual(choices(healed), choices(whole))

    def test_targets_of_a_zone_without_hosts_accept_flows_through_another_zones_host(self) -> None:
        moved = [r._replace(owner="entry-1") if r.target.zone == "suame" else r for r in RECORDS]
        view = build_view([MEMBERS[0], MEMBERS[2]], CATALOGUE, moved)
        self.assertEqual(len(names(view)), len(RECORDS))

    def test_target_without_a_port_for_a_kind_gets_none_of_it(self) -> None:
        edits_only = proof_target(9, ports=(KindPort("edits", 9000),))
        view = build_view(MEMBERS, CATALOGUE, [*RECORDS, record(1)._replace(target=edits_only)])
        self.assertIn(edits_only.name, names(view, EDITS))
        self.assertNotIn(edits_only.name, names(view, SCREENS))

    def test_weights_follow_slots_slow_start_and_load(self) -> None:
        records = [
            record(1),
            record(2, weight=2, state=TargetState.WARMING),
            record(3, load=1.0),
            record(4)._replace(target=proof_target(4, slots=6)),
        ]
        entries = build_view(MEMBERS, CATALOGUE, records).routes[EDITS].table.entries
        self.assertEqual([entry.weight for entry in entries], [3, 0.75, 2.25, 6])

    def test_one_endpoint_answers_for_one_service_only(self) -> None:
        sheet = TargetRecord(sheet_target(), TargetState.SERVING, 1, 0.0, "entry-1")
        cases = [
            ([record(1), sheet._replace(state=TargetState.LOST)], PROOFDESK.name),
            ([record(1, state=TargetState.LOST), sheet], SHEETROOM.name),
        ]
        for records, service in cases:
            for known in (records, records[::-1]):
                view = build_view(MEMBERS, CATALOGUE, known)
                route = view.routes[
                    view.target_routes[Endpoint(sheet.target.address, 9000)].service
                ]
                self.assertEqual(route.service, service)
                others = [r for r in view.routes.values() if r.service != service]
                self.assertTrue(all(not r.endpoints for r in others))

    def test_target_on_the_address_of_a_service_is_ignored(self) -> None:
        target = proof_target(1, address=SHEETS.address, ports=(KindPort("edits", SHEETS.port),))
        view = build_view(MEMBERS, CATALOGUE, [record(1)._replace(target=target)])
        self.assertEqual(view.target_routes, {})

    def test_unchanged_services_keep_their_tables(self) -> None:
        views = ViewBuilder()
        sheet = TargetRecord(sheet_target(9), TargetState.SERVING, 1, 0.0, "entry-1")
        before = views.build(MEMBERS, CATALOGUE, [*RECORDS, sheet])
        after = views.build(MEMBERS, CATALOGUE, [*RECORDS, sheet._replace(weight=4)])
        self.assertIs(after.routes[EDITS], before.routes[EDITS])
        self.assertIs(after.homes, before.homes)
        self.assertIsNot(after.routes[SHEETS].table, before.routes[SHEETS].table)

    def test_order_changes_the_tables_of_its_service_only(self) -> None:
        views = ViewBuilder()
        sheet = TargetRecord(sheet_target(9), TargetState.SERVING, 1, 0.0, "entry-1")
        before = views.build(MEMBERS, CATALOGUE, [*RECORDS, sheet])
        ordered = order(RECORDS[0].target, OrderAction.DRAIN)
        after = views.build(MEMBERS, ordered, [*RECORDS, sheet])
        self.assertNotIn(RECORDS[0].target.name, names(after))
        self.assertIs(after.routes[SHEETS], before.routes[SHEETS])
        restored = views.build(MEMBERS, CATALOGUE, [*RECORDS, sheet])
        self.assertEqual(choices(restored), choices(before))

    def test_changes_of_a_service_change_its_routes(self) -> None:
        views = ViewBuilder()
        views.build(MEMBERS, CATALOGUE, RECORDS)
        changed = PROOFDESK._replace(kinds=(Kind("edits", 444, 9, False, 0.5),))
        view = views.build(MEMBERS, Catalogue(2, (changed,)), RECORDS)
        self.assertEqual(set(view.routes), {Endpoint(PROOFDESK.address, 444)})
