import itertools
import random
import unittest
from unittest import mock

from lacewingrudder_core import replica as m
from lacewingrudder_core._replica import state as replica_state
from lacewingrudder_core._replica.bootstrap import ClusterBootstrap
from lacewingrudder_core._replica.election import LEASE_SECONDS, quorum_size
from lacewingrudder_core._replica.leadership import Leadership
from lacewingrudder_core._replica.log import LogEntry, LogSnapshot, ReplicaId, split_snapshot
from lacewingrudder_core._replica.log_receiver import LogReceiver
from lacewingrudder_core._replica.requests import NO_QUORUM
from lacewingrudder_core._replica.state import ReplicaState
from lacewingrudder_core._replica.voter_policy import StaticVoters
from lacewingrudder_core.notes import Catalogue, NoteReceipt, SubmitReply, SubmitTag
from lacewingrudder_core.replica import (
    DurableState,
    Persist,
    Role,
    SendToReplica,
    ShutdownRequested,
    SnapshotInstalled,
)
from lacewingrudder_core.types import OrderAction, TargetOrder
from replica_cluster import Cluster, Host, make_note

LONG_RUN_SECONDS = 60.0


class ReplicaTestCase(unittest.TestCase):
    size = 3

    def setUp(self) -> None:
        self.cluster = Cluster(self.size)
        self.leader = self.cluster.elect()

    def followers(self) -> list[Host]:
        return [host for host in self.cluster.hosts.values() if host is not self.leader]

    def accept(self, *numbers: int) -> None:
        for number in numbers:
            leader = self.cluster.elect()
            note = make_note(number, leader.core.catalogue.revision)
            reply = self.cluster.submit(leader, note)
            assert reply is not None
            self.assertEqual(reply.tag, SubmitTag.ACCEPTED, reply)

    def heal(self) -> None:
        self.cluster.heal()
        self.cluster.check_convergence()


class LeaderLossTest(ReplicaTestCase):
    def test_leader_killed_between_append_and_answer(self) -> None:
        note = make_note(1, 0)
        token = self.cluster.propose(self.leader, note)
        self.cluster.persist(self.leader)
        for _ in range(len(self.cluster.messages)):
            self.cluster.deliver()
        self.leader.crash(0)
        self.cluster.settle()
        self.assertNotIn(token, self.cluster.replies)
        again = self.cluster.submit(self.cluster.elect(), note)
        self.assertEqual(again, SubmitReply(SubmitTag.ACCEPTED, 1, ""))
        self.heal()
        self.assertEqual(self.leader.core.catalogue.revision, 1)

    def test_leader_isolated_for_long_never_accepts(self) -> None:
        self.accept(1)
        old = self.leader
        self.cluster.isolate(old)
        early = self.cluster.propose(old, make_note(2, 1))
        self.cluster.run(LONG_RUN_SECONDS)
        late = self.cluster.propose(old, make_note(3, 1))
        self.cluster.run(1.0)
        self.assertEqual(self.cluster.replies[early].tag, SubmitTag.UNKNOWN)
        self.assertEqual(self.cluster.replies[late][::2], (SubmitTag.REFUSED, NO_QUORUM))
        self.accept(4, 5)
        self.heal()
        self.assertEqual([r.number for r in old.core.catalogue.receipts], [1, 4, 5])

    def test_leader_paused_past_its_lease_refuses_when_it_resumes(self) -> None:
        old = self.leader
        old.paused_until = self.cluster.now + 2 * LEASE_SECONDS
        self.cluster.now += 2 * LEASE_SECONDS
        token = self.cluster.propose(old, make_note(1, 0))
        self.cluster.settle()
        self.assertEqual(self.cluster.replies[token][::2], (SubmitTag.REFUSED, NO_QUORUM))

    def test_answers_that_waited_through_a_pause_do_not_renew_the_lease(self) -> None:
        old = self.leader
        self.cluster.tick(0.3)
        self.cluster.persist(old)
        while self.cluster.messages and self.cluster.messages[0][0] == old.name:
            self.cluster.deliver()
        old.paused_until = self.cluster.now + 2 * LEASE_SECONDS
        self.cluster.now = old.paused_until
        self.cluster.settle()
        self.assertEqual(old.core.leader(self.cluster.now), "")

    def test_late_answer_renews_the_lease_from_when_its_request_was_sent(self) -> None:
        voters = tuple(ReplicaId(name, name) for name in ("a", "b", "c"))
        entries = (LogEntry(1, 1, voters=voters),)
        state = ReplicaState(voters[0], DurableState("a", "cluster", 4, entries=entries))
        leadership = Leadership(state, {"a", "b", "c"}, 0.0)
        late = m.AppendReply(m.Header("cluster", voters[1], "a", 4), 0.0, True, 1)
        leadership.record_reply(late, 2 * LEASE_SECONDS)
        self.assertFalse(leadership.has_lease(2 * LEASE_SECONDS))

    def test_entry_of_an_older_term_is_not_committed_by_counting(self) -> None:
        """Figure 8 of the Raft paper: a majority may have an entry that is overwritten later."""
        voters = tuple(ReplicaId(name, name) for name in ("a", "b", "c"))
        entries = (LogEntry(1, 1, voters=voters), LogEntry(2, 2, make_note(1, 0)))
        state = ReplicaState(voters[0], DurableState("a", "cluster", 4, entries=entries))
        leadership = Leadership(state, {"a", "b", "c"}, 0.0)
        state.release_effects()
        state.record_persisted(1)
        header = m.Header("cluster", voters[1], "a", 4)
        leadership.record_reply(m.AppendReply(header, 0.0, True, 2), 0.0)
        self.assertEqual(state.commit_index, 0)
        leadership.record_reply(m.AppendReply(header, 0.0, True, 3), 0.0)
        self.assertEqual(state.commit_index, 3)


class LeadershipTransferTest(ReplicaTestCase):
    def test_graceful_shutdown_of_the_leader_leaves_no_gap(self) -> None:
        self.accept(1)
        self.cluster.pass_event(self.leader, ShutdownRequested())
        self.cluster.settle()
        leader = self.cluster.leader()
        assert leader is not None
        self.assertIsNot(leader, self.leader)
        self.leader.crash(0)
        self.assertEqual(
            self.cluster.submit(leader, make_note(2, 1)), SubmitReply(SubmitTag.ACCEPTED, 2, "")
        )

    def test_leader_without_an_up_to_date_voter_keeps_leading(self) -> None:
        self.cluster.isolate(self.leader)
        self.cluster.propose(self.leader, make_note(1, 0))
        self.cluster.pass_event(self.leader, ShutdownRequested())
        self.cluster.settle()
        self.assertEqual(self.leader.core.role, Role.LEADER)


class FollowerLossTest(ReplicaTestCase):
    def test_follower_killed_mid_write_catches_up(self) -> None:
        follower = self.followers()[0]
        self.cluster.propose(self.leader, make_note(1, 0))
        self.cluster.persist(self.leader)
        for _ in range(len(self.cluster.messages)):
            self.cluster.deliver()
        follower.crash(0)
        self.accept(2)
        follower.start()
        self.heal()
        self.assertEqual(follower.core.catalogue.revision, 2)

    def test_second_host_lost_right_after_a_repair_loses_nothing(self) -> None:
        self.accept(1, 2)
        first, second = self.followers()
        self.cluster.lose_disk(first)
        self.assertFalse(self.cluster.can_lose_disk(second))
        self.accept(3)
        for _ in range(100):
            self.cluster.run(0.1)
            if self.cluster.can_lose_disk(second):
                break
        self.assertTrue(self.cluster.can_lose_disk(second))
        self.cluster.lose_disk(second)
        self.accept(4)
        self.heal()
        self.assertEqual([r.number for r in first.core.catalogue.receipts], [1, 2, 3, 4])

    def test_host_that_lost_its_disk_does_not_vote_as_its_former_replica(self) -> None:
        self.accept(1)
        lost, other = self.followers()
        self.cluster.isolate(other)
        self.accept(2)
        self.leader.crash(0)
        self.cluster.lose_disk(lost)
        self.cluster.blocked_links.clear()
        self.cluster.run(LONG_RUN_SECONDS)
        self.assertIsNone(self.cluster.leader())
        self.heal()

    def test_replaced_host_whose_old_disk_returns_counts_only_once_admitted(self) -> None:
        self.accept(1)
        host = self.followers()[0]
        host.crash(0)
        old = host.durable
        self.cluster.lose_disk(host)
        self.cluster.run(10.0)
        new = host.replica_id
        self.accept(2)
        host.crash(0)
        host.durable, host.revision, host.checked_index = old, 0, 0
        host.start()
        self.heal()
        self.assertNotIn(new, self.leader.core.state.log.voters)


class LinkFailureTest(ReplicaTestCase):
    def test_leader_that_receives_nothing_steps_down(self) -> None:
        for follower in self.followers():
            self.cluster.blocked_links.add((follower.name, self.leader.name))
        self.cluster.run(5.0)
        self.assertIsNot(self.cluster.elect(), self.leader)
        self.accept(1)

    def test_host_that_receives_nothing_does_not_disturb_the_leader(self) -> None:
        follower = self.followers()[0]
        for name in self.cluster.names:
            self.cluster.blocked_links.add((name, follower.name))
        term = self.leader.core.state.term
        self.cluster.run(LONG_RUN_SECONDS)
        self.assertEqual(self.leader.core.state.term, term)
        self.assertEqual(self.leader.core.role, Role.LEADER)
        self.cluster.blocked_links.clear()
        self.cluster.run(5.0)
        self.assertEqual(self.leader.core.state.term, term)

    def test_clock_that_jumps_loses_nothing(self) -> None:
        self.accept(1)
        for host in self.cluster.hosts.values():
            host.clock_offset += 3600.0
            self.cluster.run(0.1)
        self.accept(2)
        self.heal()


class ResendTest(ReplicaTestCase):
    def test_same_note_gets_the_first_answer_after_leader_change_and_compaction(self) -> None:
        with mock.patch.object(replica_state, "COMPACT_AFTER_ENTRIES", 10):
            self.accept(*range(1, 31))
            self.leader.crash(0)
            leader = self.cluster.elect()
            for host in self.cluster.running_hosts():
                host.crash(len(host.writes))
                host.start()
            leader = self.cluster.elect()
            self.assertGreater(leader.core.state.snapshot.last_index, 10)
            first = self.cluster.submit(leader, make_note(1, 0))
            other = self.cluster.submit(leader, make_note(1, 0, "another digest"))
        self.assertEqual(first, SubmitReply(SubmitTag.ACCEPTED, 1, ""))
        assert other is not None
        self.assertEqual(other.tag, SubmitTag.CONFLICT)

    def test_repeated_order_makes_no_new_revision(self) -> None:
        order = TargetOrder("10.0.0.1:80", OrderAction.DRAIN)
        replies = []
        for _ in range(2):
            token = self.cluster.propose(self.leader, None, order)
            self.cluster.settle()
            replies.append(self.cluster.replies[token])
        self.assertEqual(replies, [SubmitReply(SubmitTag.ACCEPTED, 1, "")] * 2)

    def test_restart_after_500_notes(self) -> None:
        for number in range(1, 501):
            reply = self.cluster.submit(self.leader, make_note(number, number - 1))
            assert reply is not None
            self.assertEqual(reply.tag, SubmitTag.ACCEPTED)
        emptied = self.followers()[0]
        self.cluster.lose_disk(emptied)
        for host in self.cluster.hosts.values():
            if host is not emptied:
                host.crash(len(host.writes))
                host.start()
                self.assertEqual(host.core.catalogue.revision, 500)
        self.heal()
        self.assertEqual(emptied.core.catalogue.revision, 500)


class DiskTest(ReplicaTestCase):
    def test_leader_with_a_full_disk_accepts_nothing_and_recovers(self) -> None:
        full = self.leader
        full.disk_fails = True
        token = self.cluster.propose(full, make_note(1, 0))
        self.cluster.persist(full)
        self.assertEqual(self.cluster.replies[token].tag, SubmitTag.UNKNOWN)
        refused = self.cluster.propose(full, make_note(2, 0))
        self.assertEqual(self.cluster.replies[refused].tag, SubmitTag.REFUSED)
        self.assertIn("No space left", self.cluster.replies[refused].detail)
        self.accept(3)
        self.heal()
        self.assertEqual([r.number for r in full.core.catalogue.receipts], [3])

    def test_all_disks_full_then_one_more_note_after_space_returns(self) -> None:
        for host in self.cluster.hosts.values():
            host.disk_fails = True
        self.cluster.propose(self.leader, make_note(1, 0))
        self.cluster.persist(self.leader)
        self.cluster.run(5.0)
        self.assertIsNone(self.cluster.leader())
        self.cluster.heal()
        self.cluster.elect()
        revision = self.cluster.elect().core.catalogue.revision
        self.accept(2)
        self.assertEqual(self.cluster.elect().core.catalogue.revision, revision + 1)


class SnapshotTest(unittest.TestCase):
    def test_snapshot_without_a_newer_revision_is_not_reported_as_installed(self) -> None:
        """Entries without a change, such as the first of a term, advance only the index."""
        state = ReplicaState(ReplicaId("a", "a"), DurableState("a", "cluster", 1))
        for index, revision, shown in ((3, 1, 1), (5, 1, 0), (7, 2, 1)):
            state.install_snapshot(
                LogSnapshot(index, 1, (ReplicaId("a", "a"),), Catalogue(revision))
            )
            effects = state.release_effects()
            number = next(e.write.number for e in effects if isinstance(e, Persist))
            state.record_persisted(number)
            installed = [e for e in state.release_effects() if isinstance(e, SnapshotInstalled)]
            self.assertEqual(len(installed), shown)

    def test_snapshot_is_installed_only_from_all_parts_of_one_snapshot(self) -> None:
        """Parts are lost, repeated and reordered, and a newer snapshot replaces one on its way."""
        receipts = tuple(NoteReceipt(number, "d" * 64, number) for number in range(4000))
        leader = m.Header("cluster", ReplicaId("b", "b"), "a", 1)
        for seed in range(200):
            rng = random.Random(seed)
            state = ReplicaState(ReplicaId("a", "a"), DurableState("a", "cluster", 1))
            receiver = LogReceiver(state)
            snapshots = [
                LogSnapshot(index, 1, (), Catalogue(index, receipts=receipts[: 1500 + 500 * index]))
                for index in (3, 5)
            ]
            parts = [part for snapshot in snapshots for part in split_snapshot(snapshot)]
            for step in range(60):
                chosen = rng.choice(parts if step > 20 else parts[: len(parts) // 2])
                receiver.receive(m.SnapshotRequest(leader, float(step), chosen))
                if state.snapshot.last_index:
                    self.assertIn(state.snapshot, snapshots)
            for part in split_snapshot(snapshots[1]):
                receiver.receive(m.SnapshotRequest(leader, 99.0, part))
            self.assertEqual(state.snapshot, snapshots[1])


class ReconfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.voters = tuple(ReplicaId(name, name) for name in ("a", "b", "c"))
        self.new = ReplicaId("c", "c again")
        entries = (LogEntry(1, 1, voters=self.voters),)
        self.state = ReplicaState(self.voters[0], DurableState("a", "cluster", 4, entries=entries))
        self.leadership = Leadership(self.state, StaticVoters({"a", "b", "c"}), 0.0)
        self.now = 2 * LEASE_SECONDS
        self.leadership.add_learner(self.new, self.now)

    def answer(self, voter: ReplicaId, match: int) -> None:
        header = m.Header("cluster", voter, "a", 4)
        self.leadership.record_reply(m.AppendReply(header, self.now, True, match), self.now)

    def step(self) -> tuple[ReplicaId, ...]:
        """Make all writes durable and let a heartbeat pass; return the resulting voters."""
        writes = [effect for effect in self.state.release_effects() if isinstance(effect, Persist)]
        if writes:
            self.state.record_persisted(writes[-1].write.number)
        self.now += 0.3
        self.leadership.tick(self.now)
        return self.state.log.voters

    def test_replica_is_admitted_only_once_it_caught_up_and_in_two_committed_steps(self) -> None:
        a, b, _ = self.voters
        self.step()
        self.answer(b, 2)
        self.assertEqual(self.step(), self.voters)
        self.answer(self.new, 2)
        self.assertEqual(self.step(), (a, b))
        self.answer(self.new, 3)
        self.assertEqual(self.step(), (a, b))
        self.answer(b, 3)
        self.answer(self.new, 3)
        self.assertEqual(self.step(), (a, b, self.new))


class BootstrapTest(unittest.TestCase):
    def test_no_cluster_before_all_hosts_answer(self) -> None:
        cluster = Cluster(3)
        cluster.hosts["c3"].is_up = False
        cluster.run(10.0)
        self.assertEqual({host.core.state.cluster for host in cluster.hosts.values()}, {""})
        cluster.hosts["c3"].start()
        cluster.elect()

    # Guards against a system that serves nothing for good: one of its first control hosts was lost
    # before they had founded a cluster.
    def test_cluster_of_seeds_needs_a_majority_of_them_at_the_first_start(self) -> None:
        for lost in ("c1", "c2", "c3"):
            with self.subTest(lost=lost):
                cluster = Cluster(4, seeds=3)
                successor = cluster.hosts["c4"]
                cluster.hosts[lost].is_up = successor.is_up = False
                cluster.run(3.0)
                self.assertIn(cluster.elect().name, {"c1", "c2", "c3"} - {lost})
                successor.disk_count = 1  # so that it starts as one that is added later
                successor.lose_disk()
                cluster.run(LONG_RUN_SECONDS)
                names = {voter.name for voter in cluster.elect().core.state.log.voters}
                self.assertEqual(names, {"c1", "c2", "c3", "c4"} - {lost})

    # Guards against a second cluster, and against votes of a disk that forgot the first.
    def test_seed_that_lost_its_disk_at_the_first_start_joins_the_others(self) -> None:
        for seed in range(20):
            cluster = Cluster(3, seed, seeds=3)
            cluster.run(0.3 * cluster.random.random())
            name = cluster.random.choice(cluster.names)
            cluster.lose_disk(cluster.hosts[name])
            cluster.run(LONG_RUN_SECONDS)
            cluster.heal()
            cluster.check_convergence()
            voters = cluster.elect().core.state.log.voters
            self.assertIn(cluster.hosts[name].replica_id, voters)
            self.assertNotIn(ReplicaId(name, name), voters)

    def test_bootstrap_host_that_lost_its_disk_creates_no_second_cluster(self) -> None:
        cluster = Cluster(3)
        cluster.elect()
        name = cluster.hosts["c2"].core.state.cluster
        cluster.hosts["c2"].crash(0)
        cluster.lose_disk(cluster.hosts["c1"])
        cluster.run(LONG_RUN_SECONDS)
        self.assertEqual(cluster.hosts["c1"].core.state.cluster, "")
        cluster.heal()
        cluster.check_convergence()
        self.assertEqual(cluster.hosts["c1"].core.state.cluster, name)

    def test_host_with_a_new_name_takes_the_place_of_one_no_longer_named(self) -> None:
        voters = tuple(ReplicaId(name, f"{name}-1") for name in ("a", "b", "c"))
        names = {"a", "b", "d"}
        new = ReplicaId("d", "d-1")
        steps = []
        while new not in voters:
            proposed = StaticVoters(names).after_admission(voters, new, lambda voter: False)
            assert proposed is not None
            voters = proposed
            steps.append([voter.name for voter in voters])
        self.assertEqual(steps, [["a", "b"], ["a", "b", "d"]])

    def test_later_voters_are_not_sent_as_the_initial_ones(self) -> None:
        voters = tuple(ReplicaId(name, name) for name in ("a", "b", "c"))
        first = LogEntry(1, 1, voters=voters)
        for entries, sent_count in (((first,), 1), ((first, LogEntry(2, 2, voters=voters)), 0)):
            state = ReplicaState(voters[0], DurableState("a", "cluster", 4, entries=entries))
            ClusterBootstrap(state, StaticVoters({"a", "b", "c"})).answer_join_request(
                "c", m.JoinRequest(voters[2], "")
            )
            sent = [e.message for e in state.release_effects() if isinstance(e, SendToReplica)]
            self.assertEqual(
                sum(isinstance(message, m.BootstrapCluster) for message in sent), sent_count
            )

    def test_cluster_admits_a_host_with_a_new_name_after_its_settings_changed(self) -> None:
        cluster = Cluster(3)
        leader = cluster.elect()
        cluster.submit(leader, make_note(1, 0))
        cluster.hosts.pop("c3").crash(0)
        cluster.names[:] = ["c1", "c2", "c4"]
        for host in cluster.hosts.values():
            host.crash(len(host.writes))
            host.start()
        cluster.elect()
        cluster.hosts["c4"] = Host("c4", cluster.names, 0)
        cluster.check_convergence()
        self.assertEqual(cluster.hosts["c4"].core.catalogue.revision, 1)

    def test_each_step_of_a_replacement_overlaps_the_majorities_before(self) -> None:
        voters = tuple(ReplicaId(name, f"{name}-1") for name in ("a", "b", "c", "d", "e"))
        new = ReplicaId("c", "c-2")
        while new not in voters:
            policy = StaticVoters({v.name for v in voters} | {"c"})
            proposed = policy.after_admission(voters, new, lambda _: True)
            assert proposed is not None
            for before, after in itertools.product(_majorities(voters), _majorities(proposed)):
                self.assertTrue(before & after)
            voters = proposed

    def test_voter_that_answers_is_not_replaced_by_a_replica_of_its_name(self) -> None:
        voters = tuple(ReplicaId(name, f"{name}-1") for name in ("a", "b", "c"))
        names = {"a", "b", "c"}
        policy = StaticVoters(names)
        self.assertIsNone(
            policy.after_admission(voters, ReplicaId("c", "c-2"), lambda voter: False)
        )


def _majorities(voters: tuple[ReplicaId, ...]) -> list[set[ReplicaId]]:
    return [set(group) for group in itertools.combinations(voters, quorum_size(voters))]
