"""Public API of entry hosts that forward packets by flow tag."""

from ._fleet.entry import TagEntryProcess as TagEntryProcess
