"""Response times are no plain measure of a target's speed; each test plays one reason for this."""

import functools
import hashlib
import random
import unittest

from checkin_fakes import EDITS, configuration, entry, syn, update
from lacewingrudder_core.speeds import AverageSpeeds, LearnedSpeeds, TargetSpeeds
from lacewingrudder_core.tagging import Forwarded, Route, Split, TagForwarder
from lacewingrudder_core.types import FlowKey

USUAL_SECONDS = 0.03
INTERVAL_SECONDS = 0.02
# SHA-256 of the placements of the sequence below on commit f51d86f, before speeds could be learned.
FORMER_PLACEMENTS = "8d62dcbf5135804a91bc334752097a16e4b72af49b94caa264a955cd18fb20b0"


def play(
    speeds: TargetSpeeds, count: int, begins: float = 0.0, slow: int = 0, factor: float = 5.0
) -> float:
    """Record requests that go round four targets, one of which may be slow; return the time."""
    for number in range(count):
        seconds = USUAL_SECONDS * (factor if slow and number % 4 + 1 == slow else 1.0)
        speeds.record(number % 4 + 1, "edits", seconds, begins + number * INTERVAL_SECONDS, "c")
    return begins + count * INTERVAL_SECONDS


class LearnedSpeedsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.speeds = LearnedSpeeds()

    # Load: even, then one target of four becomes five times slower. Guards against many old samples
    # that hide it for longer than two new ones take.
    def test_two_samples_show_a_target_that_became_slow(self) -> None:
        now = play(self.speeds, 400)
        now = play(self.speeds, 8, now, slow=2)
        self.assertGreater(self.speeds.ratio(2, now), 1.5 * self.speeds.ratio(1, now))

    # Load: none after a slow phase. Guards against a target that is avoided for good.
    def test_slow_target_without_samples_becomes_unknown_again(self) -> None:
        now = play(self.speeds, 80, slow=2)
        self.assertGreater(self.speeds.ratio(2, now), 2.0 * self.speeds.ratio(1, now))
        self.assertLess(self.speeds.ratio(2, now + 15.0), 1.5)
        self.speeds.expire(now + 20.0)
        self.assertEqual(self.speeds.ratio(2, now + 20.0), 1.0)
        self.assertFalse(self.speeds.has_samples(2))

    # Load: a single request. Guards against conclusions from the first sample of a kind.
    def test_first_sample_shows_nothing(self) -> None:
        self.speeds.record(1, "edits", 1.0, 0.0)
        self.assertEqual(self.speeds.ratio(1, 0.0), 1.0)

    # Load: targets 1 and 2 get short work and 3 and 4 mostly work ten times longer. Guards against
    # a kind of long work that makes its targets look slow.
    def test_kind_of_long_work_does_not_make_its_targets_slow(self) -> None:
        for number in range(400):
            target, is_long = number % 4 + 1, number % 4 >= 2 and number % 5 > 0
            kind, factor = ("sheets", 10.0) if is_long else ("edits", 1.0)
            self.speeds.record(target, kind, factor * USUAL_SECONDS, number * INTERVAL_SECONDS)
        ratios = [self.speeds.ratio(target, 8.0) for target in (1, 2, 3, 4)]
        self.assertLess(max(ratios), 1.1 * min(ratios))

    # Load: target 2 is full and rejects in a millisecond. Guards against a full target that looks
    # fast and attracts more flows.
    def test_target_that_rejects_does_not_look_fast(self) -> None:
        now = play(self.speeds, 80)
        for number in range(40):
            self.speeds.record(2, "edits", 0.001, now + number * INTERVAL_SECONDS)
        now = play(self.speeds, 4, now + 40 * INTERVAL_SECONDS)
        self.speeds.record(2, "edits", 0.001, now)
        self.assertGreater(self.speeds.ratio(2, now), self.speeds.ratio(1, now))

    # Load: the work of a kind becomes ten times shorter for good. Guards against samples that count
    # as rejections for ever.
    def test_kind_whose_work_becomes_short_is_followed(self) -> None:
        now = play(self.speeds, 80)
        for number in range(1000):
            target = number % 4 + 1
            seconds = USUAL_SECONDS / (4 if target == 2 else 10)
            now += INTERVAL_SECONDS
            self.speeds.record(target, "edits", seconds, now)
        self.assertGreater(self.speeds.ratio(2, now), 1.5 * self.speeds.ratio(1, now))

    # Load: one caller of three acknowledges 0.2 s late, and target 1 gets most of its requests.
    # Guards against a target that its callers make look slow.
    def test_caller_that_acknowledges_late_does_not_make_targets_slow(self) -> None:
        rng, now = random.Random(3), 0.0
        for number in range(600):
            now += INTERVAL_SECONDS
            is_late = number % 3 == 0
            target = 1 if is_late and rng.random() < 0.7 else rng.randint(1, 4)
            seconds = USUAL_SECONDS + (0.2 if is_late else 0.0)
            self.speeds.record(target, "edits", seconds, now, "late" if is_late else "prompt")
        self.assertLess(self.speeds.ratio(1, now), 1.5 * self.speeds.ratio(3, now))

    # Load: few requests, so that the first to a slow target is sent long before any answer. Guards
    # against further requests to it in the meantime.
    def test_request_that_waits_for_long_shows_a_slow_target(self) -> None:
        now = play(self.speeds, 80)
        before = self.speeds.ratio(2, now)
        self.speeds.record_request(2, "flow", "edits", now, "c")
        self.assertAlmostEqual(self.speeds.ratio(2, now + USUAL_SECONDS / 2), before, 3)
        self.assertGreater(self.speeds.ratio(2, now + 5 * USUAL_SECONDS), 1.5 * before)
        self.speeds.record_end(2, "flow")
        self.assertAlmostEqual(self.speeds.ratio(2, now + 5 * USUAL_SECONDS), before, 1)

    # Load: flows move to another host, so that their answers don't pass here. Guards against
    # targets that look slow, and memory that grows, because of requests without an end.
    def test_request_without_an_end_is_forgotten(self) -> None:
        now = play(self.speeds, 80)
        for number in range(100):
            self.speeds.record_request(2, number, "edits", now, "c")
        for at in (now + 2.5, now + 3.0):
            self.assertLess(self.speeds.ratio(2, at), 1.0)
            self.speeds.expire(at)
        self.speeds.record_request(2, 1, "edits", now + 3.0, "c")
        self.assertGreater(self.speeds.ratio(2, now + 4.0), 1.0)


class AverageSpeedsTest(unittest.TestCase):
    # Load: even, with one slow target. Guards against a default rule that no longer decays.
    def test_slow_target_is_avoided_and_tried_again(self) -> None:
        speeds = AverageSpeeds()
        now = play(speeds, 80, slow=2)
        self.assertGreater(speeds.ratio(2, now), 1.5)
        self.assertLess(speeds.ratio(2, now + 5.0), 1.05)


def placements(forwarder: TagForwarder) -> str:
    """Play a fixed sequence of requests on forty targets of three speeds; return those chosen."""
    rng = random.Random(11)
    forwarder.configure(configuration(1, Route(EDITS, (Split("proofdesk", 1),), False, 8, 0.15)))
    entries = (entry(n, zone=("adum", "suame")[n % 2]) for n in range(1, 41))
    forwarder.apply_update(update(*entries), 0.0)
    chosen, ends, now = [], [], 0.0
    for port in range(1, 1201):
        now += rng.expovariate(400.0)
        for end in sorted(row for row in ends if row[0] <= now):
            forwarder.decide(end[1], end[0])
        ends = [row for row in ends if row[0] > now]
        found = forwarder.decide(syn(port), now)
        assert isinstance(found, Forwarded)
        chosen.append(found.identity)
        flow = FlowKey(0x64400007, port, EDITS.address, EDITS.port)
        packet = functools.partial(syn(port)._replace, flow=flow, tag=found.tag, is_syn=False)
        forwarder.decide(packet(payload=100, sequence=2, acknowledged=1), now)
        seconds = rng.uniform(0.02, 0.06) * (1, 1, 1, 6, 0.05)[found.identity % 5]
        ends.append((now + seconds, packet(acknowledged=900, is_last=True)))
        if port % 100 == 0:
            forwarder.tick(now)
    return " ".join(map(str, chosen))


class SettingTest(unittest.TestCase):
    # Load: 400 requests a second on 40 targets, of which eight are slow and eight reject. Guards
    # against other choices by hosts whose setting is off.
    def test_without_the_setting_the_same_targets_are_chosen_as_before(self) -> None:
        chosen = placements(TagForwarder("adum", 7))
        self.assertEqual(chosen, placements(TagForwarder("adum", 7, learns_speeds=False)))
        self.assertEqual(hashlib.sha256(chosen.encode()).hexdigest(), FORMER_PLACEMENTS)

    # Load: the same. Guards against a setting that isn't passed on, or learning that doesn't help.
    def test_with_the_setting_slow_targets_get_fewer_flows(self) -> None:
        counts = []
        for learns_speeds in (False, True):
            chosen = placements(TagForwarder("adum", 7, learns_speeds=learns_speeds)).split()
            counts.append(sum(int(identity) % 5 == 3 for identity in chosen))
        self.assertLess(counts[1], counts[0])


if __name__ == "__main__":
    unittest.main()
