"""Tags that SYNs carry, which tell the target that holds a flow from others that answered too.

A target returns the tag of the packet that it received last. The target that holds a flow has
received the caller's first packet, with the flow tag of the target, and returns that. One that only
answered a SYN goes on to repeat its answer, with the tag of the SYN, and the caller echoes the last
tag that reached it. So the SYN carries another tag than the packets after it:

* the caller's first packet, which follows the SYN in its sequence numbers, belongs to the target
  that got the SYN with this tag;
* a later packet with such a tag shows that its flow is held by another target.

The tag of the first SYN names its target. That of a retransmission names none: it only tells the
host that sent it which target got it. Which target holds the flow if not that one is never told,
since further copies of the SYN may have gone through other hosts. A packet is dropped if it would
take a guess: a wrong target would reset the flow.
"""

from __future__ import annotations

from typing import NamedTuple

from .flow_tracker import SEQUENCE_COUNT

_HASH_BITS = 31
"""Bits of a tag that name a target and hash a sequence number; the highest one tells which SYN."""

_NAME_BITS = 18
"""Bits of a tag that name a target; in the tag of a retransmission they are 0."""

_NUMBER_BITS = 2
"""Bits of a retransmission's tag that tell it from others of the same flow."""

_RETRANSMISSION = 1 << _HASH_BITS

_SEQUENCE_FACTOR = 2654435761
"""Multiplier of Knuth's multiplicative hash of 32-bit numbers."""

FIRST_PACKET_OFFSETS = (1, 0)
"""Sequence number of a caller's first packet, counted from its SYN's: with or without the SYN."""


class SynTag(NamedTuple):
    """The parts of a SYN's tag.

    :param name: last bits of the flow tag of a target; 0 for none.
    :param sequence_hash: hash of the SYN's sequence number.
    :param is_retransmission: whether the SYN was a retransmission.
    """

    name: int
    sequence_hash: int
    is_retransmission: bool

    def may_name(self, tag: int) -> bool:
        """Return whether this may be the name of a target with a flow tag."""
        return not self.is_retransmission and self.name == short_name(tag)

    def is_followed_by(self, sequence: int) -> bool:
        """Return whether a packet's sequence number is that of the caller's first packet."""
        bits = _hash_bits(self.is_retransmission)
        return any(
            _hash_sequence(sequence - offset, bits) == self.sequence_hash
            for offset in FIRST_PACKET_OFFSETS
        )


def short_name(value: int) -> int:
    """Return the part of a flow tag that names its target in the tag of a SYN."""
    return value & _mask(_NAME_BITS)


def make_syn_tag(tag: int, sequence: int) -> int:
    """Return the tag of a first SYN.

    :param tag: flow tag of its target.
    :param sequence: sequence number of the SYN.
    """
    bits = _hash_bits(is_retransmission=False)
    return _hash_sequence(sequence, bits) << (_HASH_BITS - bits) | short_name(tag)


def make_retransmission_tag(number: int, sequence: int) -> int:
    """Return the tag of a retransmitted SYN.

    :param number: differs between the retransmissions of a flow that a host sends.
    :param sequence: sequence number of the SYN.
    """
    bits = _hash_bits(is_retransmission=True)
    sequence_hash = _hash_sequence(sequence, bits) << (_HASH_BITS - bits)
    return _RETRANSMISSION | sequence_hash | (number & _mask(_NUMBER_BITS)) << _NAME_BITS


def read_syn_tag(value: int) -> SynTag:
    """Return the parts of a tag, which may be none of a SYN."""
    is_retransmission = bool(value & _RETRANSMISSION)
    shift = _HASH_BITS - _hash_bits(is_retransmission)
    return SynTag(short_name(value), (value & _mask(_HASH_BITS)) >> shift, is_retransmission)


def _hash_bits(is_retransmission: bool) -> int:
    """Return the number of bits that hash the sequence number: those that the others leave."""
    return _HASH_BITS - _NAME_BITS - (_NUMBER_BITS if is_retransmission else 0)


def _mask(bits: int) -> int:
    return (1 << bits) - 1


def _hash_sequence(sequence: int, bits: int) -> int:
    product = sequence * _SEQUENCE_FACTOR % SEQUENCE_COUNT
    return product >> (32 - bits)
