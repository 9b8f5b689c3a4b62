"""What subscribers of control hosts exchange with them, without the handling of check-ins.

Entry hosts handle no check-ins, so their start need not load that (:mod:`.checkins`).
"""

from ._checkins.shutdown import ShutdownPolicy as ShutdownPolicy
from ._checkins.types import ConfigurationUpdate as ConfigurationUpdate
from ._checkins.types import ControlStarted as ControlStarted
from ._checkins.types import FormerTargets as FormerTargets
from ._checkins.types import LifeState as LifeState
from ._checkins.types import Lifetime as Lifetime
from ._checkins.types import SilenceQuery as SilenceQuery
from ._checkins.types import SilenceReport as SilenceReport
from ._checkins.types import Subscription as Subscription
from ._checkins.types import TargetAnswered as TargetAnswered
from ._checkins.types import Update as Update
from ._checkins.types import ZonePeerCounts as ZonePeerCounts
from ._checkins.views import KnownTarget as KnownTarget
