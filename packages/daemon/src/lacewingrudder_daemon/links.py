"""Links between processes: websockets that carry CBOR messages, authenticated on both sides."""

from ._links.hub import OPERATORS_LIMIT as OPERATORS_LIMIT
