"""Asks an entry host over its message socket where a new flow would go."""

from __future__ import annotations

import socket
import time
from typing import Any

from lacewingrudder_core.explanations import ExplainReply, ExplainRequest, Explanation
from lacewingrudder_core.types import Endpoint, FlowKey

from .datagram_codec import MessageCodec
from .exceptions import CodecError, HostUnreachableError, NoRouteError, NoViewError

EXPLAIN_MESSAGES: dict[int, type[Any]] = {9: ExplainRequest, 10: ExplainReply}

ANSWER_TIMEOUT_SECONDS = 2.0
"""How long to wait for a host's answer."""

RETRY_INTERVAL_SECONDS = 0.5
"""Interval at which the request is sent again, since datagrams get lost."""

RECEIVE_BUFFER_BYTES = 4 << 20
"""The answer of a host with thousands of targets arrives as many datagrams at once."""

MAX_DATAGRAM_BYTES = 65_535


def request_explanation(host: Endpoint, flow: FlowKey) -> Explanation:
    """Return the explanation of an entry host for a new flow.

    :raises HostUnreachableError: if the host does not answer in time.
    :raises NoViewError: if the host can't place flows yet.
    :raises NoRouteError: if the host knows no route for the flow.
    """
    try:
        explanation = _exchange(host, flow)
    except OSError as error:
        reason = error.strerror or f"no answer within {ANSWER_TIMEOUT_SECONDS:g} s"
        raise HostUnreachableError(f"{host}: {reason}") from error
    if not explanation.has_view:
        missing = "configuration" if explanation.version < 0 else "update from a control host"
        raise NoViewError(f"{host}: the host has no {missing} yet")
    if explanation.route is None:
        service = Endpoint(flow.service, flow.service_port)
        raise NoRouteError(f"{host}: configuration {explanation.version} has no route to {service}")
    return explanation


def _exchange(host: Endpoint, flow: FlowKey) -> Explanation:
    """Send the request until the answer arrives.

    The socket is connected, so that only datagrams of the host are received, and a closed port is
    reported at once.

    :raises OSError: if the host can't be reached; a :exc:`TimeoutError` if it doesn't answer.
    """
    codec = MessageCodec(EXPLAIN_MESSAGES)
    address, _, port = str(host).rpartition(":")
    deadline = time.monotonic() + ANSWER_TIMEOUT_SECONDS
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.connect((address, int(port)))
        while time.monotonic() < deadline:
            for datagram in codec.encode(ExplainRequest(flow)):
                connection.send(datagram)
            retry_at = min(deadline, time.monotonic() + RETRY_INTERVAL_SECONDS)
            explanation = _receive(connection, codec, flow, retry_at)
            if explanation is not None:
                return explanation
    raise TimeoutError


def _receive(
    connection: socket.socket, codec: MessageCodec, flow: FlowKey, until: float
) -> Explanation | None:
    """Return the answer for a flow, or ``None`` if it doesn't arrive until some time."""
    while (remaining := until - time.monotonic()) > 0:
        connection.settimeout(remaining)
        try:
            body = codec.decode(connection.recv(MAX_DATAGRAM_BYTES), None)
        except TimeoutError:
            return None
        except CodecError:
            continue
        if isinstance(body, ExplainReply) and body.flow == flow:
            return body.explanation
    return None
