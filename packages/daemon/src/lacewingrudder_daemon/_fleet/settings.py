"""Settings of a fleet process, read from a JSON file; the fleet is discovered through seeds."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NamedTuple

from lacewingrudder_core.types import Endpoint, HostName, ZoneName
from lacewingrudder_wire.exceptions import DocumentError

MILLISECONDS_PER_SECOND = 1000


class TagEntrySettings(NamedTuple):
    """Settings that only an entry host has.

    :param packets: endpoint that receives packets from callers.
    :param readiness: HTTP endpoint for readiness probes.
    :param limits_warmup: whether targets that warm up get no new flows while others run, for
        services whose configuration says how long they do.
    :param learns_speeds: whether targets are chosen by their learned speed.
    """

    packets: Endpoint
    readiness: Endpoint
    limits_warmup: bool = False
    learns_speeds: bool = False


class RegistrarSettings(NamedTuple):
    """Settings that only a control host has.

    :param calls: HTTP endpoint for targets and operators.
    :param data_folder: folder for durable state.
    :param zones: zones that operators may evacuate; empty for any.
    """

    calls: Endpoint
    data_folder: Path
    zones: frozenset[ZoneName] = frozenset()


class FleetSettings(NamedTuple):
    """Settings of one process of the fleet.

    :param name: display name, written with each timeline event.
    :param messages: endpoint that other hosts send messages to; also this host's name among them.
    :param seeds: control hosts to contact first. Their port is that of ``messages``, which all
        hosts share.
    :param bootstraps: whether this fleet starts for the first time and bootstraps its cluster.
    :param heartbeat_seconds: heartbeat interval of targets.
    :param grace_seconds: how long the process may run after SIGTERM.
    :param entry: ``None`` unless the process is an entry host.
    :param registrar: ``None`` unless the process is a control host.
    :param metrics: HTTP endpoint for metrics, or ``None``.
    :param messages_bind: endpoint to bind for messages; differs from ``messages`` behind address
        translation.
    """

    name: str
    zone: ZoneName
    messages: Endpoint
    seeds: tuple[HostName, ...]
    bootstraps: bool
    heartbeat_seconds: float
    grace_seconds: float
    entry: TagEntrySettings | None
    registrar: RegistrarSettings | None
    metrics: Endpoint | None
    messages_bind: Endpoint


class SettingsFile:
    """The settings file of a process; it may change while the process runs.

    :param path: path of the file.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._text = ""

    def read(self) -> FleetSettings:
        """Return the settings.

        :raises OSError: if the file cannot be read.
        :raises DocumentError: if a setting is missing or invalid; names the file and the field.
        """
        text = self._path.read_text("utf-8")
        settings = parse_settings(text, str(self._path))
        self._text = text
        return settings

    def reread(self) -> FleetSettings | None:
        """Return the settings if the file changed since the last read, else ``None``.

        :raises OSError: if the file cannot be read.
        :raises DocumentError: if a setting is missing or invalid; names the file and the field.
        """
        if self._path.read_text("utf-8") == self._text:
            return None
        return self.read()


def parse_settings(text: str, file: str) -> FleetSettings:
    """Parse and validate settings in JSON.

    Unknown fields are ignored, as a newer release of the platform may write additional ones.

    :param file: file name for error messages.
    :raises DocumentError: if a setting is missing or invalid; names the file and the field.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise DocumentError(file, "(document)", f"is not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError(file, "(document)", "must be an object")
    reader = _Reader(file, document)
    messages = reader.endpoint("messages")
    return FleetSettings(
        name=reader.string("name"),
        zone=reader.string("zone"),
        messages=messages,
        seeds=reader.seeds("seeds", messages.port),
        bootstraps=reader.boolean("founds"),
        heartbeat_seconds=reader.positive("beat_ms") / MILLISECONDS_PER_SECOND,
        grace_seconds=reader.positive("grace_s"),
        entry=_entry_settings(reader),
        registrar=_registrar_settings(reader),
        metrics=reader.endpoint("metrics") if "metrics" in document else None,
        messages_bind=reader.endpoint("messages_bind") if "messages_bind" in document else messages,
    )


def _entry_settings(reader: _Reader) -> TagEntrySettings | None:
    if not reader.has("packets"):
        return None
    return TagEntrySettings(
        reader.endpoint("packets"),
        reader.endpoint("readiness"),
        reader.boolean("limit_warmup") if reader.has("limit_warmup") else False,
        reader.boolean("learn_speeds") if reader.has("learn_speeds") else False,
    )


def _registrar_settings(reader: _Reader) -> RegistrarSettings | None:
    if not reader.has("calls"):
        return None
    return RegistrarSettings(
        reader.endpoint("calls"),
        Path(reader.string("data_folder")),
        reader.names("zones") if reader.has("zones") else frozenset(),
    )


class _Reader:
    """Converts fields of a settings document; errors name the file and the field."""

    def __init__(self, file: str, document: dict[str, Any]) -> None:
        self._file = file
        self._document = document

    def has(self, field: str) -> bool:
        return bool(self._document.get(field))

    def string(self, field: str) -> str:
        value = self._document.get(field)
        if not isinstance(value, str) or not value:
            raise DocumentError(self._file, field, "must be a non-empty string")
        return value

    def boolean(self, field: str) -> bool:
        value = self._document.get(field)
        if not isinstance(value, bool):
            raise DocumentError(self._file, field, "must be true or false")
        return value

    def positive(self, field: str) -> float:
        value = self._document.get(field)
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            raise DocumentError(self._file, field, "must be a number above 0")
        return value

    def names(self, field: str) -> frozenset[str]:
        value = self._document.get(field)
        if not isinstance(value, list) or not all(isinstance(text, str) for text in value):
            raise DocumentError(self._file, field, "must be a list of names")
        return frozenset(value)

    def endpoint(self, field: str) -> Endpoint:
        return self._parse(field, self.string(field))

    def seeds(self, field: str, port: int) -> tuple[HostName, ...]:
        value = self._document.get(field)
        if not isinstance(value, list) or not all(isinstance(text, str) for text in value):
            raise DocumentError(self._file, field, "must be a list of endpoints")
        return tuple(str(self._parse(field, text)._replace(port=port)) for text in value)

    def _parse(self, field: str, text: str) -> Endpoint:
        try:
            return Endpoint.parse(text)
        except ValueError as error:
            raise DocumentError(self._file, field, str(error)) from error
