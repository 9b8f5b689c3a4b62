"""The control host: accepts, replicates and propagates operators' changes."""

from ._control.core import Committed as Committed
from ._control.core import ControlCore as ControlCore
from ._control.core import ControlEffect as ControlEffect
from ._control.core import ControlEvent as ControlEvent
from ._control.core import ForwardHeard as ForwardHeard
from ._control.core import HostsExpected as HostsExpected
from ._control.core import Reply as Reply
from ._control.core import Requested as Requested
from ._control.core import SurveyHeard as SurveyHeard
