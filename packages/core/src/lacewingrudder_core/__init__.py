"""Decisions of the lacewingrudder load balancer, free of I/O."""

from .chart import Chart as Chart
from .core import Core as Core
from .entry import EntryCore as EntryCore
