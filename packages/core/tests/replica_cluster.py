"""A simulated cluster of replicas in one process, which checks Raft's safety after every event."""

from __future__ import annotations

import collections
import random
from typing import Any

from lacewingrudder_core import replica as e
from lacewingrudder_core._replica.log import LogEntry, ReplicaId
from lacewingrudder_core.notes import (
    Catalogue,
    Note,
    StoredConfiguration,
    SubmitReply,
    SubmitTag,
)
from lacewingrudder_core.replica import ReplicaCore, Role, Write
from lacewingrudder_core.types import Kind, OrderAction, Service, TargetOrder
from replica_chart import replica_chart

CHART = replica_chart()
TICK_SECONDS = 0.1
PHASE_COUNT = 6
ADDRESS = 167772161


def make_note(number: int, base: int, digest: str = "") -> Note:
    service = Service(f"s{number}", ADDRESS + number, "service-key", (Kind("k", 443, 0, True, 0),))
    return Note(number, base, (service,), (), (), digest or f"digest-{number}")


class Host:
    """A replica, the state of its disk, and the writes that are not durable yet.

    A host that loses its disk restarts with a new identity.
    """

    def __init__(self, name: str, names: list[str], seed: int, seeds: tuple[str, ...] = ()) -> None:
        self.name = name
        self._names = names
        self._seeds = seeds
        self._random = random.Random(f"{name}-{seed}")
        self.disk_count = 0
        self.revision = 0
        self.writes: list[Write] = []
        self.is_up = False
        self.paused_until = 0.0
        self.disk_fails = False
        self.clock_offset = 0.0
        self.lose_disk()

    def lose_disk(self) -> None:
        self.disk_count += 1
        self.checked_index = 0
        self.revision = 0
        self.policy = self._make_policy()
        identity = f"{self.name}-{self.disk_count}"
        self.durable = e.make_initial_state(self.name, identity, self.policy)
        self.start()

    @property
    def replica_id(self) -> ReplicaId:
        return ReplicaId(self.name, self.durable.identity)

    def start(self) -> None:
        self.writes = []
        self.is_up = True
        rng = random.Random(self._random.random())
        self.policy = self._make_policy()
        self.core = ReplicaCore(self.name, self.policy, CHART, self.durable, rng)

    def _make_policy(self) -> e.VoterPolicy:
        if self._seeds:
            return e.DiscoveredVoters(self._seeds, founds=self.disk_count == 1)
        return e.StaticVoters(self._names)

    def add_contacts(self, names: list[str]) -> None:
        """Add discovered control hosts, as the daemon does when it receives their names."""
        if isinstance(self.policy, e.DiscoveredVoters):
            self.policy.add_contacts(names)

    def crash(self, survivors: int) -> None:
        """Crash the host; only the first ``survivors`` of its pending writes reach the disk."""
        for write in self.writes[:survivors]:
            self.durable = self.durable.after(write)
        self.writes = []
        self.is_up = False


class Cluster:
    """The hosts, the messages in flight, and a record of everything committed so far.

    :raises AssertionError: from any method, as soon as a safety property is violated.
    """

    def __init__(self, size: int, seed: int = 0, seeds: int = 0) -> None:
        self.random = random.Random(seed)
        self.names = [f"c{number}" for number in range(1, size + 1)]
        seed_names = tuple(self.names[:seeds])
        self.hosts = {name: Host(name, self.names, seed, seed_names) for name in self.names}
        self.now = 0.0
        self.messages: collections.deque[tuple[str, str, Any]] = collections.deque()
        self.blocked_links: set[tuple[str, str]] = set()
        self.committed_entries: dict[int, LogEntry] = {}
        self.catalogues: dict[int, Catalogue] = {}
        self.leaders_by_term: dict[int, ReplicaId] = {}
        self.lost_replicas: set[ReplicaId] = set()
        self.removed_replicas: set[ReplicaId] = set()
        self.replies: dict[int, SubmitReply] = {}
        self.accepted_notes: dict[int, int] = {}
        self._notes: dict[int, Note] = {}
        self._reads: dict[int, int] = {}
        self.last_version = 0
        self.accepted_version = -1
        self._versions: dict[int, int] = {}
        self._token = 0

    def running_hosts(self) -> list[Host]:
        return [h for h in self.hosts.values() if h.is_up and h.paused_until <= self.now]

    def leader(self) -> Host | None:
        """Return the host that leads in the highest term with a valid lease, if any."""
        leaders = [h for h in self.running_hosts() if h.core.leader(self.host_time(h)) == h.name]
        return max(leaders, key=lambda h: h.core.state.term, default=None)

    def host_time(self, host: Host) -> float:
        return self.now + host.clock_offset

    def pass_event(self, host: Host, event: e.ReplicaEvent) -> None:
        for effect in host.core.handle(event, self.host_time(host)):
            self._execute(host, effect)
        self._check(host)

    def tick(self, seconds: float = TICK_SECONDS) -> None:
        self.now += seconds
        for host in self.running_hosts():
            host.add_contacts(self.names)
            self.pass_event(host, e.Tick())

    def persist(self, host: Host, count: int | None = None) -> None:
        """Make the first ``count`` pending writes durable, or fail them if the disk is faulty."""
        if not host.writes:
            return
        if host.disk_fails:
            self.pass_event(host, e.PersistFailed("No space left on device"))
            return
        done, host.writes = host.writes[:count], host.writes[len(host.writes[:count]) :]
        for write in done:
            host.durable = host.durable.after(write)
        if done:
            self.pass_event(host, e.Persisted(done[-1].number))

    def deliver(self, position: int = 0, keep: bool = False) -> None:
        """Deliver one message, unless its link is blocked or its receiver is down.

        :param keep: leave the message in the queue, so that it is delivered again later.
        """
        sender, receiver, message = self.messages[position]
        if not keep:
            del self.messages[position]
        host = self.hosts.get(receiver)
        if (
            (sender, receiver) in self.blocked_links
            or host is None
            or host not in self.running_hosts()
        ):
            return
        self.pass_event(host, e.ReplicaMessageReceived(sender, message))

    def propose(self, host: Host, note: Note | None, order: TargetOrder | None = None) -> int:
        self._token += 1
        if note is not None:
            self._notes[self._token] = note
        self.pass_event(host, e.Propose(self._token, note, order))
        return self._token

    def propose_configuration(self, host: Host, version: int) -> int:
        """Propose a whole configuration."""
        self._token += 1
        self._versions[self._token] = version
        configuration = StoredConfiguration(version, b"document")
        self.pass_event(host, e.Propose(self._token, None, None, configuration))
        return self._token

    def request_read(self, host: Host) -> int:
        """Request a linearizable read, which has to see all configurations accepted until now."""
        self._token += 1
        self._reads[self._token] = self.accepted_version
        self.pass_event(host, e.ReadRequested(self._token))
        return self._token

    def run(self, seconds: float) -> None:
        """Let time pass, with messages and writes completed in order and without delay."""
        end = self.now + seconds
        while self.now < end:
            self.tick()
            self.settle()

    def settle(self) -> None:
        for _ in range(10_000):
            busy = [host for host in self.running_hosts() if host.writes and not host.disk_fails]
            if not busy and not self.messages:
                return
            for host in busy:
                self.persist(host)
            for _ in range(len(self.messages)):
                self.deliver()
        raise AssertionError("messages or writes are still pending after 10000 rounds")

    def elect(self, seconds: float = 20.0) -> Host:
        """Let time pass until a leader has committed an entry after the initial voters."""
        end = self.now + seconds
        while self.now < end:
            self.run(TICK_SECONDS)
            leader = self.leader()
            if leader is not None and leader.core.state.commit_index >= 2:
                return leader
        raise AssertionError("no leader committed an entry before the timeout")

    def submit(self, host: Host, note: Note, seconds: float = 3.0) -> SubmitReply | None:
        token = self.propose(host, note)
        end = self.now + seconds
        self.settle()
        while token not in self.replies and self.now < end:
            self.run(TICK_SECONDS)
        return self.replies.get(token)

    def isolate(self, host: Host) -> None:
        for name in self.names:
            self.blocked_links |= {(host.name, name), (name, host.name)}

    def can_lose_disk(self, host: Host) -> bool:
        """Return whether every set of voters in use still keeps a majority of its disks."""
        lost = self.lost_replicas | {host.replica_id}
        for other in self.hosts.values():
            voters = other.core.state.log.voters
            if not voters or len(lost & set(voters)) > (len(voters) - 1) // 2:
                return False
        return True

    def bears_loss(self, host: Host, is_removed: bool) -> bool:
        """Return whether every set of voters in use bears the loss of a host or of its disk.

        A set bears the loss of a minority of its disks. An even one bears the loss of half of them
        if one of these hosts is there, with an empty disk.
        """
        lost = self.lost_replicas | {host.replica_id}
        removed = self.removed_replicas | ({host.replica_id} if is_removed else set())
        voter_sets = {
            voters for other in self.hosts.values() for voters in other.core.state.voter_sets
        }
        for voters in voter_sets:
            missing = lost & set(voters)
            is_answered = len(voters) % 2 == 0 and bool(missing - removed)
            tolerated = len(voters) // 2 if is_answered else (len(voters) - 1) // 2
            if len(missing) > tolerated:
                return False
        return True

    def lose_disk(self, host: Host) -> None:
        self.lost_replicas.add(host.replica_id)
        host.lose_disk()

    def remove(self, host: Host) -> None:
        """Take a host away for good, with its disk and without notice."""
        self.lost_replicas.add(host.replica_id)
        self.removed_replicas.add(host.replica_id)
        del self.hosts[host.name]

    def heal(self) -> None:
        self.blocked_links.clear()
        for host in self.hosts.values():
            host.disk_fails = False
            host.paused_until = 0.0
            if not host.is_up:
                host.start()
            elif host.writes:
                self.persist(host)

    def _execute(self, host: Host, effect: e.ReplicaEffect) -> None:
        match effect:
            case e.Persist(write):
                host.writes.append(write)
            case e.SendToReplica(receiver, message):
                self.messages.append((host.name, receiver, message))
            case e.EntryApplied(token, outcome):
                if outcome.change is not None:
                    self._record_revision(host, outcome.change.revision)
                if token is not None:
                    self._record_reply(token, outcome.reply)
            case e.SnapshotInstalled(catalogue):
                self._record_revision(host, catalogue.revision)
            case e.ReadConfirmed(token, index):
                min_version = self._reads.pop(token)
                if index is not None:
                    assert host.core.state.commit_index >= index
                    assert (
                        host.core.catalogue.configuration_version >= min_version
                    ), "a read is stale"
            case e.ProposalFailed(token, reply):
                assert reply.tag is not SubmitTag.ACCEPTED
                self._record_reply(token, reply)

    def _record_revision(self, host: Host, revision: int) -> None:
        assert revision > host.revision, f"{host.name} went from {host.revision} to {revision}"
        host.revision = revision

    def _record_reply(self, token: int, reply: SubmitReply) -> None:
        assert token not in self.replies, "a request was answered twice"
        self.replies[token] = reply
        if reply.tag is SubmitTag.ACCEPTED and token in self._versions:
            self.accepted_version = max(self.accepted_version, self._versions[token])
        note = self._notes.get(token)
        if reply.tag is SubmitTag.ACCEPTED and note is not None:
            before = self.accepted_notes.setdefault(note.number, reply.revision)
            assert before == reply.revision, "a note was accepted at two revisions"

    def _check(self, host: Host) -> None:
        state = host.core.state
        self._check_agreement(host)
        assert state.catalogue.revision >= host.revision
        if host.core.role == Role.LEADER and self.leaders_by_term.get(state.term) is None:
            self.leaders_by_term[state.term] = state.own_id
            self._check_completeness(host)
        if host.core.role == Role.LEADER:
            assert self.leaders_by_term[state.term] == state.own_id, "two leaders in one term"

    def _check_agreement(self, host: Host) -> None:
        state = host.core.state
        if state.commit_index == host.checked_index:
            return
        first = max(host.checked_index, state.log.base_index) + 1
        for entry in state.log.slice(first, state.commit_index):
            known = self.committed_entries.setdefault(entry.log_index, entry)
            assert known == entry, f"{host.name} committed another entry {entry.log_index}"
        known_catalogue = self.catalogues.setdefault(state.commit_index, state.catalogue)
        assert known_catalogue == state.catalogue, "catalogues differ at one index"
        host.checked_index = state.commit_index

    def _check_completeness(self, host: Host) -> None:
        log = host.core.state.log
        last = max(self.committed_entries, default=0)
        assert log.last_index >= last, "a leader lacks committed entries"
        for index, entry in self.committed_entries.items():
            if index > log.base_index:
                assert log.term_at(index) == entry.term, "a leader has another entry"

    def check_convergence(self) -> None:
        """Check that the healed cluster converges to one state that holds everything accepted."""
        self.elect()
        for _ in range(60):
            self.run(1.0)
            if self._has_converged():
                break
        assert self._has_converged(), "the healed cluster does not converge"
        for host in self.hosts.values():
            receipts = {r.number: r.revision for r in host.core.catalogue.receipts}
            assert (
                host.core.catalogue.configuration_version >= self.accepted_version
            ), "a version was lost"
            for number, revision in self.accepted_notes.items():
                assert receipts.get(number) == revision, f"note {number} was lost"

    def _has_converged(self) -> bool:
        states = [host.core.state for host in self.hosts.values()]
        voters = {state.log.voters for state in states}
        everyone = tuple(sorted(host.replica_id for host in self.hosts.values()))
        return len({state.commit_index for state in states}) == 1 and voters == {everyone}


class Schedule:
    """A random schedule of requests and faults on a cluster, reproducible by its seed.

    :param has_removal: whether one host may be taken away for good, and as many disks are lost as
        each set of voters bears. Otherwise a majority of disks always remains.
    """

    def __init__(self, size: int, seed: int, seeds: int = 0, has_removal: bool = False) -> None:
        self.cluster = Cluster(size, seed, seeds)
        self._random = self.cluster.random
        self._last_note = 0
        self._actions = [
            (60, self._deliver),
            (30, self._persist),
            (14, self._tick),
            (14, self._submit),
        ]
        if seeds:
            self._actions += [(8, self._configure), (8, self._read)]
        self._faults = [
            (1, self._transfer_leadership),
            (2, self._drop),
            (2, self._duplicate),
            (1, self._crash),
            (4, self._restart),
            (1, self._lose_disk),
            (1, self._block_links),
            (4, self._heal),
            (1, self._toggle_disk_fault),
            (1, self._pause),
            (0.3, self._jump_clock),
        ]
        self._has_removal = has_removal
        if has_removal:
            self._faults += [(1, self._remove)]

    def run(self, steps: int) -> None:
        """Alternate phases without and with faults, then heal the cluster and check it."""
        if self._random.random() < 0.9:
            self.cluster.elect()
        for phase in range(PHASE_COUNT):
            is_fault_free = phase % 2 == 0
            if is_fault_free and self._random.random() < 0.6:
                self.cluster.heal()
            pool = self._actions if is_fault_free else self._actions + self._faults
            weights = [weight for weight, _ in pool]
            for _, action in self._random.choices(pool, weights, k=steps // PHASE_COUNT):
                action()
        self.cluster.heal()
        self.cluster.check_convergence()

    def _random_host(self) -> Host:
        return self._random.choice(list(self.cluster.hosts.values()))

    def _deliver(self) -> None:
        for _ in range(self._random.randint(1, 6)):
            if self.cluster.messages:
                late = self._random.random() < 0.2
                position = self._random.randrange(len(self.cluster.messages)) if late else 0
                self.cluster.deliver(position)

    def _drop(self) -> None:
        if self.cluster.messages:
            del self.cluster.messages[self._random.randrange(len(self.cluster.messages))]

    def _duplicate(self) -> None:
        if self.cluster.messages:
            self.cluster.deliver(self._random.randrange(len(self.cluster.messages)), keep=True)

    def _persist(self) -> None:
        for host in self.cluster.running_hosts():
            if self._random.random() < 0.7:
                self.cluster.persist(host, self._random.choice([1, 2, None]))

    def _tick(self) -> None:
        self.cluster.tick(self._random.uniform(0.02, 0.25))

    def _submit(self) -> None:
        leaders = [host for host in self.cluster.running_hosts() if host.core.role == Role.LEADER]
        if not leaders and self._random.random() < 0.8:
            return
        host = self._random.choice(leaders or [self._random_host()])
        if not host.is_up:
            return
        if self._random.random() < 0.3:
            action = self._random.choice(list(OrderAction))
            self.cluster.propose(host, None, TargetOrder("t1", action))
            return
        if self._random.random() < 0.8:
            self._last_note += 1
        base = host.core.catalogue.revision
        digest = "" if self._random.random() < 0.9 else "other"
        self.cluster.propose(host, make_note(self._last_note, base, digest))

    def _configure(self) -> None:
        host = self._random_leader()
        if host is not None:
            self.cluster.last_version += self._random.randint(-1, 3)
            self.cluster.propose_configuration(host, self.cluster.last_version)

    def _read(self) -> None:
        host = self._random_leader()
        if host is not None:
            self.cluster.request_read(host)

    def _random_leader(self) -> Host | None:
        """Return a random host in the leader role, even if its lease has expired."""
        leaders = [host for host in self.cluster.running_hosts() if host.core.role == Role.LEADER]
        return self._random.choice(leaders) if leaders else None

    def _crash(self) -> None:
        host = self._random_host()
        if host.is_up:
            host.crash(self._random.randint(0, len(host.writes)))

    def _transfer_leadership(self) -> None:
        host = self._random_host()
        if host in self.cluster.running_hosts():
            self.cluster.pass_event(host, e.ShutdownRequested())

    def _restart(self) -> None:
        host = self._random_host()
        if not host.is_up:
            host.start()

    def _lose_disk(self) -> None:
        host = self._random_host()
        bears_loss = (
            self.cluster.bears_loss(host, is_removed=False)
            if self._has_removal
            else self.cluster.can_lose_disk(host)
        )
        if bears_loss:
            self.cluster.lose_disk(host)

    def _remove(self) -> None:
        host = self._random_host()
        if not self.cluster.removed_replicas and self.cluster.bears_loss(host, is_removed=True):
            self.cluster.remove(host)

    def _block_links(self) -> None:
        host = self._random_host()
        if self._random.random() < 0.5:
            self.cluster.isolate(host)
        else:
            self.cluster.blocked_links.add((host.name, self._random_host().name))

    def _heal(self) -> None:
        self.cluster.blocked_links.clear()

    def _toggle_disk_fault(self) -> None:
        host = self._random_host()
        host.disk_fails = not host.disk_fails and self._random.random() < 0.5

    def _pause(self) -> None:
        self._random_host().paused_until = self.cluster.now + self._random.uniform(0.3, 3.0)

    def _jump_clock(self) -> None:
        self._random_host().clock_offset += self._random.uniform(0.5, 3600.0)
