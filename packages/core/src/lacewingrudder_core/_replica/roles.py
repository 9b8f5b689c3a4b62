"""The roles of a replica; ``charts/replica.json`` defines the transitions between them."""

from __future__ import annotations

import enum


class Role(enum.StrEnum):
    """A state of the chart.

    A blank replica has no cluster yet, a learner replicates the log without a vote, and an
    impaired one can't write to its disk.
    """

    BLANK = "blank"
    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    IMPAIRED = "impaired"
