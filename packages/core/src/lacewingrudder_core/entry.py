"""The entry host: flows, targets, membership and catalogue replication."""

from ._entry.core import EntryCore as EntryCore
from ._entry.events import EntryEffect as EntryEffect
from ._entry.events import EntryEvent as EntryEvent
from ._entry.events import LoadMeasured as LoadMeasured
from ._entry.events import PeerMessage as PeerMessage
from ._entry.events import ReadinessChanged as ReadinessChanged
from ._entry.events import SendPeer as SendPeer
from ._entry.events import StopPlanned as StopPlanned
from ._entry.events import TargetSeen as TargetSeen
from ._entry.events import Tick as Tick
