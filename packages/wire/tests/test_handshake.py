import unittest

from lacewingrudder_wire.handshake import NONCE_BYTES, proof, proof_matches

KEY = "a-key-for-tests-only"
NONCE = b"n" * NONCE_BYTES


class ProofTest(unittest.TestCase):
    def test_proof_depends_on_key_role_host_and_nonce(self) -> None:
        right = proof(KEY, "caller", "entry-1", NONCE)
        self.assertTrue(proof_matches(right, proof(KEY, "caller", "entry-1", NONCE)))
        others = (
            proof("another-key", "caller", "entry-1", NONCE),
            proof(KEY, "listener", "entry-1", NONCE),
            proof(KEY, "caller", "entry-2", NONCE),
            proof(KEY, "caller", "entry-1", b"m" * NONCE_BYTES),
        )
        for other in others:
            self.assertFalse(proof_matches(right, other))
