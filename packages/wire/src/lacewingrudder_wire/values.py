"""Encodes named tuples as CBOR arrays; decoding validates each field against its annotation."""

from __future__ import annotations

import enum
import types
import typing
from collections.abc import Callable
from typing import Any

import cbor2
from lacewingrudder_core.types import Endpoint

from .exceptions import CodecError

_Decoder = Callable[[Any], Any]


def encode_value(value: Any) -> bytes:
    """Encode a named tuple."""
    return cbor2.dumps(to_builtins(value))


def decode_value(cls: type[Any], data: bytes) -> Any:
    """Decode a named tuple of the given class.

    :raises CodecError: if the data does not hold one.
    """
    try:
        return from_builtins(cls, cbor2.loads(data))
    except CodecError:
        raise
    except Exception as error:
        raise CodecError(f"malformed {cls.__name__}: {type(error).__name__}") from error


def from_builtins(cls: type[Any], value: Any) -> Any:
    """Convert decoded CBOR to a named tuple of the given class.

    :raises CodecError: if a field is missing or has the wrong type.
    """
    return _decoder_for(cls)(value)


def to_builtins(value: Any) -> Any:
    """Convert a named tuple to the lists and scalars that CBOR can represent.

    Trailing fields with their defaults are left out, so that earlier releases, which don't know the
    newest fields, read what does without these.
    """
    if isinstance(value, tuple):
        return [to_builtins(part) for part in value[: _written_count(value)]]
    if isinstance(value, enum.Enum):
        return value.value
    return value


def _written_count(value: tuple[Any, ...]) -> int:
    """Return the number of fields to write."""
    defaults: dict[str, Any] = getattr(value, "_field_defaults", {})
    count = len(value)
    for default in reversed(defaults.values()):
        if value[count - 1] != default:
            break
        count -= 1
    return count


_DECODERS: dict[Any, _Decoder] = {}


def _decoder_for(annotation: Any) -> _Decoder:
    decoder = _DECODERS.get(annotation)
    if decoder is None:
        decoder = _make_decoder(annotation)
        _DECODERS[annotation] = decoder
    return decoder


def _make_decoder(annotation: Any) -> _Decoder:
    origin = typing.get_origin(annotation)
    if origin in (types.UnionType, typing.Union):
        return _optional_decoder(typing.get_args(annotation))
    if origin is tuple:
        return _sequence_decoder(typing.get_args(annotation)[0])
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return annotation
    if annotation is Endpoint:
        return _endpoint_decoder()
    if hasattr(annotation, "_fields"):
        return _record_decoder(annotation)
    return _scalar_decoder(annotation)


def _optional_decoder(arguments: tuple[Any, ...]) -> _Decoder:
    inner = _decoder_for(next(arg for arg in arguments if arg is not type(None)))
    return lambda value: None if value is None else inner(value)


def _sequence_decoder(item: Any) -> _Decoder:
    inner = _decoder_for(item)

    def decode_sequence(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list):
            raise CodecError("expected a list")
        return tuple(inner(part) for part in value)

    return decode_sequence


def _record_decoder(cls: Any) -> _Decoder:
    hints = typing.get_type_hints(cls)
    inner = [_decoder_for(hints[name]) for name in cls._fields]
    required = len(inner) - len(cls._field_defaults)

    def decode_record(value: Any) -> Any:
        """Decode a named tuple.

        Trailing fields with defaults may be absent: earlier releases did not write them.
        """
        if not isinstance(value, list) or not required <= len(value) <= len(inner):
            raise CodecError(f"wrong number of fields for {cls.__name__}")
        return cls(*(read(part) for read, part in zip(inner, value, strict=False)))

    return decode_record


def _endpoint_decoder() -> _Decoder:
    inner = _record_decoder(Endpoint)

    def decode_endpoint(value: Any) -> Endpoint:
        """Decode an endpoint; one out of range could not be sent to or written out."""
        endpoint: Endpoint = inner(value)
        if not 0 <= endpoint.address < 1 << 32 or not 0 < endpoint.port < 1 << 16:
            raise CodecError("expected an IPv4 address and a port from 1 to 65535")
        return endpoint

    return decode_endpoint


def _scalar_decoder(cls: type[Any]) -> _Decoder:
    def decode_scalar(value: Any) -> Any:
        if cls is float and type(value) is int:
            return float(value)
        if type(value) is not cls:
            raise CodecError(f"expected a value of type {cls.__name__}")
        return value

    return decode_scalar
