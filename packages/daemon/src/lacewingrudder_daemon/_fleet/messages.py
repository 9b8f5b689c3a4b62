"""Message classes between the hosts of a fleet, by their number on the wire."""

from __future__ import annotations

from typing import Any

from lacewingrudder_core import checkins
from lacewingrudder_wire.explain_client import EXPLAIN_MESSAGES

ENTRY_MESSAGES: dict[int, type[Any]] = {
    1: checkins.Subscription,
    2: checkins.Update,
    3: checkins.ConfigurationUpdate,
    4: checkins.SilenceReport,
    5: checkins.SilenceQuery,
    6: checkins.TargetAnswered,
    7: checkins.ControlStarted,
    8: checkins.FormerTargets,
    **EXPLAIN_MESSAGES,
}
