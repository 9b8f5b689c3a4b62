import json
import unittest

from lacewingrudder_wire.strict_json import read_json


class StrictJsonTest(unittest.TestCase):
    def test_json_is_read(self) -> None:
        value = {"a": [1, 2.5, True, None, "\u00fc"], "b": {}}
        self.assertEqual(read_json(json.dumps(value, ensure_ascii=False).encode()), value)

    # Guards against documents that are accepted and handed on, and that nobody else can read.
    def test_what_only_the_standard_library_reads_is_an_error(self) -> None:
        cases = [b'{"a": %s}' % name for name in (b"NaN", b"Infinity", b"-Infinity")]
        cases += ['{"a": 1}'.encode(name) for name in ("utf-8-sig", "utf-16", "utf-32")]
        cases += [b'{"a": "\xed\xa0\x80"}', b'{"a": "\xff"}', b"", b"{", b"{} {}"]
        for case in cases:
            with self.subTest(case=case), self.assertRaises(ValueError):
                read_json(case)
