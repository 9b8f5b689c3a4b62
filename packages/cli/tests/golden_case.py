import unittest
from pathlib import Path

GOLDEN = Path(__file__).parent / "golden"


class GoldenCase(unittest.TestCase):
    maxDiff = None

    def assert_golden(self, name: str, text: str) -> None:
        self.assertEqual(text, (GOLDEN / name).read_text())
