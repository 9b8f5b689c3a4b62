import random
import socket
import struct
import unittest

import dpkt
from lacewingrudder_core.types import Endpoint
from lacewingrudder_daemon import packets

SOURCE = Endpoint(0xC0000201, 5001)
SERVICE = Endpoint(0x0A0A0001, 443)
TARGET = Endpoint(0x0A0A0103, 9000)


def packet(payload: bytes = b"", options: bytes = b"") -> bytes:
    """Return a packet whose headers and checksums are made by dpkt."""
    tcp = dpkt.tcp.TCP(sport=SOURCE.port, dport=SERVICE.port, seq=7, ack=9, flags=0x18)
    tcp.opts = options
    tcp.off = 5 + len(options) // 4
    tcp.data = payload
    addresses = (struct.pack("!I", end.address) for end in (SOURCE, SERVICE))
    source, destination = addresses
    ip = dpkt.ip.IP(src=source, dst=destination, p=socket.IPPROTO_TCP, data=tcp)
    ip.len = len(ip)
    return bytes(ip)


def with_bytes(data: bytes, offset: int, new: bytes) -> bytes:
    return data[:offset] + new + data[offset + len(new) :]


class ParseTest(unittest.TestCase):
    def test_fields_of_a_segment_with_options(self) -> None:
        parsed = packets.parse(packet(b"edit", b"\x01\x01\x01\x00"))
        assert isinstance(parsed, packets.ParsedPacket)
        self.assertEqual(parsed.segment, (SOURCE, SERVICE, 0x18, 7, 9, 4))

    def test_every_truncation_is_rejected(self) -> None:
        whole = packet(b"edit")
        for size in range(len(whole)):
            self.assertEqual(packets.parse(whole[:size]), packets.PacketFault.TRUNCATED, size)

    def test_fragments_are_rejected(self) -> None:
        for fragment in (b"\x20\x00", b"\x00\x01", b"\x3f\xff"):
            broken = with_bytes(packet(b"edit"), 6, fragment)
            self.assertEqual(packets.parse(broken), packets.PacketFault.FRAGMENT)

    def test_other_protocols_are_rejected(self) -> None:
        for offset, value in ((0, b"\x65"), (9, b"\x11")):
            broken = with_bytes(packet(), offset, value)
            self.assertEqual(packets.parse(broken), packets.PacketFault.NOT_IPV4_TCP)

    def test_data_offset_beyond_the_packet_or_below_the_header_is_rejected(self) -> None:
        for offset in (b"\xf0", b"\x40"):
            broken = with_bytes(packet(), 32, offset)
            self.assertEqual(packets.parse(broken), packets.PacketFault.TRUNCATED)

    def test_random_bytes_never_raise(self) -> None:
        rng = random.Random(3)
        for _ in range(3000):
            data = rng.randbytes(rng.randrange(80))
            packets.parse(b"\x45" + data)


class ChecksumTest(unittest.TestCase):
    def test_correct_checksums_are_accepted_at_even_and_odd_sizes(self) -> None:
        for size in (0, 1, 2, 999, 1000):
            self.assertTrue(packets.are_checksums_correct(packet(b"x" * size), 20), size)

    def test_any_changed_byte_is_detected(self) -> None:
        whole = packet(b"edit!")
        for offset in range(len(whole)):
            broken = with_bytes(whole, offset, bytes([whole[offset] ^ 0x5A]))
            self.assertFalse(packets.are_checksums_correct(broken, 20), offset)

    def test_rewrites_keep_correct_checksums_correct_and_wrong_ones_wrong(self) -> None:
        for rewrite in (packets.rewrite_destination, packets.rewrite_source):
            whole = packet(b"odd")
            self.assertTrue(packets.are_checksums_correct(bytes(rewrite(whole, 20, TARGET)), 20))
            broken = with_bytes(whole, len(whole) - 1, b"?")
            self.assertFalse(packets.are_checksums_correct(bytes(rewrite(broken, 20, TARGET)), 20))

    def test_built_segments_have_correct_checksums(self) -> None:
        for seq in (0, 1, 0xFFFFFFFF):
            built = packets.build(SOURCE, SERVICE, 0x14, seq, 5)
            self.assertTrue(packets.are_checksums_correct(built, 20))
            self.assertEqual(dpkt.ip.IP(built).data.flags, 0x14)
