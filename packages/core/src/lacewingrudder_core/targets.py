"""The targets' life cycle: announcements, leases and what other hosts say of targets."""

from ._targets.announcements import Announcement as Announcement
from ._targets.announcements import announcement_mac as announcement_mac
from ._targets.events import Announced as Announced
from ._targets.events import AnnounceOutcome as AnnounceOutcome
from ._targets.events import AnnounceReply as AnnounceReply
from ._targets.events import Rejected as Rejected
