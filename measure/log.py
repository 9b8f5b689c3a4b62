"""Measures the replicated log: commit latency, bytes between voters, recovery time, memory."""

from __future__ import annotations

import asyncio
import random
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any

from lacewingrudder_core.clock import HybridTime
from lacewingrudder_core.control import ControlCore, ForwardMessageReceived, OperatorRequestReceived
from lacewingrudder_core.messages import OperatorReply, SubmitNote
from lacewingrudder_core.notes import Note, SubmitTag
from lacewingrudder_core.replica import (
    DurableState,
    ForwardReply,
    ForwardRequest,
    Persist,
    Persisted,
    Propose,
    ReplicaCore,
    ReplicaMessageReceived,
    StaticVoters,
    Tick,
)
from lacewingrudder_core.types import Kind, Service
from lacewingrudder_daemon.control_task import ControlTask
from lacewingrudder_daemon.recorder import TimelineWriter
from lacewingrudder_daemon.storage import FolderDisk, ReplicaStore
from lacewingrudder_wire.codec import Envelope, encode
from lacewingrudder_wire.resources import load_state_chart

from . import log_gaps

VOTERS = ("c1", "c2", "c3")
FIVE_VOTERS = (*VOTERS, "c4", "c5")
SERVICE_COUNT = 390
KINDS_PER_SERVICE = 3
LATENCY_NOTE_COUNT = 200
RECOVERY_NOTE_COUNTS = (500, 10_000)
SYNC_SAMPLE_COUNT = 200
SYNC_BYTES = 400
IDLE_SECONDS = 5.0
ELECTION_TIMEOUT_SECONDS = 20.0
MS_PER_SECOND = 1000.0
MEBIBYTE = 1 << 20


class UnsyncedDisk(FolderDisk):
    """A disk that does not sync, so that filling a folder takes less time."""

    def sync(self, name: str) -> None:
        """Do nothing; the operating system writes its cache back later."""


def make_service(number: int, urgency: int) -> Service:
    """Return a service as large as those in real release notes."""
    kinds = tuple(
        Kind(f"kind-{index}", 443 + index, urgency, False, 0.3)
        for index in range(KINDS_PER_SERVICE)
    )
    return Service(f"service-{number}", number, "a-service-key", kinds)


def make_notes(count: int) -> Iterator[Note]:
    """Yield a note that adds all services, then notes that each change one service."""
    added = tuple(make_service(number, 0) for number in range(SERVICE_COUNT))
    yield Note(1, 0, added, (), (), f"{1:064x}")
    for number in range(2, count + 1):
        changed = make_service(number % SERVICE_COUNT, number % 10)
        yield Note(number, number - 1, (), (changed,), (), f"{number:064x}")


class Cluster:
    """Runs control tasks in one process, with real disks, and counts the bytes of their messages.

    :param folder: parent of the data folders.
    :param names: names of the control hosts.
    """

    def __init__(self, folder: Path, names: Sequence[str] = VOTERS) -> None:
        self._names = names
        self._replies: dict[int, asyncio.Future[Any]] = {}
        self.bytes_sent = 0
        self._timelines = [TimelineWriter(name, None) for name in names]
        self.tasks = {
            name: self._make_task(name, folder / name, timeline)
            for name, timeline in zip(names, self._timelines, strict=True)
        }
        self._runners = [asyncio.create_task(task.run()) for task in self.tasks.values()]

    def _make_task(self, name: str, folder: Path, timeline: TimelineWriter) -> ControlTask:
        store = ReplicaStore(FolderDisk(folder))
        durable = store.recover(DurableState(f"{name}-identity"))
        rng = random.Random(name)
        replica = ReplicaCore(
            name, StaticVoters(self._names), load_state_chart("replica"), durable, rng
        )
        core = ControlCore(name, replica)
        return ControlTask(core, store, timeline, self._make_sender(name), self._record_reply)

    def _make_sender(self, name: str) -> Callable[[str, Any], None]:
        loop = asyncio.get_running_loop()

        def send(host: str, message: Any) -> None:
            self.bytes_sent += len(
                encode(Envelope(HybridTime(int(time.time() * 1000), 0), message))
            )
            is_forwarded = isinstance(message, ForwardRequest | ForwardReply)
            event = (
                ForwardMessageReceived(name, message)
                if is_forwarded
                else ReplicaMessageReceived(name, message)
            )
            loop.call_soon(self.tasks[host].handle, event)

        return send

    def _record_reply(self, token: int, body: Any) -> None:
        self._replies[token].set_result(body)

    async def wait_for_leader(self) -> ControlTask:
        """Wait until a leader is elected and return its task.

        :raises TimeoutError: if no leader is elected in time.
        """
        async with asyncio.timeout(ELECTION_TIMEOUT_SECONDS):
            while True:
                for name, task in self.tasks.items():
                    if task.core.replica.leader(asyncio.get_running_loop().time()) == name:
                        return task
                await asyncio.sleep(0.05)

    async def submit(self, task: ControlTask, note: Note) -> float:
        """Submit a note and return the seconds until it was accepted."""
        future = asyncio.get_running_loop().create_future()
        self._replies[note.number] = future
        started = time.perf_counter()
        task.handle(OperatorRequestReceived(note.number, SubmitNote(note)))
        body = await future
        assert isinstance(body, OperatorReply) and body.reply.tag is SubmitTag.ACCEPTED, body
        return time.perf_counter() - started

    async def close(self) -> None:
        """Cancel the tasks and close their stores."""
        for runner in self._runners:
            runner.cancel()
        await asyncio.gather(*self._runners, return_exceptions=True)
        for task in self.tasks.values():
            task.close()


async def measure_commits(folder: Path) -> None:
    """Print the commit latency of notes, and the bytes that three voters send for each note."""
    cluster = Cluster(folder)
    leader = await cluster.wait_for_leader()
    idle = await measure_idle(cluster, len(VOTERS))
    stream = make_notes(LATENCY_NOTE_COUNT + 1)
    await cluster.submit(leader, next(stream))
    started, sent = time.perf_counter(), cluster.bytes_sent
    latencies = [await cluster.submit(leader, note) for note in stream]
    seconds = time.perf_counter() - started
    per_note = (cluster.bytes_sent - sent - idle * seconds) / len(latencies)
    await cluster.close()
    latencies.sort()
    print_measure("log_commit_latency_median_ms", statistics.median(latencies) * MS_PER_SECOND)
    print_measure(
        "log_commit_latency_p99_ms", latencies[len(latencies) * 99 // 100] * MS_PER_SECOND
    )
    print_measure("log_bytes_per_note", per_note)


async def measure_idle(cluster: Cluster, voters: int) -> float:
    """Print the bytes a second of all idle voters and the processor share of each.

    Return the bytes a second.
    """
    sent, cpu_started = cluster.bytes_sent, time.process_time()
    await asyncio.sleep(IDLE_SECONDS)
    bytes_per_second = (cluster.bytes_sent - sent) / IDLE_SECONDS
    core_share = (time.process_time() - cpu_started) / IDLE_SECONDS / voters
    print_measure(f"log_idle_bytes_per_s_{voters}_voters", bytes_per_second)
    print_measure(f"log_idle_core_share_per_voter_{voters}_voters", core_share)
    return bytes_per_second


async def measure_five_voters(folder: Path) -> None:
    """Print the bytes a second and the processor share of five idle voters."""
    cluster = Cluster(folder, FIVE_VOTERS)
    await cluster.wait_for_leader()
    await measure_idle(cluster, len(FIVE_VOTERS))
    await cluster.close()


def measure_sync(folder: Path) -> None:
    """Print the median time of one append and sync on this disk."""
    disk = FolderDisk(folder)
    samples = []
    for _ in range(SYNC_SAMPLE_COUNT):
        started = time.perf_counter()
        disk.append("file", b"x" * SYNC_BYTES)
        disk.sync("file")
        samples.append(time.perf_counter() - started)
    disk.close()
    print_measure("log_sync_median_ms", statistics.median(samples) * MS_PER_SECOND)


def fill_log(folder: Path, count: int) -> int:
    """Commit notes on a single replica and return the size of its files in bytes."""
    store = ReplicaStore(UnsyncedDisk(folder))
    durable = store.recover(DurableState("identity"))
    core = ReplicaCore(
        "c1", StaticVoters(["c1"]), load_state_chart("replica"), durable, random.Random(1)
    )
    events: list[Any] = [Tick(), Tick()]
    events += [Propose(note.number, note, None) for note in make_notes(count)]
    for event in events:
        pending_events = [event]
        while pending_events:
            for effect in core.handle(pending_events.pop(), 0.0):
                if isinstance(effect, Persist):
                    store.write([effect.write])
                    pending_events.append(Persisted(effect.write.number))
    store.close()
    assert core.catalogue.revision == count
    return sum(path.stat().st_size for path in folder.iterdir())


def measure_recovery(folder: Path, count: int) -> None:
    """Print recovery time, disk use and memory of a replica after a number of notes."""
    size = fill_log(folder, count)
    started = time.perf_counter()
    _recover(folder, count)
    seconds = time.perf_counter() - started
    tracemalloc.start()
    core = _recover(folder, count)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert core.catalogue.revision == count
    print_measure(f"log_recovery_ms_after_{count}_notes", seconds * MS_PER_SECOND)
    print_measure(f"log_disk_bytes_after_{count}_notes", size)
    print_measure(f"log_memory_mb_after_{count}_notes", memory / MEBIBYTE)


def _recover(folder: Path, count: int) -> ReplicaCore:
    store = ReplicaStore(FolderDisk(folder))
    durable = store.recover(DurableState("another"))
    core = ReplicaCore(
        "c1", StaticVoters(["c1"]), load_state_chart("replica"), durable, random.Random(count)
    )
    store.close()
    return core


def print_measure(name: str, value: float) -> None:
    """Print one measure as ``name=value``."""
    print(f"{name}={value:.6g}", flush=True)


def main() -> None:
    """Print all measures of the log."""
    with tempfile.TemporaryDirectory(prefix="lwr-log-") as name:
        folder = Path(name)
        measure_sync(folder / "sync")
        asyncio.run(measure_commits(folder))
        asyncio.run(measure_five_voters(folder / "five"))
        for count in RECOVERY_NOTE_COUNTS:
            measure_recovery(folder / f"after-{count}", count)
    log_gaps.main()


if __name__ == "__main__":
    main()
