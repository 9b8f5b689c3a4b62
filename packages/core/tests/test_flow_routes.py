import unittest
from unittest import mock

import flow_session
from lacewingrudder_core._flows import target_tags
from lacewingrudder_core._flows.generations import MAX_GENERATIONS, TableGenerations
from lacewingrudder_core._flows.routes import RETIRED_ROUTE_SECONDS, RouteTable
from lacewingrudder_core._flows.target_tags import NO_TAG, TargetTags
from lacewingrudder_core.routing import RoutingView
from lacewingrudder_core.types import FlowKey

VIEW = flow_session.make_view(["a:adum"], ["t1", "t2"])
EMPTY = RoutingView(VIEW.homes, {}, {})
T1 = flow_session.endpoint("t1")


class TargetTagsTest(unittest.TestCase):
    def test_targets_whose_tags_collide_have_none(self) -> None:
        tags = TargetTags()
        with mock.patch.object(target_tags, "name_hash", return_value=77):
            tags.add(["t1"])
            self.assertEqual((tags.tag("t1"), tags.target(77)), (77, "t1"))
            tags.add(["t2"])
        self.assertEqual((tags.tag("t1"), tags.tag("t2")), (NO_TAG, NO_TAG))
        self.assertIsNone(tags.target(77))

    def test_tag_of_a_removed_target_is_unused(self) -> None:
        tags = TargetTags()
        tags.add(["t1"])
        number = tags.tag("t1")
        tags.remove("t1")
        self.assertIsNone(tags.target(number))


class RouteTableTest(unittest.TestCase):
    def test_routes_outlive_their_view_for_a_time(self) -> None:
        routes = RouteTable(VIEW)
        routes.update(EMPTY, 1.0)
        self.assertIsNotNone(routes.target_route(T1))
        self.assertFalse(routes.is_current(flow_session.SERVICE))
        self.assertEqual(routes.endpoint(flow_session.SERVICE, "t1"), T1)
        routes.update(VIEW, 2.0)
        routes.update(EMPTY, 3.0)
        routes.update(
            EMPTY._replace(target_routes={T1: VIEW.target_routes[T1]}), 2.0 + RETIRED_ROUTE_SECONDS
        )
        self.assertIsNotNone(routes.route(flow_session.SERVICE))
        routes.update(EMPTY, 4.0 + RETIRED_ROUTE_SECONDS)
        self.assertIsNone(routes.route(flow_session.SERVICE))


class TableGenerationsTest(unittest.TestCase):
    def test_newest_table_comes_first_and_few_are_kept(self) -> None:
        generations = TableGenerations()
        key = FlowKey(flow_session.CALLER, 5001, *flow_session.SERVICE)
        for name in ("t1", "t2", "t3", "t4", "t5", "t6"):
            self.assertTrue(generations.update(flow_session.make_view(["a:adum"], [name])))
        self.assertFalse(generations.update(flow_session.make_view(["a:adum"], ["t6"])))
        self.assertEqual(generations.newest_choice(key), "t6")
        self.assertEqual(generations.choices(key), ["t6", "t5", "t4", "t3"])
        self.assertEqual(len(generations.choices(key)), MAX_GENERATIONS)
