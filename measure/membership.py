"""What membership costs and how fast it is, stepped in one process with encoded sizes.

For each number of hosts: bytes of messages a second and host in a quiet fleet and while one host
dies, seconds until a killed host is dead on all others, and the processor time of one host's core.
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

SIZES = (7, 30, 100, 490)
ZONES = 10
WARM_SECONDS = 20.0
WARM_SECONDS_PER_HOST = 0.15
QUIET_SECONDS = 5.0
DEATH_SECONDS = 10.0
TARGETS = 5_500
EPOCH_MILLISECONDS = 1_800_000_000_000
HEARTBEAT_BYTES = 60
HEARTBEATS_PER_SECOND = 2


def size_of(body: Any) -> int:
    """Return the encoded bytes of a message."""
    return len(encode(Envelope(HybridTime(EPOCH_MILLISECONDS, 1), body)))


class Bytes:
    """Adds up the bytes that each host sends."""

    def __init__(self) -> None:
        self.by_host: collections.Counter[str] = collections.Counter()

    def count(self, sender: str, body: Any) -> None:
        """Take one message."""
        self.by_host[sender] += size_of(body)

    def per_second(self, hosts: int, seconds: float) -> tuple[float, float]:
        """Return the mean over hosts and the most of one host, and start again."""
        total, most = sum(self.by_host.values()), max(self.by_host.values(), default=0)
        self.by_host.clear()
        return total / hosts / seconds, most / seconds


def measure_size(hosts: int) -> None:
    """Print the measures for one number of hosts."""
    members = make_members(hosts, ZONES)
    sent = Bytes()
    nodes = {member.name: MemberNode(member, ["entry-1", "entry-2"]) for member in members}
    network = Network(nodes, on_message=sent.count)
    news = MemberUpdates(tuple(MemberUpdate(member, MemberStatus.ALIVE) for member in members))
    for name in nodes:
        network.send("entry-1", [Sent(name, news)])
    network.run(WARM_SECONDS + WARM_SECONDS_PER_HOST * hosts)
    sent.by_host.clear()
    started = time.process_time()
    network.run(QUIET_SECONDS)
    share = (time.process_time() - started) / QUIET_SECONDS / hosts
    mean, most = sent.per_second(hosts, QUIET_SECONDS)
    print(f"membership_quiet_bytes_per_s_{hosts}={mean:.0f}")
    print(f"membership_quiet_most_bytes_per_s_{hosts}={most:.0f}")
    print(f"membership_core_share_{hosts}={share:.4f}")
    network.kill("entry-3")
    others = frozenset(network.nodes)
    passed = network.run_until(
        lambda: all(
            node.names == others for node in nodes.values() if node.core.local_member.name in others
        ),
        DEATH_SECONDS,
    )
    print(f"membership_death_known_s_{hosts}={passed if passed is None else round(passed, 2)}")
    mean, most = sent.per_second(hosts, passed or DEATH_SECONDS)
    print(f"membership_death_bytes_per_s_{hosts}={mean:.0f}")
    print(f"baseline_heartbeat_bytes_per_s_{hosts}={baseline_bytes(hosts)}")


def baseline_bytes(hosts: int) -> int:
    """Return what heartbeats from each host to all others would cost."""
    return HEARTBEAT_BYTES * HEARTBEATS_PER_SECOND * (hosts - 1)


def measure_targets() -> None:
    """Print what target records cost at the planned size."""
    tables = [TargetGossip(random.Random(seed)) for seed in (1, 2)]
    records = [make_record(number) for number in range(TARGETS)]
    for table in tables:
        table.update_records(records, 0.0)
    print(f"targets_record_bytes={size_of(TargetUpdates((records[0],), is_answer=False))}")
    tables[1].update_records([records[0]._replace(version=2), *records[1:]], 100.0)
    pull = tables[0].compare_digest("x", tables[1].digest, 200.0)[0]
    answers = tables[1].answer_pull("x", pull.body.digests, 200.0)  # type: ignore[union-attr]
    print(f"targets_pull_request_bytes={size_of(pull.body)}")
    print(f"targets_pull_answer_bytes={sum(size_of(answer.body) for answer in answers)}")


def make_record(number: int) -> TargetRecord:
    """Return a target record as large as real ones."""
    address = (10 << 24) + number
    ports = (KindPort("screens", 9000), KindPort("edits", 9001))
    name = f"10.0.{number >> 8}.{number & 255}:9000"
    target = Target(name, "proofdesk", "adum", address, ports, 3, 2000, 1_800_000_000)
    return TargetRecord(target, TargetState.SERVING, 1, 0.25, "entry-11")


def main(sizes: Sequence[int] = SIZES) -> None:
    """Print all measures."""
    for hosts in sizes:
        measure_size(hosts)
    measure_targets()


if __name__ == "__main__":
    main([int(text) for text in sys.argv[1:]] or SIZES)
