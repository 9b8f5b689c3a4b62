"""Links between processes: mutually authenticated websockets that carry CBOR messages."""

from ._links.hub import MAX_OPERATOR_CONNECTIONS as MAX_OPERATOR_CONNECTIONS
