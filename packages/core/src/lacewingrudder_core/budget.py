"""A budget of events or bytes in a second."""

from ._spread.budget import Budget as Budget
