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

from .flow_tracker import SEQUENCE_COUNT

_HASH_BITS = 31
"""Bits of a tag that name a target and hash a sequence number; the highest one tells which SYN."""

_FIRST_NAME_BITS = 18
_RETRANSMISSION_NAME_BITS = 24
"""Packets go to the target that a retransmission's tag names unless their sequence number follows.
So that name is longer: an unknown flow tag must not be taken for such a tag of a known target."""

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
        return self.name == tag & _mask(_name_bits(self.is_retransmission))

    def is_followed_by(self, sequence: int) -> bool:
        """Return whether a packet's sequence number is that of the caller's first packet."""
        return any(
            _hash_sequence(sequence - offset, self.is_retransmission) == self.sequence_hash
            for offset in FIRST_PACKET_OFFSETS
        )


def short_name(value: int) -> int:
    """Return the part of a flow tag or of a name that both kinds of SYN tags have."""
    return value & _mask(_FIRST_NAME_BITS)


def make_syn_tag(tag: int, sequence: int, is_retransmission: bool) -> int:
    """Return the tag of a SYN.

    :param tag: flow tag of the target of the first SYN or, for a retransmission, of the target of
        the transmission before; 0 if that is not known.
    :param sequence: sequence number of the SYN.
    """
    bits = _name_bits(is_retransmission)
    flag = _RETRANSMISSION if is_retransmission else 0
    return flag | _hash_sequence(sequence, is_retransmission) << bits | tag & _mask(bits)


def read_syn_tag(value: int) -> SynTag:
    """Return the parts of a tag, which may be none of a SYN."""
    is_retransmission = bool(value & _RETRANSMISSION)
    bits = _name_bits(is_retransmission)
    return SynTag(value & _mask(bits), (value & _mask(_HASH_BITS)) >> bits, is_retransmission)


def _name_bits(is_retransmission: bool) -> int:
    return _RETRANSMISSION_NAME_BITS if is_retransmission else _FIRST_NAME_BITS


def _mask(bits: int) -> int:
    return (1 << bits) - 1


def _hash_sequence(sequence: int, is_retransmission: bool) -> int:
    """Return a hash with the bits of a tag that the name leaves."""
    product = sequence * _SEQUENCE_FACTOR % SEQUENCE_COUNT
    return product >> (32 - _HASH_BITS + _name_bits(is_retransmission))
