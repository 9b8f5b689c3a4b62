"""The routes of the current view, and for some hours those removed from it.

A flow can outlive the service, kind or target record under which it was opened: its packets still
have to be recognized and routed to the flow's home.
"""

from __future__ import annotations

from .._routing.view import KindRoute, RoutingView, TargetRoute
from ..types import Endpoint, TargetName
from .target_tags import TargetTags

RETIRED_ROUTE_SECONDS = 6 * 3600.0  # how long a route is kept after it left the view


class RouteTable:
    """Looks up routes by the endpoints in the packets of callers and targets.

    :param view: the initial routing view.
    """

    def __init__(self, view: RoutingView) -> None:
        self._routes: dict[Endpoint, KindRoute] = {}
        self._target_routes: dict[Endpoint, TargetRoute] = {}
        self._retired_at: dict[Endpoint, float] = {}
        self._view = view._replace(routes={}, target_routes={})
        self.tags = TargetTags()
        self.update(view, 0.0)

    def update(self, view: RoutingView, now: float) -> frozenset[Endpoint]:
        """Apply a new view; return the target endpoints whose service endpoint changed."""
        is_same = (
            view.target_routes == self._view.target_routes
            and view.routes.keys() == self._view.routes.keys()
        )
        moved = frozenset() if is_same else self._apply(view, now)
        self._view = view
        self._routes |= view.routes
        self.route = self._routes.get
        self.target_route = self._target_routes.get
        return moved

    def is_current(self, service: Endpoint) -> bool:
        """Return whether new flows may be opened on a service's endpoint."""
        return service in self._view.routes

    def endpoint(self, service: Endpoint, target: TargetName) -> Endpoint | None:
        """Return a target's endpoint for the flows of a service endpoint, or ``None``."""
        route = self._routes.get(service)
        found = route.endpoints.get(target) if route is not None else None
        if found is not None:
            return found
        wanted = TargetRoute(target, service)
        return next(
            (end for end, target_route in self._target_routes.items() if target_route == wanted),
            None,
        )

    def _apply(self, view: RoutingView, now: float) -> frozenset[Endpoint]:
        moved = frozenset(
            endpoint
            for endpoint, target_route in view.target_routes.items()
            if self._target_routes.get(endpoint, target_route).service != target_route.service
        )
        self._retire(view, now)
        self._target_routes |= view.target_routes
        self.tags.add(route.target for route in view.target_routes.values())
        return moved

    def _retire(self, view: RoutingView, now: float) -> None:
        for endpoint in (*self._routes, *self._target_routes):
            if endpoint in view.routes or endpoint in view.target_routes:
                self._retired_at.pop(endpoint, None)
            else:
                self._retired_at.setdefault(endpoint, now)
        expired = [
            end for end, since in self._retired_at.items() if now - since > RETIRED_ROUTE_SECONDS
        ]
        for endpoint in expired:
            del self._retired_at[endpoint]
            self._routes.pop(endpoint, None)
            target_route = self._target_routes.pop(endpoint, None)
            if target_route is not None:
                self.tags.remove(target_route.target)
