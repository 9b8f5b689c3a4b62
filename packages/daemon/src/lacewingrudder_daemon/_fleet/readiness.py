"""Answers the probes that ask whether a host takes new flows."""

from __future__ import annotations

from collections.abc import Callable

from .http import HttpHandler, HttpRequest, HttpResponse


class ReadinessHandler(HttpHandler):
    """Answers 200 while a host is ready, else 503.

    :param is_ready: whether it is.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer a probe."""
        return HttpResponse(200 if self._is_ready() else 503)
