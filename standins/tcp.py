"""A minimal TCP: handshake, cumulative acknowledgement, retransmission and orderly close."""

from __future__ import annotations

from collections.abc import Callable

from .wire import Address, InnerSegment

FIN, SYN, RST, PSH, ACK = 0x01, 0x02, 0x04, 0x08, 0x10
MAX_SEGMENT_BYTES = 1000
WINDOW_SEGMENTS = 8
INITIAL_RETRANSMISSION_TIMEOUT_SECONDS = 0.25
MAX_RETRANSMISSION_TIMEOUT_SECONDS = 1.0
_SEQUENCE_MODULUS = 1 << 32


class TcpConnection:
    """One endpoint's state of a connection.

    :param isn: the initial sequence number of this endpoint.
    :param send: called with each segment that this endpoint sends.
    """

    def __init__(
        self, local: Address, remote: Address, isn: int, send: Callable[[InnerSegment], None]
    ) -> None:
        self.local = local
        self.remote = remote
        self.received = bytearray()
        self.is_established = False
        self.was_reset = False
        self.is_remote_closed = False
        self.closed_at: float | None = None
        self.peer_isn: int | None = None
        self._send = send
        self._isn = isn
        self._send_buffer = bytearray()
        self._is_close_requested = False
        self._was_syn_sent = False
        self._acked_offset = 0
        self._sent_offset = 0
        self._expected_offset = 0
        self._out_of_order: dict[int, InnerSegment] = {}
        self._retransmission_timeout = INITIAL_RETRANSMISSION_TIMEOUT_SECONDS
        self._retransmission_deadline: float | None = None

    @property
    def is_closed(self) -> bool:
        """Whether both endpoints have closed the connection, or it was reset."""
        all_acked = self._is_close_requested and self._acked_offset > len(self._send_buffer)
        return self.was_reset or (all_acked and self.is_remote_closed)

    def connect(self, now: float) -> None:
        """Open the connection by sending a SYN."""
        self._was_syn_sent = True
        self._send_segment(SYN, self._isn, b"")
        self._start_timer(now)

    def accept(self, syn: InnerSegment, now: float) -> None:
        """Answer a SYN with a SYN-ACK."""
        self.peer_isn = syn.seq
        self._send_segment(SYN | ACK, self._isn, b"")
        self._start_timer(now)

    def write(self, data: bytes, now: float) -> None:
        """Append data to the send buffer and send what the window allows."""
        self._send_buffer += data
        self._send_pending(now)

    def close(self, now: float) -> None:
        """Send a FIN after all buffered data."""
        self._is_close_requested = True
        self._send_pending(now)

    def abort(self) -> None:
        """Reset the connection."""
        self._send_segment(RST | ACK, self._sequence_number(self._sent_offset), b"")
        self.was_reset = True

    def handle_segment(self, segment: InnerSegment, now: float) -> None:
        """Process a segment from the other endpoint."""
        if segment.flags & RST:
            self._handle_reset(segment)
            return
        if segment.flags & SYN:
            self._handle_syn(segment, now)
            return
        if self.peer_isn is None:
            return
        if segment.flags & ACK:
            self._handle_ack(segment.ack, now)
        if segment.payload or segment.flags & FIN:
            self._handle_payload(segment)
        elif self._distance_from_expected(segment) < 0:
            self._send_ack()

    def tick(self, now: float) -> None:
        """Retransmit unacknowledged segments after a timeout, with exponential backoff."""
        if (
            self._retransmission_deadline is None
            or now < self._retransmission_deadline
            or self.was_reset
        ):
            return
        self._retransmission_timeout = min(
            2 * self._retransmission_timeout, MAX_RETRANSMISSION_TIMEOUT_SECONDS
        )
        if not self.is_established:
            flags = SYN if self._was_syn_sent else SYN | ACK
            self._send_segment(flags, self._isn, b"")
            self._start_timer(now)
            return
        self._sent_offset = self._acked_offset
        self._send_pending(now)

    def _handle_reset(self, segment: InnerSegment) -> None:
        expected_ack = (
            self._sequence_number(self._sent_offset)
            if self.is_established
            else (self._isn + 1) % _SEQUENCE_MODULUS
        )
        if self.peer_isn is None:
            self.was_reset = self.was_reset or segment.ack == expected_ack
            return
        distance = (segment.seq - self.peer_isn - 1 - self._expected_offset) % _SEQUENCE_MODULUS
        self.was_reset = self.was_reset or distance < MAX_SEGMENT_BYTES * WINDOW_SEGMENTS * 2

    def _handle_syn(self, segment: InnerSegment, now: float) -> None:
        if not self._was_syn_sent:
            if segment.seq == self.peer_isn:
                self._send_segment(SYN | ACK, self._isn, b"")
            return
        if not segment.flags & ACK or segment.ack != (self._isn + 1) % _SEQUENCE_MODULUS:
            return
        if self.peer_isn is None:
            self.peer_isn = segment.seq
            self.is_established = True
            self._retransmission_deadline = None
            self._retransmission_timeout = INITIAL_RETRANSMISSION_TIMEOUT_SECONDS
        if segment.seq == self.peer_isn:
            self._send_ack()
            self._send_pending(now)

    def _handle_ack(self, ack_number: int, now: float) -> None:
        offset = (ack_number - self._isn - 1) % _SEQUENCE_MODULUS
        if offset > len(self._send_buffer) + 1:
            return
        self.is_established = True
        if offset > self._acked_offset:
            self._acked_offset = offset
            self._sent_offset = max(self._sent_offset, offset)
            self._retransmission_timeout = INITIAL_RETRANSMISSION_TIMEOUT_SECONDS
        if self._acked_offset >= self._sent_offset:
            self._retransmission_deadline = None
        self._send_pending(now)

    def _handle_payload(self, segment: InnerSegment) -> None:
        assert self.peer_isn is not None
        offset = (segment.seq - self.peer_isn - 1) % _SEQUENCE_MODULUS
        if 0 <= offset - self._expected_offset < MAX_SEGMENT_BYTES * WINDOW_SEGMENTS * 2:
            self._out_of_order[offset] = segment
        while (next_segment := self._out_of_order.pop(self._expected_offset, None)) is not None:
            self._append_payload(next_segment)
        self._send_ack()

    def _append_payload(self, segment: InnerSegment) -> None:
        self.received += segment.payload
        self._expected_offset += len(segment.payload)
        if segment.flags & FIN and not self.is_remote_closed:
            self._expected_offset += 1
            self.is_remote_closed = True

    def _send_pending(self, now: float) -> None:
        if not self.is_established:
            return
        limit = self._acked_offset + MAX_SEGMENT_BYTES * WINDOW_SEGMENTS
        while self._sent_offset < min(len(self._send_buffer), limit):
            part = bytes(
                self._send_buffer[self._sent_offset : self._sent_offset + MAX_SEGMENT_BYTES]
            )
            self._send_segment(PSH | ACK, self._sequence_number(self._sent_offset), part)
            self._sent_offset += len(part)
            self._start_timer(now)
        if self._is_close_requested and self._sent_offset == len(self._send_buffer):
            self._send_segment(FIN | ACK, self._sequence_number(self._sent_offset), b"")
            self._sent_offset += 1
            self._start_timer(now)

    def _distance_from_expected(self, segment: InnerSegment) -> int:
        """Return a segment's distance from the next expected byte; negative for a keep-alive."""
        assert self.peer_isn is not None
        ahead = (segment.seq - self.peer_isn - 1 - self._expected_offset) % _SEQUENCE_MODULUS
        return ahead if ahead < _SEQUENCE_MODULUS // 2 else ahead - _SEQUENCE_MODULUS

    def _send_ack(self) -> None:
        self._send_segment(ACK, self._sequence_number(self._sent_offset), b"")

    def _sequence_number(self, offset: int) -> int:
        return (self._isn + 1 + offset) % _SEQUENCE_MODULUS

    def _start_timer(self, now: float) -> None:
        self._retransmission_deadline = now + self._retransmission_timeout

    def _send_segment(self, flags: int, seq: int, payload: bytes) -> None:
        ack = (
            0
            if self.peer_isn is None
            else (self.peer_isn + 1 + self._expected_offset) % _SEQUENCE_MODULUS
        )
        self._send(InnerSegment(self.local, self.remote, flags, seq, ack, payload))
