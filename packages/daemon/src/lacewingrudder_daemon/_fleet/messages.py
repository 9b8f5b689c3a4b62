"""Message classes between the hosts of a fleet, by their number on the wire."""

from __future__ import annotations

from typing import Any

from lacewingrudder_core import subscriptions

ENTRY_MESSAGES: dict[int, type[Any]] = {
    1: subscriptions.Subscription,
    2: subscriptions.Update,
    3: subscriptions.ConfigurationUpdate,
    4: subscriptions.SilenceReport,
    5: subscriptions.SilenceQuery,
    6: subscriptions.TargetAnswered,
    7: subscriptions.ControlStarted,
    8: subscriptions.FormerTargets,
}
