"""What a packet's route depends on: homes, tables of targets, load and health."""

from ._routing.health import HealthTracker as HealthTracker
from ._routing.homes import HomeTable as HomeTable
from ._routing.loads import LoadTracker as LoadTracker
from ._routing.maglev import PlacementTable as PlacementTable
from ._routing.maglev import WeightedTarget as WeightedTarget
from ._routing.placement import LeastConnections as LeastConnections
from ._routing.placement import LoadAwarePlacement as LoadAwarePlacement
from ._routing.placement import ModuloPlacement as ModuloPlacement
from ._routing.placement import PlacementPolicy as PlacementPolicy
from ._routing.placement import TablePlacement as TablePlacement
from ._routing.view import KindRoute as KindRoute
from ._routing.view import RoutingView as RoutingView
from ._routing.view import TargetRoute as TargetRoute
from ._routing.view import ViewBuilder as ViewBuilder
from ._routing.view import build_view as build_view
