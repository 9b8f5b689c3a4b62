"""A token bucket that limits a rate of events or bytes."""

from ._propagation.token_bucket import TokenBucket as TokenBucket
