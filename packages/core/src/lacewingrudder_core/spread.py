"""Propagation of committed changes to entry hosts, and which revision each has in force."""

from ._spread.budget import Budget as Budget
from ._spread.spread import Advanced as Advanced
from ._spread.spread import SendHost as SendHost
from ._spread.spread import SnapshotPulled as SnapshotPulled
from ._spread.spread import SpreadCore as SpreadCore
from ._spread.spread import Subscribed as Subscribed
from ._spread.survey import SendSurvey as SendSurvey
