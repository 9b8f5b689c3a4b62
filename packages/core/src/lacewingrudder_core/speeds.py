"""The speed of targets, learned from their response times."""

from ._speeds.learned import LearnedSpeeds as LearnedSpeeds
from ._speeds.target_speeds import AverageSpeeds as AverageSpeeds
from ._speeds.target_speeds import SpeedsByService as SpeedsByService
from ._speeds.target_speeds import TargetSpeeds as TargetSpeeds
from ._speeds.waiting_times import WaitingTimes as WaitingTimes
