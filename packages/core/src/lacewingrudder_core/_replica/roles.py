"""The roles of a replica; the chart ``replica.json`` holds the transitions."""

from __future__ import annotations

import enum


class Role(enum.StrEnum):
    """What a replica does; each is a state of the chart."""

    BLANK = "blank"
    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    IMPAIRED = "impaired"
