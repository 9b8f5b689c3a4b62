"""Membership of entry hosts: which of them are alive."""

from ._membership.core import MemberLeft as MemberLeft
from ._membership.core import MemberMessage as MemberMessage
from ._membership.core import MembersChanged as MembersChanged
from ._membership.core import MembershipCore as MembershipCore
from ._membership.core import MembershipEffect as MembershipEffect
from ._membership.core import SendMember as SendMember
from ._membership.core import Tick as Tick
