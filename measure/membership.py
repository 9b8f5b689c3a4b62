"""Measures cost and speed of the membership protocol, simulated in one process.

For each number of hosts, it prints the encoded bytes per second and host, in an idle fleet and
after a host was killed; the seconds until all other hosts have declared that host dead; and the
share of a processor that one host's core uses. It also prints the encoded sizes of messages that
spread the targets.
"""

from __future__ import annotations

import collections
import random
import sys
import time
from collections.abc import Sequence
from typing import Any

from lacewingrudder_core.clock import HybridTime
from lacewingrudder_core.gossip import TargetGossip
from lacewingrudder_core.messages import MemberStatus, MemberUpdate, MemberUpdates, TargetUpdates
from lacewingrudder_core.types import KindPort, Target, TargetRecord, TargetState
from lacewingrudder_wire.codec import Envelope, encode

from standins.nodes import MemberNode, make_members
from standins.stepping import Network, Sent

HOST_COUNTS = (7, 30, 100, 490)
ZONE_COUNT = 10
WARM_UP_SECONDS = 20.0
WARM_UP_SECONDS_PER_HOST = 0.15
IDLE_SECONDS = 5.0
DEATH_DETECTION_TIMEOUT_SECONDS = 10.0
TARGET_COUNT = 5_500
EPOCH_MILLISECONDS = 1_800_000_000_000
HEARTBEAT_BYTES = 60
HEARTBEATS_PER_SECOND = 2


def encoded_size(body: Any) -> int:
    """Return the number of encoded bytes of a message."""
    return len(encode(Envelope(HybridTime(EPOCH_MILLISECONDS, 1), body)))


class SentBytesTracker:
    """Counts the bytes that each host sends."""

    def __init__(self) -> None:
        self.by_host: collections.Counter[str] = collections.Counter()

    def record_message(self, sender: str, body: Any) -> None:
        """Add one message to its sender's count."""
        self.by_host[sender] += encoded_size(body)

    def per_second(self, hosts: int, seconds: float) -> tuple[float, float]:
        """Return the mean rate over hosts and the highest rate of one host; reset the counts."""
        total, highest = sum(self.by_host.values()), max(self.by_host.values(), default=0)
        self.by_host.clear()
        return total / hosts / seconds, highest / seconds


def measure_fleet(hosts: int) -> None:
    """Print all measures of a fleet with this number of hosts."""
    members = make_members(hosts, ZONE_COUNT)
    sent_bytes = SentBytesTracker()
    nodes = {member.name: MemberNode(member, ["entry-1", "entry-2"]) for member in members}
    network = Network(nodes, on_message=sent_bytes.record_message)
    updates = MemberUpdates(tuple(MemberUpdate(member, MemberStatus.ALIVE) for member in members))
    for name in nodes:
        network.send("entry-1", [Sent(name, updates)])
    network.run(WARM_UP_SECONDS + WARM_UP_SECONDS_PER_HOST * hosts)
    sent_bytes.by_host.clear()
    started = time.process_time()
    network.run(IDLE_SECONDS)
    core_share = (time.process_time() - started) / IDLE_SECONDS / hosts
    mean, highest = sent_bytes.per_second(hosts, IDLE_SECONDS)
    print(f"membership_quiet_bytes_per_s_{hosts}={mean:.0f}")
    print(f"membership_quiet_most_bytes_per_s_{hosts}={highest:.0f}")
    print(f"membership_core_share_{hosts}={core_share:.4f}")
    network.kill("entry-3")
    others = frozenset(network.nodes)
    elapsed = network.run_until(
        lambda: all(
            node.names == others for node in nodes.values() if node.core.local_member.name in others
        ),
        DEATH_DETECTION_TIMEOUT_SECONDS,
    )
    print(f"membership_death_known_s_{hosts}={elapsed if elapsed is None else round(elapsed, 2)}")
    mean, highest = sent_bytes.per_second(hosts, elapsed or DEATH_DETECTION_TIMEOUT_SECONDS)
    print(f"membership_death_bytes_per_s_{hosts}={mean:.0f}")
    print(f"baseline_heartbeat_bytes_per_s_{hosts}={baseline_bytes_per_second(hosts)}")


def baseline_bytes_per_second(hosts: int) -> int:
    """Return the bytes per second that each host would send with heartbeats to all others."""
    return HEARTBEAT_BYTES * HEARTBEATS_PER_SECOND * (hosts - 1)


def measure_targets() -> None:
    """Print the sizes of target gossip messages at the planned number of targets."""
    tables = [TargetGossip(random.Random(seed)) for seed in (1, 2)]
    records = [make_record(number) for number in range(TARGET_COUNT)]
    for table in tables:
        table.update_records(records, 0.0)
    print(f"targets_record_bytes={encoded_size(TargetUpdates((records[0],), is_answer=False))}")
    tables[1].update_records([records[0]._replace(version=2), *records[1:]], 100.0)
    pull = tables[0].compare_digest("x", tables[1].digest, 200.0)[0]
    answers = tables[1].answer_pull("x", pull.body.digests, 200.0)  # type: ignore[union-attr]
    print(f"targets_pull_request_bytes={encoded_size(pull.body)}")
    print(f"targets_pull_answer_bytes={sum(encoded_size(answer.body) for answer in answers)}")


def make_record(number: int) -> TargetRecord:
    """Return a target record of realistic size."""
    address = (10 << 24) + number
    ports = (KindPort("screens", 9000), KindPort("edits", 9001))
    name = f"10.0.{number >> 8}.{number & 255}:9000"
    target = Target(name, "proofdesk", "adum", address, ports, 3, 2000, 1_800_000_000)
    return TargetRecord(target, TargetState.SERVING, 1, 0.25, "entry-11")


def main(host_counts: Sequence[int] = HOST_COUNTS) -> None:
    """Print all measures for each number of hosts."""
    for hosts in host_counts:
        measure_fleet(hosts)
    measure_targets()


if __name__ == "__main__":
    main([int(text) for text in sys.argv[1:]] or HOST_COUNTS)
