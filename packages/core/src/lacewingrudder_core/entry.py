"""The entry host: joins flows, targets, membership and the catalogue."""

from ._entry.core import EntryCore as EntryCore
from ._entry.events import EntryEffect as EntryEffect
from ._entry.events import EntryEvent as EntryEvent
from ._entry.events import LoadMeasured as LoadMeasured
from ._entry.events import PeerMessage as PeerMessage
from ._entry.events import ReadinessChanged as ReadinessChanged
from ._entry.events import SendToPeer as SendToPeer
from ._entry.events import ShutdownRequested as ShutdownRequested
from ._entry.events import TargetStateChanged as TargetStateChanged
from ._entry.events import Tick as Tick
