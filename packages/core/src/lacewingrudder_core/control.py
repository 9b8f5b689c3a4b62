"""The control host: accepts, replicates and propagates operators' changes."""

from ._control.core import Committed as Committed
from ._control.core import ControlCore as ControlCore
from ._control.core import ControlEffect as ControlEffect
from ._control.core import ControlEvent as ControlEvent
from ._control.core import ExpectedHostsChanged as ExpectedHostsChanged
from ._control.core import ForwardMessageReceived as ForwardMessageReceived
from ._control.core import OperatorRequestReceived as OperatorRequestReceived
from ._control.core import OperatorRequestWithdrawn as OperatorRequestWithdrawn
from ._control.core import PeerStatusReceived as PeerStatusReceived
from ._control.core import Reply as Reply
