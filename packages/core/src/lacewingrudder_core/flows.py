"""The packet path: which host keeps a flow, and which target a packet of it goes to."""

from ._flows.core import FlowCore as FlowCore
from ._flows.pins import PIN_BYTES_PER_SECOND as PIN_BYTES_PER_SECOND
from ._flows.types import ACK as ACK
from ._flows.types import FIN as FIN
from ._flows.types import RST as RST
from ._flows.types import SEQUENCE_MASK as SEQUENCE_MASK
from ._flows.types import SYN as SYN
from ._flows.types import Drop as Drop
from ._flows.types import DropReason as DropReason
from ._flows.types import FlowEffect as FlowEffect
from ._flows.types import FlowEvent as FlowEvent
from ._flows.types import FlowTick as FlowTick
from ._flows.types import LeaveRequested as LeaveRequested
from ._flows.types import PinsReceived as PinsReceived
from ._flows.types import Probe as Probe
from ._flows.types import Relay as Relay
from ._flows.types import Replicate as Replicate
from ._flows.types import Resend as Resend
from ._flows.types import Reset as Reset
from ._flows.types import Segment as Segment
from ._flows.types import SegmentArrived as SegmentArrived
from ._flows.types import Stage as Stage
from ._flows.types import ToCaller as ToCaller
from ._flows.types import ToTarget as ToTarget
from ._flows.types import VerdictReached as VerdictReached
from ._flows.types import ViewChanged as ViewChanged
