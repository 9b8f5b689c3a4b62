"""Gossip of target records between entry hosts."""

from ._gossip.gossip import TargetGossip as TargetGossip
