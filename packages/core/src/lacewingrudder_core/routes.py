"""Configurations of forwarding by tag, without the forwarding itself (:mod:`.tagging`).

Control hosts check configurations and forward nothing, so their start need not load the forwarding.
"""

from ._tagging.types import DEFAULT_IDLE_TIMEOUT_SECONDS as DEFAULT_IDLE_TIMEOUT_SECONDS
from ._tagging.types import Configuration as Configuration
from ._tagging.types import Route as Route
from ._tagging.types import Split as Split
from ._tagging.types import WarmupLimit as WarmupLimit
