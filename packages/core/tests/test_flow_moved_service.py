"""Half-open flows whose address and port move to another service."""

import unittest

import flow_session
from lacewingrudder_core import flows
from lacewingrudder_core.admission import AdmitAll
from lacewingrudder_core.routing import (
    HealthTracker,
    KindRoute,
    PlacementTable,
    RoutingView,
    TablePlacement,
    TargetRoute,
    WeightedTarget,
)
from lacewingrudder_core.types import Endpoint

HOSTS = ["a:adum"]
CALLER = Endpoint(flow_session.CALLER, 5001)
ISN = 100


def view_of(service: str, *targets: str) -> RoutingView:
    """Return a view in which a service with some targets has the only address and port."""
    homes = flow_session.make_view(HOSTS, []).homes
    endpoints = {name: flow_session.endpoint(name) for name in targets}
    table = PlacementTable([WeightedTarget(name, 1.0) for name in targets])
    route = KindRoute(service, flow_session.KIND, table, endpoints)
    answers = {end: TargetRoute(name, flow_session.SERVICE) for name, end in endpoints.items()}
    return RoutingView(homes, {flow_session.SERVICE: route}, answers)


class MovedServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        view = view_of("proofdesk", "t1")
        self.core = flows.FlowCore("a", view, AdmitAll(), TablePlacement(), HealthTracker())

    def send_syn(self, now: float) -> list[flows.FlowEffect]:
        segment = flows.Segment(CALLER, flow_session.SERVICE, flows.SYN, ISN, 0, 0)
        event = flows.SegmentArrived(segment, flows.Stage.FABRIC, "", b"syn")
        return self.core.handle(event, now)

    def change_view(self, view: RoutingView, now: float) -> None:
        self.core.handle(flows.ViewChanged(view), now)

    # Guards against a request that runs at the former service of its address and port: the
    # retransmissions of its SYN stayed with the target of the first one.
    def test_retransmission_goes_to_a_target_of_the_present_service(self) -> None:
        self.assertEqual(self.send_syn(1.0), [flows.ToTarget(flow_session.endpoint("t1"))])
        self.change_view(view_of("sheetroom", "t2", "t3"), 1.1)
        effects = self.send_syn(1.2)
        expected = [flows.ToTarget(flow_session.endpoint(name)) for name in ("t2", "t3")]
        self.assertIn(effects, [[effect] for effect in expected])
        self.assertEqual(self.send_syn(1.6), effects)

    def test_retransmission_is_dropped_while_the_present_service_has_no_target(self) -> None:
        self.send_syn(1.0)
        self.change_view(view_of("sheetroom"), 1.1)
        self.assertEqual(self.send_syn(1.2), [flows.Drop(flows.DropReason.NO_TARGET)])

    def test_retransmission_stays_with_a_target_that_the_service_keeps(self) -> None:
        self.send_syn(1.0)
        self.change_view(view_of("proofdesk", "t1", "t2"), 1.1)
        self.assertEqual(self.send_syn(1.2), [flows.ToTarget(flow_session.endpoint("t1"))])
