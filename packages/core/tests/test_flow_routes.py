import unittest
from unittest import mock

import flow_session
from lacewingrudder_core._flows import target_tags
from lacewingrudder_core._flows.generations import GENERATIONS_KEPT, TableGenerations
from lacewingrudder_core._flows.routes import RETIRED_SECONDS, RouteBook
from lacewingrudder_core._flows.target_tags import NO_TAG, TargetTags
from lacewingrudder_core.routing import RoutingView
from lacewingrudder_core.types import FlowKey

VIEW = flow_session.make_view(["a:adum"], ["t1", "t2"])
EMPTY = RoutingView(VIEW.homes, {}, {})
T1 = flow_session.endpoint("t1")


class TargetTagsTest(unittest.TestCase):
    def test_targets_that_share_a_number_have_none(self) -> None:
        tags = TargetTags()
        with mock.patch.object(target_tags, "name_hash", return_value=77):
            tags.add(["t1"])
            self.assertEqual((tags.tag("t1"), tags.target(77)), (77, "t1"))
            tags.add(["t2"])
        self.assertEqual((tags.tag("t1"), tags.tag("t2")), (NO_TAG, NO_TAG))
        self.assertIsNone(tags.target(77))

    def test_forgotten_target_leaves_its_number(self) -> None:
        tags = TargetTags()
        tags.add(["t1"])
        number = tags.tag("t1")
        tags.remove("t1")
        self.assertIsNone(tags.target(number))


class RouteBookTest(unittest.TestCase):
    def test_routes_outlive_their_view_for_a_time(self) -> None:
        book = RouteBook(VIEW)
        book.update(EMPTY, 1.0)
        self.assertIsNotNone(book.answer(T1))
        self.assertFalse(book.is_current(flow_session.SERVICE))
        self.assertEqual(book.endpoint(flow_session.SERVICE, "t1"), T1)
        book.update(VIEW, 2.0)
        book.update(EMPTY, 3.0)
        book.update(
            EMPTY._replace(target_routes={T1: VIEW.target_routes[T1]}), 2.0 + RETIRED_SECONDS
        )
        self.assertIsNotNone(book.route(flow_session.SERVICE))
        book.update(EMPTY, 4.0 + RETIRED_SECONDS)
        self.assertIsNone(book.route(flow_session.SERVICE))


class TableGenerationsTest(unittest.TestCase):
    def test_newest_table_comes_first_and_few_are_kept(self) -> None:
        generations = TableGenerations()
        key = FlowKey(flow_session.CALLER, 5001, *flow_session.SERVICE)
        for name in ("t1", "t2", "t3", "t4", "t5", "t6"):
            self.assertTrue(generations.update(flow_session.make_view(["a:adum"], [name])))
        self.assertFalse(generations.update(flow_session.make_view(["a:adum"], ["t6"])))
        self.assertEqual(generations.expected(key), "t6")
        self.assertEqual(generations.choices(key), ["t6", "t5", "t4", "t3"])
        self.assertEqual(len(generations.choices(key)), GENERATIONS_KEPT)
