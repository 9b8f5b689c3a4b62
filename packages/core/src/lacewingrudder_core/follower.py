"""Replication of the catalogue to an entry host."""

from ._follower.follower import ControlMessage as ControlMessage
from ._follower.follower import InForce as InForce
from ._follower.follower import Keep as Keep
from ._follower.follower import Kept as Kept
from ._follower.follower import SendControl as SendControl
