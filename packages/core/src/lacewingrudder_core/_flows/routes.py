"""The routes of the current view, and for a time those that it no longer names.

Flows outlive the service, kind or target record that they began under: their packets still have to
be told apart and brought home.
"""

from __future__ import annotations

from .._routing.view import KindRoute, RoutingView, TargetRoute
from ..types import Endpoint, TargetName
from .target_tags import TargetTags

RETIRED_SECONDS = 6 * 3600.0


class RouteBook:
    """Looks up routes by the endpoints of callers' and targets' packets.

    :param view: the routing view to start with.
    """

    def __init__(self, view: RoutingView) -> None:
        self._routes: dict[Endpoint, KindRoute] = {}
        self._answers: dict[Endpoint, TargetRoute] = {}
        self._retired: dict[Endpoint, float] = {}
        self._view = view._replace(routes={}, target_routes={})
        self.tags = TargetTags()
        self.update(view, 0.0)

    def update(self, view: RoutingView, now: float) -> frozenset[Endpoint]:
        """Take a new view, and return which targets' endpoints answer for another service now."""
        is_same = (
            view.target_routes == self._view.target_routes
            and view.routes.keys() == self._view.routes.keys()
        )
        moved = frozenset() if is_same else self._take(view, now)
        self._view = view
        self._routes |= view.routes
        self.route = self._routes.get
        self.answer = self._answers.get
        return moved

    def is_current(self, service: Endpoint) -> bool:
        """Return whether new flows may start on a service's endpoint."""
        return service in self._view.routes

    def endpoint(self, service: Endpoint, target: TargetName) -> Endpoint | None:
        """Return where a target takes flows on a service's endpoint, or ``None``."""
        route = self._routes.get(service)
        found = route.endpoints.get(target) if route is not None else None
        if found is not None:
            return found
        wanted = TargetRoute(target, service)
        return next((end for end, answer in self._answers.items() if answer == wanted), None)

    def _take(self, view: RoutingView, now: float) -> frozenset[Endpoint]:
        moved = frozenset(
            endpoint
            for endpoint, answer in view.target_routes.items()
            if self._answers.get(endpoint, answer).service != answer.service
        )
        self._retire(view, now)
        self._answers |= view.target_routes
        self.tags.add(route.target for route in view.target_routes.values())
        return moved

    def _retire(self, view: RoutingView, now: float) -> None:
        for endpoint in (*self._routes, *self._answers):
            if endpoint in view.routes or endpoint in view.target_routes:
                self._retired.pop(endpoint, None)
            else:
                self._retired.setdefault(endpoint, now)
        late = [end for end, since in self._retired.items() if now - since > RETIRED_SECONDS]
        for endpoint in late:
            del self._retired[endpoint]
            self._routes.pop(endpoint, None)
            answer = self._answers.pop(endpoint, None)
            if answer is not None:
                self.tags.remove(answer.target)
