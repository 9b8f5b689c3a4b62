"""Links between processes: mutually authenticated websockets that carry CBOR messages."""

from ._links.hub import OPERATORS_LIMIT as OPERATORS_LIMIT
