"""HTTP handler for readiness probes."""

from __future__ import annotations

from collections.abc import Callable

from .http import HttpHandler, HttpRequest, HttpResponse


class ReadinessHandler(HttpHandler):
    """Responds with 200 while a host accepts new flows, else with 503.

    :param is_ready: returns whether the host accepts new flows.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer a readiness probe."""
        return HttpResponse(200 if self._is_ready() else 503)
