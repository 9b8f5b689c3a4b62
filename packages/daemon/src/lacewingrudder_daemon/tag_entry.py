"""An entry host that forwards by flow tag."""

from ._fleet.entry import TagEntryProcess as TagEntryProcess
