"""Tags that SYNs carry, which tell the target that holds a flow from others that answered too.

A target returns the tag of the packet that it received last. The target that holds a flow has
received the caller's first packet, with the flow tag of the target, and returns that. One that only
answered a SYN goes on to repeat its answer, with the tag of the SYN, and the caller echoes the last
tag that reached it. So the SYN carries another tag than the packets after it:

* the caller's first packet, which follows the SYN in its sequence numbers, belongs to the target
  that got the SYN with this tag;
* a later packet with such a tag shows that its flow is held by another target.

The tag of the first SYN names its target. That of a retransmission names the target of the
transmission before, which then holds the flow. Both leave a case open, in which the packet is
dropped: a wrong target would reset the flow.
"""

from __future__ import annotations

from typing import NamedTuple

SEQUENCE_MASK = 0xFFFFFFFF

_NAME_BITS = 18
_SEQUENCE_BITS = 13
_NAME_MASK = (1 << _NAME_BITS) - 1
_SEQUENCE_SHIFT = _NAME_BITS
_RETRANSMISSION = 1 << (_NAME_BITS + _SEQUENCE_BITS)

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

    def is_followed_by(self, sequence: int) -> bool:
        """Return whether a packet's sequence number is that of the caller's first packet."""
        return any(
            _hash_sequence(sequence - offset) == self.sequence_hash
            for offset in FIRST_PACKET_OFFSETS
        )


def tag_name(tag: int) -> int:
    """Return the part of a target's flow tag that the tags of SYNs name it by."""
    return tag & _NAME_MASK


def make_syn_tag(tag: int, sequence: int, is_retransmission: bool) -> int:
    """Return the tag of a SYN.

    :param tag: flow tag of the target of the first SYN or, for a retransmission, of the target of
        the transmission before; 0 if that is not known.
    :param sequence: sequence number of the SYN.
    """
    flag = _RETRANSMISSION if is_retransmission else 0
    return flag | _hash_sequence(sequence) << _SEQUENCE_SHIFT | tag_name(tag)


def read_syn_tag(value: int) -> SynTag:
    """Return the parts of a tag, which may be none of a SYN."""
    sequence_hash = value >> _SEQUENCE_SHIFT & ((1 << _SEQUENCE_BITS) - 1)
    return SynTag(value & _NAME_MASK, sequence_hash, bool(value & _RETRANSMISSION))


def _hash_sequence(sequence: int) -> int:
    product = (sequence & SEQUENCE_MASK) * _SEQUENCE_FACTOR & SEQUENCE_MASK
    return product >> (32 - _SEQUENCE_BITS)
