"""How target records travel between entry hosts."""

from ._gossip.gossip import TargetGossip as TargetGossip
