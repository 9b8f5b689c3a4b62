"""Measures the replicated log: latency, bytes on the voters' links, recovery time and memory."""

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
SERVICES = 390
KINDS_PER_SERVICE = 3
LATENCY_NOTES = 200
RECOVERY_NOTES = (500, 10_000)
SYNC_SAMPLES = 200
SYNC_BYTES = 400
IDLE_SECONDS = 5.0
FORMATION_SECONDS = 20.0
MILLISECONDS = 1000.0
MEBIBYTE = 1 << 20


class UnsyncedDisk(FolderDisk):
    """A disk that does not sync, to fill a folder fast."""

    def sync(self, name: str) -> None:
        """Leave it to the operating system."""


def service(number: int, urgency: int) -> Service:
    """Return a service of the size that release notes describe."""
    kinds = tuple(
        Kind(f"kind-{index}", 443 + index, urgency, False, 0.3)
        for index in range(KINDS_PER_SERVICE)
    )
    return Service(f"service-{number}", number, "a-service-key", kinds)


def notes(count: int) -> Iterator[Note]:
    """Yield a note that adds all services, then notes that change one of them each."""
    added = tuple(service(number, 0) for number in range(SERVICES))
    yield Note(1, 0, added, (), (), f"{1:064x}")
    for number in range(2, count + 1):
        changed = service(number % SERVICES, number % 10)
        yield Note(number, number - 1, (), (changed,), (), f"{number:064x}")


class Cluster:
    """Control tasks in one process, with real disks and the bytes of real messages.

    :param folder: where their data folders go.
    :param names: the control hosts.
    """

    def __init__(self, folder: Path, names: Sequence[str] = VOTERS) -> None:
        self._names = names
        self._answers: dict[int, asyncio.Future[Any]] = {}
        self.bytes_sent = 0
        self._recorders = [TimelineWriter(name, None) for name in names]
        self.tasks = {
            name: self._make(name, folder / name, recorder)
            for name, recorder in zip(names, self._recorders, strict=True)
        }
        self._running = [asyncio.create_task(task.run()) for task in self.tasks.values()]

    def _make(self, name: str, folder: Path, recorder: TimelineWriter) -> ControlTask:
        store = ReplicaStore(FolderDisk(folder))
        durable = store.recover(f"{name}-identity")
        rng = random.Random(name)
        replica = ReplicaCore(
            name, StaticVoters(self._names), load_state_chart("replica"), durable, rng
        )
        core = ControlCore(name, replica)
        return ControlTask(core, store, recorder, self._sender(name), self._answer)

    def _sender(self, name: str) -> Callable[[str, Any], None]:
        loop = asyncio.get_running_loop()

        def send(host: str, message: Any) -> None:
            self.bytes_sent += len(
                encode(Envelope(HybridTime(int(time.time() * 1000), 0), message))
            )
            forward = isinstance(message, ForwardRequest | ForwardReply)
            event = (
                ForwardMessageReceived(name, message)
                if forward
                else ReplicaMessageReceived(name, message)
            )
            loop.call_soon(self.tasks[host].handle, event)

        return send

    def _answer(self, token: int, body: Any) -> None:
        self._answers[token].set_result(body)

    async def leader(self) -> ControlTask:
        """Return the leader once there is one.

        :raises TimeoutError: if there is none in time.
        """
        async with asyncio.timeout(FORMATION_SECONDS):
            while True:
                for name, task in self.tasks.items():
                    if task.core.replica.leader(asyncio.get_running_loop().time()) == name:
                        return task
                await asyncio.sleep(0.05)

    async def submit(self, task: ControlTask, note: Note) -> float:
        """Return how many seconds a note took until it was accepted."""
        future = asyncio.get_running_loop().create_future()
        self._answers[note.number] = future
        started = time.perf_counter()
        task.handle(OperatorRequestReceived(note.number, SubmitNote(note)))
        body = await future
        assert isinstance(body, OperatorReply) and body.reply.tag is SubmitTag.ACCEPTED, body
        return time.perf_counter() - started

    async def close(self) -> None:
        """End the tasks."""
        for running in self._running:
            running.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        for task in self.tasks.values():
            task.close()


async def measure_commits(folder: Path) -> None:
    """Print the latency of notes and the bytes between three voters."""
    cluster = Cluster(folder)
    leader = await cluster.leader()
    idle = await measure_idle(cluster, len(VOTERS))
    stream = notes(LATENCY_NOTES + 1)
    await cluster.submit(leader, next(stream))
    began, sent = time.perf_counter(), cluster.bytes_sent
    latencies = [await cluster.submit(leader, note) for note in stream]
    seconds = time.perf_counter() - began
    per_note = (cluster.bytes_sent - sent - idle * seconds) / len(latencies)
    await cluster.close()
    latencies.sort()
    show("log_commit_latency_median_ms", statistics.median(latencies) * MILLISECONDS)
    show("log_commit_latency_p99_ms", latencies[len(latencies) * 99 // 100] * MILLISECONDS)
    show("log_bytes_per_note", per_note)


async def measure_idle(cluster: Cluster, voters: int) -> float:
    """Print what voters cost without any note, and return their bytes a second."""
    sent, used = cluster.bytes_sent, time.process_time()
    await asyncio.sleep(IDLE_SECONDS)
    bytes_per_second = (cluster.bytes_sent - sent) / IDLE_SECONDS
    core_share = (time.process_time() - used) / IDLE_SECONDS / voters
    show(f"log_idle_bytes_per_s_{voters}_voters", bytes_per_second)
    show(f"log_idle_core_share_per_voter_{voters}_voters", core_share)
    return bytes_per_second


async def measure_five(folder: Path) -> None:
    """Print what five idle voters cost."""
    cluster = Cluster(folder, FIVE_VOTERS)
    await cluster.leader()
    await measure_idle(cluster, len(FIVE_VOTERS))
    await cluster.close()


def measure_sync(folder: Path) -> None:
    """Print how long one append with its sync takes on this disk."""
    disk = FolderDisk(folder)
    samples = []
    for _ in range(SYNC_SAMPLES):
        started = time.perf_counter()
        disk.append("file", b"x" * SYNC_BYTES)
        disk.sync("file")
        samples.append(time.perf_counter() - started)
    disk.close()
    show("log_sync_median_ms", statistics.median(samples) * MILLISECONDS)


def fill(folder: Path, count: int) -> int:
    """Let one replica alone take notes, and return the bytes on its disk."""
    store = ReplicaStore(UnsyncedDisk(folder))
    durable = store.recover("identity")
    core = ReplicaCore(
        "c1", StaticVoters(["c1"]), load_state_chart("replica"), durable, random.Random(1)
    )
    events: list[Any] = [Tick(), Tick()]
    events += [Propose(note.number, note, None) for note in notes(count)]
    for event in events:
        waiting = [event]
        while waiting:
            for effect in core.handle(waiting.pop(), 0.0):
                if isinstance(effect, Persist):
                    store.write([effect.write])
                    waiting.append(Persisted(effect.write.number))
    store.close()
    assert core.catalogue.revision == count
    return sum(path.stat().st_size for path in folder.iterdir())


def measure_recovery(folder: Path, count: int) -> None:
    """Print how long a restart reads its disk after so many notes, and what it then holds."""
    size = fill(folder, count)
    started = time.perf_counter()
    _recover(folder, count)
    seconds = time.perf_counter() - started
    tracemalloc.start()
    core = _recover(folder, count)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert core.catalogue.revision == count
    show(f"log_recovery_ms_after_{count}_notes", seconds * MILLISECONDS)
    show(f"log_disk_bytes_after_{count}_notes", size)
    show(f"log_memory_mb_after_{count}_notes", memory / MEBIBYTE)


def _recover(folder: Path, count: int) -> ReplicaCore:
    store = ReplicaStore(FolderDisk(folder))
    durable = store.recover("another")
    core = ReplicaCore(
        "c1", StaticVoters(["c1"]), load_state_chart("replica"), durable, random.Random(count)
    )
    store.close()
    return core


def show(name: str, value: float) -> None:
    """Print one measure."""
    print(f"{name}={value:.6g}", flush=True)


def main() -> None:
    """Print all measures of the log."""
    with tempfile.TemporaryDirectory(prefix="lwr-log-") as name:
        folder = Path(name)
        measure_sync(folder / "sync")
        asyncio.run(measure_commits(folder))
        asyncio.run(measure_five(folder / "five"))
        for count in RECOVERY_NOTES:
            measure_recovery(folder / f"after-{count}", count)
    log_gaps.main()


if __name__ == "__main__":
    main()
