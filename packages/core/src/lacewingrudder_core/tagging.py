"""Stateless forwarding by a flow tag that both ends of a flow echo."""

from ._tagging.core import TagForwarder as TagForwarder
from ._tagging.outlier_detection import EJECTION_FAILURE_COUNT as EJECTION_FAILURE_COUNT
from ._tagging.silence_detector import SYN_ANSWER_TIMEOUT_SECONDS as SYN_ANSWER_TIMEOUT_SECONDS
from ._tagging.tags import flow_tag as flow_tag
from ._tagging.types import DEFAULT_IDLE_TIMEOUT_SECONDS as DEFAULT_IDLE_TIMEOUT_SECONDS
from ._tagging.types import Configuration as Configuration
from ._tagging.types import Decision as Decision
from ._tagging.types import Dropped as Dropped
from ._tagging.types import DropReason as DropReason
from ._tagging.types import Ejection as Ejection
from ._tagging.types import Forwarded as Forwarded
from ._tagging.types import RepeatedSyn as RepeatedSyn
from ._tagging.types import Reset as Reset
from ._tagging.types import ResetReason as ResetReason
from ._tagging.types import Route as Route
from ._tagging.types import Split as Split
from ._tagging.types import TagSegment as TagSegment
