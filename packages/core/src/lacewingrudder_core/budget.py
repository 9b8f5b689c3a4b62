"""A token bucket that limits a rate of events or bytes."""

from ._spread.budget import Budget as Budget
