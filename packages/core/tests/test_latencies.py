import unittest

from lacewingrudder_core.latencies import BUCKET_BOUNDS_SECONDS, LatencyHistogram


class LatenciesTest(unittest.TestCase):
    def test_each_bound_counts_what_is_at_or_below_it(self) -> None:
        latencies = LatencyHistogram()
        for seconds in (0.005, 0.006, 9.0):
            latencies.observe(seconds)
        rows = dict(latencies.cumulative_counts())
        self.assertEqual((rows["0.005"], rows["0.01"], rows["5.0"], rows["+Inf"]), (1, 2, 2, 3))
        self.assertAlmostEqual(latencies.sum, 9.011)
        self.assertEqual(len(rows), len(BUCKET_BOUNDS_SECONDS) + 1)
