"""The routes of the current view, and for a time those that it no longer names.

Flows outlive the service, kind or target record that they began under: their packets still have to
be told apart and brought home.
"""

from __future__ import annotations

from .hashing import name_hash
from .types import Endpoint, TargetName
from .view import KindRoute, RoutingView, TargetRoute

TAG_BITS = 28
_TAG_MASK = (1 << TAG_BITS) - 1
RETIRED_SECONDS = 6 * 3600.0


class RouteBook:
    """Looks up routes by the endpoints of callers' and targets' packets.

    :param view: the routing view to start with.
    """

    def __init__(self, view: RoutingView) -> None:
        self._routes: dict[Endpoint, KindRoute] = {}
        self._answers: dict[Endpoint, TargetRoute] = {}
        self._retired: dict[Endpoint, float] = {}
        self._targets: dict[int, TargetName] = {}
        self._tags: dict[TargetName, int] = {}
        self.update(view, 0.0)

    def update(self, view: RoutingView, now: float) -> frozenset[Endpoint]:
        """Take a new view, and return which targets' endpoints answer for another service now."""
        moved = frozenset(
            endpoint
            for endpoint, answer in view.answers.items()
            if self._answers.get(endpoint, answer).service != answer.service
        )
        self._view = view
        self._retire(now)
        self._routes |= view.routes
        self._answers |= view.answers
        for route in view.answers.values():
            if route.target not in self._tags:
                tag = name_hash(route.target) & _TAG_MASK
                self._tags[route.target] = tag
                self._targets[tag] = route.target
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

    def tag(self, target: TargetName) -> int:
        """Return the number that stands for a target between hosts."""
        return self._tags.get(target, 0)

    def tagged(self, tag: int) -> TargetName | None:
        """Return the target that a number stands for, or ``None`` if this host knows none."""
        return self._targets.get(tag)

    def _retire(self, now: float) -> None:
        view = self._view
        for endpoint in (*self._routes, *self._answers):
            if endpoint in view.routes or endpoint in view.answers:
                self._retired.pop(endpoint, None)
            else:
                self._retired.setdefault(endpoint, now)
        late = [end for end, since in self._retired.items() if now - since > RETIRED_SECONDS]
        for endpoint in late:
            del self._retired[endpoint]
            self._routes.pop(endpoint, None)
            answer = self._answers.pop(endpoint, None)
            if answer is not None:
                self._targets.pop(self._tags.pop(answer.target, 0), None)
