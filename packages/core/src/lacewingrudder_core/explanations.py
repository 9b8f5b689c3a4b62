"""Explanations of where new flows go, without the forwarding itself (:mod:`.tagging`)."""

from ._tagging.explanation_types import MAX_LISTED_TARGETS as MAX_LISTED_TARGETS
from ._tagging.explanation_types import AdmissionVerdict as AdmissionVerdict
from ._tagging.explanation_types import AssessedTarget as AssessedTarget
from ._tagging.explanation_types import AvoidanceReason as AvoidanceReason
from ._tagging.explanation_types import ExplainReply as ExplainReply
from ._tagging.explanation_types import ExplainRequest as ExplainRequest
from ._tagging.explanation_types import Explanation as Explanation
from ._tagging.explanation_types import LeftOutTarget as LeftOutTarget
from ._tagging.explanation_types import TargetIdentity as TargetIdentity
from ._tagging.flow_tracker import TargetLoad as TargetLoad
