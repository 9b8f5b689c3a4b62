"""How control hosts spread changes to entry hosts, and who has them in force."""

from ._propagation.propagation import ChangeApplied as ChangeApplied
from ._propagation.propagation import PropagationCore as PropagationCore
from ._propagation.propagation import SendToHost as SendToHost
from ._propagation.propagation import SnapshotPulled as SnapshotPulled
from ._propagation.propagation import Subscribed as Subscribed
from ._propagation.status_queries import SendPeerStatus as SendPeerStatus
from ._propagation.token_bucket import TokenBucket as TokenBucket
