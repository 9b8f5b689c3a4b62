"""A budget of events or bytes in a second."""

from ._propagation.token_bucket import TokenBucket as TokenBucket
