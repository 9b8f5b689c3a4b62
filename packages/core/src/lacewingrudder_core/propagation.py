"""Propagation of committed changes to entry hosts, and which revision each has in force."""

from ._propagation.propagation import ChangeApplied as ChangeApplied
from ._propagation.propagation import PropagationCore as PropagationCore
from ._propagation.propagation import SendToHost as SendToHost
from ._propagation.propagation import SnapshotPulled as SnapshotPulled
from ._propagation.propagation import Subscribed as Subscribed
from ._propagation.status_queries import SendPeerStatus as SendPeerStatus
from ._propagation.token_bucket import TokenBucket as TokenBucket
