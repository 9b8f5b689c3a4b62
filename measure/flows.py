"""What keeping flows costs: packets a second, memory, control bytes, hops and broken flows."""

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

from .flow_model import CALLERS, SERVICE, FlowFleet, make_core, make_view, target_endpoint

HOSTS = 7
TARGETS = 7
FLOWS = 14_000
PATH_FLOWS = 2_000
PATH_ROUNDS = 10
TABLE_FLOWS = 100_000
PAYLOAD_BYTES = 1_000
ENTRY_BYTES_REPLICATED = 20
NEW_FLOWS_PER_SECOND = 2_000
MEGABYTE = 1 << 20


def _packet(source: Endpoint, destination: Endpoint, flags: int, seq: int, size: int) -> bytes:
    """Return a packet with payload; the stand-in codec is not needed for this."""
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
        caller = Endpoint(CALLERS + number, 40_000)
        syn = flows.Segment(caller, SERVICE, flows.SYN, 100, 0, 0)
        effect = core.handle(flows.SegmentArrived(syn, flows.Stage.HOME, "", b"syn"), 1.0)[0]
        assert isinstance(effect, flows.ToTarget)
        answer = flows.Segment(effect.endpoint, caller, flows.SYN | flows.ACK, 5_000, 101, 0)
        core.handle(flows.SegmentArrived(answer, flows.Stage.HOME, ""), 1.0)
        acknowledgement = flows.Segment(caller, SERVICE, flows.ACK, 101, 5_001, 0)
        core.handle(flows.SegmentArrived(acknowledgement, flows.Stage.HOME, ""), 1.0)


def _rate(step: Callable[[bytes], None], stream: list[bytes]) -> float:
    """Return packets a second, the best of a few rounds."""
    best = float("inf")
    for _ in range(PATH_ROUNDS):
        began = time.perf_counter()
        for packet in stream:
            step(packet)
        best = min(best, time.perf_counter() - began)
    return len(stream) / best


def measure_path() -> None:
    """Print packets a second of parse, decision and rewrite, without sockets."""
    core = make_core("entry-0", make_view([0], list(range(TARGETS)), TARGETS))
    _open_flows(core, PATH_FLOWS)
    stream = [
        _packet(Endpoint(CALLERS + n, 40_000), SERVICE, flows.ACK, 101, PAYLOAD_BYTES)
        for n in range(PATH_FLOWS)
    ]
    ends = [target_endpoint(number) for number in range(TARGETS)]

    def parsed(packet: bytes) -> packets.ParsedPacket:
        found = packets.parse(packet)
        assert isinstance(found, packets.ParsedPacket)
        return found

    def flow_step(packet: bytes) -> None:
        found = parsed(packet)
        event = flows.SegmentArrived(found.segment, flows.Stage.FABRIC, "", packet)
        effect = core.handle(event, 2.0)[0]
        assert isinstance(effect, flows.ToTarget)
        packets.rewrite_destination(packet, found.header_length, effect.endpoint)

    def checked_step(packet: bytes) -> None:
        packets.checksums_hold(packet, 20)
        flow_step(packet)

    def hash_step(packet: bytes) -> None:
        found = parsed(packet)
        segment = found.segment
        key = FlowKey(*segment.source, *segment.destination)
        end = ends[flow_hash(key) % TARGETS]
        packets.rewrite_destination(packet, found.header_length, end)

    print(f"flow_path_packets_per_s={_rate(flow_step, stream):.0f}")
    print(f"flow_path_packets_per_s_checksums_verified={_rate(checked_step, stream):.0f}")
    print(f"baseline_plain_hash_packets_per_s={_rate(hash_step, stream):.0f}")


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def measure_memory() -> None:
    """Print what a table of many flows takes."""
    core = make_core("entry-0", make_view([0], list(range(TARGETS)), TARGETS))
    gc.collect()
    before = _resident_bytes()
    _open_flows(core, TABLE_FLOWS)
    gc.collect()
    used = _resident_bytes() - before
    print(f"flow_table_flows={core.flow_count}")
    print(f"flow_bytes_per_flow={used / TABLE_FLOWS:.0f}")
    print(f"flow_table_megabytes={used / MEGABYTE:.1f}")
    began = time.perf_counter()
    for _ in range(50):
        core.handle(flows.FlowTick(), 2.0)
    print(f"flow_tick_ms={(time.perf_counter() - began) / 50 * 1000:.2f}")


def _broken(fleet: FlowFleet) -> int:
    return sum(not fleet.request(caller) for caller in range(FLOWS))


def _opened() -> FlowFleet:
    fleet = FlowFleet(HOSTS, TARGETS)
    for caller in range(FLOWS):
        fleet.open(caller)
    fleet.wait(0.2)
    return fleet


def measure_changes() -> None:
    """Print broken flows and costs when a target drains and a host dies, pins sent or not."""
    fleet = _opened()
    print(f"flow_relays_per_packet={fleet.counts['relays'] / fleet.counts['packets']:.2f}")
    fleet.counts.clear()
    fleet.change(fleet.hosts, fleet.working[1:])
    fleet.wait(120.0)
    pinned = sum(core.pin_count for core in fleet.cores.values())
    sent = fleet.counts["pin_bytes"]
    print(f"flow_pins_per_withdrawn_target={pinned}")
    print(f"flow_pin_bytes_per_withdrawn_target_and_host={sent / HOSTS:.0f}")
    print(f"flow_pin_budget_bytes_per_s={PIN_BYTES_PER_SECOND:.0f}")
    _kill_home(fleet, "")
    unsent = _opened()
    unsent.change(unsent.hosts, unsent.working[1:])
    _kill_home(unsent, "_before_pins_were_sent")


def _kill_home(fleet: FlowFleet, when: str) -> None:
    fleet.counts.clear()
    fleet.change(fleet.hosts[1:], fleet.working)
    print(f"flow_broken_by_drain_and_kill{when}={_broken(fleet)}")
    packets_sent = fleet.counts["packets"]
    print(f"flow_relays_per_packet_after_kill{when}={fleet.counts['relays'] / packets_sent:.2f}")
    print(f"flow_probes_per_flow_after_kill{when}={fleet.counts['probes'] / FLOWS:.2f}")


def measure_baselines() -> None:
    """Print what hashing alone breaks when a target drains, and what replication costs."""
    before = make_view([0], list(range(TARGETS)), TARGETS).routes[SERVICE].table
    after = make_view([0], list(range(1, TARGETS)), TARGETS).routes[SERVICE].table
    digests = [flow_hash(FlowKey(CALLERS + number, 40_000, *SERVICE)) for number in range(FLOWS)]
    moved = sum(before.choose(digest) != after.choose(digest) for digest in digests)
    print(f"baseline_maglev_alone_flows_broken_by_drain={moved}")
    moved = sum(digest % TARGETS != digest % (TARGETS - 1) + 1 for digest in digests)
    print(f"baseline_plain_hash_flows_broken_by_drain={moved}")
    replicated = NEW_FLOWS_PER_SECOND * ENTRY_BYTES_REPLICATED
    print(f"baseline_replicate_all_bytes_per_s={replicated}")


def main() -> int:
    """Print all measures of flows."""
    measure_memory()
    measure_path()
    measure_changes()
    measure_baselines()
    print(f"flow_changes_flows={FLOWS}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
