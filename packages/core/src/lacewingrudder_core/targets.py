"""The life cycle of targets: announcements, leases and records from other hosts."""

from ._targets.announcements import Announcement as Announcement
from ._targets.announcements import announcement_mac as announcement_mac
from ._targets.events import Announced as Announced
from ._targets.events import AnnounceOutcome as AnnounceOutcome
from ._targets.events import AnnounceReply as AnnounceReply
from ._targets.events import Rejected as Rejected
