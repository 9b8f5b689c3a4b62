"""Measures flow tracking: packet rate, memory, pin bytes, relays, probes and broken flows."""

from __future__ import annotations

import gc
import resource
import sys
import time
from collections.abc import Callable
from pathlib import Path

from lacewingrudder_core import flows
from lacewingrudder_core.flows import PIN_BYTES_PER_SECOND
from lacewingrudder_core.hashing import flow_hash
from lacewingrudder_core.types import Endpoint, FlowKey
from lacewingrudder_daemon import packets

from .flow_model import (
    FIRST_CALLER_ADDRESS,
    SERVICE_ENDPOINT,
    FlowFleet,
    make_core,
    make_view,
    target_endpoint,
)

HOST_COUNT = 7
TARGET_COUNT = 7
FLOW_COUNT = 14_000
PACKET_RATE_FLOW_COUNT = 2_000
PACKET_RATE_ROUND_COUNT = 10
TABLE_FLOW_COUNT = 100_000
PAYLOAD_BYTES = 1_000
REPLICATED_FLOW_BYTES = 20
NEW_FLOWS_PER_SECOND = 2_000
MEBIBYTE = 1 << 20


def _build_packet(
    source: Endpoint, destination: Endpoint, flags: int, seq: int, size: int
) -> bytes:
    """Return a packet with payload and valid checksums, without the codec of the stand-ins."""
    head = bytearray(packets.build(source, destination, flags, seq, 5_001))
    head[2:4] = (len(head) + size).to_bytes(2)
    head[10:12] = head[36:38] = b"\0\0"
    head[10:12] = (0xFFFF - int.from_bytes(head[:20]) % 0xFFFF).to_bytes(2)
    pseudo = int.from_bytes(head[12:20]) + 6 + 20 + size
    data = bytes(head[20:]) + b"x" * size
    head[36:38] = (0xFFFF - (pseudo + int.from_bytes(data)) % 0xFFFF).to_bytes(2)
    return bytes(head) + b"x" * size


def _open_flows(core: flows.FlowCore, count: int) -> None:
    for number in range(count):
        caller = Endpoint(FIRST_CALLER_ADDRESS + number, 40_000)
        syn = flows.Segment(caller, SERVICE_ENDPOINT, flows.SYN, 100, 0, 0)
        effect = core.handle(flows.SegmentArrived(syn, flows.Stage.HOME, "", b"syn"), 1.0)[0]
        assert isinstance(effect, flows.ToTarget)
        syn_ack = flows.Segment(effect.endpoint, caller, flows.SYN | flows.ACK, 5_000, 101, 0)
        core.handle(flows.SegmentArrived(syn_ack, flows.Stage.HOME, ""), 1.0)
        acknowledgement = flows.Segment(caller, SERVICE_ENDPOINT, flows.ACK, 101, 5_001, 0)
        core.handle(flows.SegmentArrived(acknowledgement, flows.Stage.HOME, ""), 1.0)


def _packet_rate(step: Callable[[bytes], None], stream: list[bytes]) -> float:
    """Return packets a second, the highest rate over all rounds."""
    best = float("inf")
    for _ in range(PACKET_RATE_ROUND_COUNT):
        started = time.perf_counter()
        for packet in stream:
            step(packet)
        best = min(best, time.perf_counter() - started)
    return len(stream) / best


def measure_packet_rate() -> None:
    """Print the packet rate of parsing, decision and rewriting, without sockets."""
    core = make_core("entry-0", make_view([0], list(range(TARGET_COUNT)), TARGET_COUNT))
    _open_flows(core, PACKET_RATE_FLOW_COUNT)
    stream = [
        _build_packet(
            Endpoint(FIRST_CALLER_ADDRESS + n, 40_000),
            SERVICE_ENDPOINT,
            flows.ACK,
            101,
            PAYLOAD_BYTES,
        )
        for n in range(PACKET_RATE_FLOW_COUNT)
    ]
    endpoints = [target_endpoint(number) for number in range(TARGET_COUNT)]

    def parse_packet(packet: bytes) -> packets.ParsedPacket:
        parsed = packets.parse(packet)
        assert isinstance(parsed, packets.ParsedPacket)
        return parsed

    def flow_step(packet: bytes) -> None:
        parsed = parse_packet(packet)
        event = flows.SegmentArrived(parsed.segment, flows.Stage.FABRIC, "", packet)
        effect = core.handle(event, 2.0)[0]
        assert isinstance(effect, flows.ToTarget)
        packets.rewrite_destination(packet, parsed.header_length, effect.endpoint)

    def checked_step(packet: bytes) -> None:
        packets.are_checksums_correct(packet, 20)
        flow_step(packet)

    def hash_step(packet: bytes) -> None:
        parsed = parse_packet(packet)
        segment = parsed.segment
        key = FlowKey(*segment.source, *segment.destination)
        chosen = endpoints[flow_hash(key) % TARGET_COUNT]
        packets.rewrite_destination(packet, parsed.header_length, chosen)

    print(f"flow_path_packets_per_s={_packet_rate(flow_step, stream):.0f}")
    print(f"flow_path_packets_per_s_checksums_verified={_packet_rate(checked_step, stream):.0f}")
    print(f"baseline_plain_hash_packets_per_s={_packet_rate(hash_step, stream):.0f}")


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def measure_memory() -> None:
    """Print the memory and the tick time of a large flow table."""
    core = make_core("entry-0", make_view([0], list(range(TARGET_COUNT)), TARGET_COUNT))
    gc.collect()
    before = _resident_bytes()
    _open_flows(core, TABLE_FLOW_COUNT)
    gc.collect()
    used = _resident_bytes() - before
    print(f"flow_table_flows={core.flow_count}")
    print(f"flow_bytes_per_flow={used / TABLE_FLOW_COUNT:.0f}")
    print(f"flow_table_megabytes={used / MEBIBYTE:.1f}")
    started = time.perf_counter()
    for _ in range(50):
        core.handle(flows.FlowTick(), 2.0)
    print(f"flow_tick_ms={(time.perf_counter() - started) / 50 * 1000:.2f}")


def _count_broken(fleet: FlowFleet) -> int:
    return sum(not fleet.send_request(caller) for caller in range(FLOW_COUNT))


def _fleet_with_open_flows() -> FlowFleet:
    fleet = FlowFleet(HOST_COUNT, TARGET_COUNT)
    for caller in range(FLOW_COUNT):
        fleet.open_flow(caller)
    fleet.advance(0.2)
    return fleet


def measure_changes() -> None:
    """Print broken flows and overhead when a target drains and a host is killed.

    The host is killed once after the pins were replicated and once before.
    """
    fleet = _fleet_with_open_flows()
    print(f"flow_relays_per_packet={fleet.counts['relays'] / fleet.counts['packets']:.2f}")
    fleet.counts.clear()
    fleet.change_view(fleet.hosts, fleet.accepting[1:])
    fleet.advance(120.0)
    pinned = sum(core.pin_count for core in fleet.cores.values())
    pin_bytes = fleet.counts["pin_bytes"]
    print(f"flow_pins_per_withdrawn_target={pinned}")
    print(f"flow_pin_bytes_per_withdrawn_target_and_host={pin_bytes / HOST_COUNT:.0f}")
    print(f"flow_pin_budget_bytes_per_s={PIN_BYTES_PER_SECOND:.0f}")
    _measure_kill(fleet, "")
    fleet_without_pins = _fleet_with_open_flows()
    fleet_without_pins.change_view(fleet_without_pins.hosts, fleet_without_pins.accepting[1:])
    _measure_kill(fleet_without_pins, "_before_pins_were_sent")


def _measure_kill(fleet: FlowFleet, suffix: str) -> None:
    fleet.counts.clear()
    fleet.change_view(fleet.hosts[1:], fleet.accepting)
    print(f"flow_broken_by_drain_and_kill{suffix}={_count_broken(fleet)}")
    packets_sent = fleet.counts["packets"]
    print(f"flow_relays_per_packet_after_kill{suffix}={fleet.counts['relays'] / packets_sent:.2f}")
    print(f"flow_probes_per_flow_after_kill{suffix}={fleet.counts['probes'] / FLOW_COUNT:.2f}")


def measure_baselines() -> None:
    """Print flows that pure hashing breaks when a target drains, and bytes of full replication."""
    before = make_view([0], list(range(TARGET_COUNT)), TARGET_COUNT).routes[SERVICE_ENDPOINT].table
    after = (
        make_view([0], list(range(1, TARGET_COUNT)), TARGET_COUNT).routes[SERVICE_ENDPOINT].table
    )
    digests = [
        flow_hash(FlowKey(FIRST_CALLER_ADDRESS + number, 40_000, *SERVICE_ENDPOINT))
        for number in range(FLOW_COUNT)
    ]
    moved = sum(before.choose(digest) != after.choose(digest) for digest in digests)
    print(f"baseline_maglev_alone_flows_broken_by_drain={moved}")
    moved = sum(digest % TARGET_COUNT != digest % (TARGET_COUNT - 1) + 1 for digest in digests)
    print(f"baseline_plain_hash_flows_broken_by_drain={moved}")
    replicated = NEW_FLOWS_PER_SECOND * REPLICATED_FLOW_BYTES
    print(f"baseline_replicate_all_bytes_per_s={replicated}")


def main() -> int:
    """Print all measures of flows."""
    measure_memory()
    measure_packet_rate()
    measure_changes()
    measure_baselines()
    print(f"flow_changes_flows={FLOW_COUNT}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
