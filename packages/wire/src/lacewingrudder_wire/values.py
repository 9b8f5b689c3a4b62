"""CBOR of tuples: ``[field, ...]``, each field checked against its annotation when it is read."""

from __future__ import annotations

import enum
import types
import typing
from collections.abc import Callable
from typing import Any

import cbor2

from .exceptions import CodecError

_Decoder = Callable[[Any], Any]


def encode_value(value: Any) -> bytes:
    """Return the bytes of any data tuple."""
    return cbor2.dumps(plain(value))


def decode_value(cls: type[Any], data: bytes) -> Any:
    """Return the tuple of the given class that the bytes hold.

    :raises CodecError: if they hold none.
    """
    try:
        return from_plain(cls, cbor2.loads(data))
    except CodecError:
        raise
    except Exception as error:
        raise CodecError(f"not a {cls.__name__}: {type(error).__name__}") from error


def from_plain(cls: type[Any], value: Any) -> Any:
    """Return the tuple of the given class that decoded CBOR stands for.

    :raises CodecError: if a field is missing or of another type.
    """
    return _decoder(cls)(value)


def plain(value: Any) -> Any:
    """Return a tuple as lists and scalars that CBOR knows."""
    if isinstance(value, tuple):
        return [plain(part) for part in value]
    if isinstance(value, enum.Enum):
        return value.value
    return value


_DECODERS: dict[Any, _Decoder] = {}


def _decoder(annotation: Any) -> _Decoder:
    found = _DECODERS.get(annotation)
    if found is None:
        found = _make_decoder(annotation)
        _DECODERS[annotation] = found
    return found


def _make_decoder(annotation: Any) -> _Decoder:
    origin = typing.get_origin(annotation)
    if origin in (types.UnionType, typing.Union):
        return _optional(typing.get_args(annotation))
    if origin is tuple:
        return _sequence(typing.get_args(annotation)[0])
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return annotation
    if hasattr(annotation, "_fields"):
        return _record(annotation)
    return _scalar(annotation)


def _optional(arguments: tuple[Any, ...]) -> _Decoder:
    inner = _decoder(next(arg for arg in arguments if arg is not type(None)))
    return lambda value: None if value is None else inner(value)


def _sequence(item: Any) -> _Decoder:
    inner = _decoder(item)

    def decode_sequence(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list):
            raise CodecError("a list is missing")
        return tuple(inner(part) for part in value)

    return decode_sequence


def _record(cls: Any) -> _Decoder:
    hints = typing.get_type_hints(cls)
    inner = [_decoder(hints[name]) for name in cls._fields]
    required = len(inner) - len(cls._field_defaults)

    def decode_record(value: Any) -> Any:
        """Read a tuple; an earlier release did not write fields that have a default now."""
        if not isinstance(value, list) or not required <= len(value) <= len(inner):
            raise CodecError(f"fields of {cls.__name__} are missing")
        return cls(*(read(part) for read, part in zip(inner, value, strict=False)))

    return decode_record


def _scalar(cls: type[Any]) -> _Decoder:
    def decode_scalar(value: Any) -> Any:
        if cls is float and type(value) is int:
            return float(value)
        if type(value) is not cls:
            raise CodecError(f"a {cls.__name__} is missing")
        return value

    return decode_scalar
