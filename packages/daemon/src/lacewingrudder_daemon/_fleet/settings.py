"""Settings of a process whose fleet finds itself through seeds, read from a JSON file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NamedTuple

from lacewingrudder_core.types import Endpoint, HostName, ZoneName
from lacewingrudder_wire.exceptions import DocumentError

MILLISECONDS_PER_SECOND = 1000


class TagEntrySettings(NamedTuple):
    """What only an entry host needs.

    :param packets: where callers' packets arrive.
    :param readiness: HTTP address that says whether this host takes flows.
    """

    packets: Endpoint
    readiness: Endpoint


class RegistrarSettings(NamedTuple):
    """What only a control host needs.

    :param calls: HTTP address for targets and operators.
    """

    calls: Endpoint
    data_folder: Path


class FleetSettings(NamedTuple):
    """Settings of one process of the fleet.

    :param name: for people; log lines carry it.
    :param messages: where this host takes messages of other hosts; its name among them.
    :param seeds: control hosts to begin with; all hosts take messages at the same port.
    :param founds: whether the system starts for the first time.
    :param heartbeat_seconds: how often a target checks in.
    :param grace_seconds: how long after SIGTERM the process may still run.
    :param entry: ``None`` unless the process is an entry host.
    :param registrar: ``None`` unless the process is a control host.
    :param metrics: HTTP address for metrics, or ``None``.
    :param messages_bind: where this host listens for messages; another address than ``messages``
        if addresses are translated on the way.
    """

    name: str
    zone: ZoneName
    messages: Endpoint
    seeds: tuple[HostName, ...]
    founds: bool
    heartbeat_seconds: float
    grace_seconds: float
    entry: TagEntrySettings | None
    registrar: RegistrarSettings | None
    metrics: Endpoint | None
    messages_bind: Endpoint


class SettingsFile:
    """The settings file of this process, which may change while it runs.

    :param path: of the file.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._text = ""

    def read(self) -> FleetSettings:
        """Return the settings.

        :raises DocumentError: naming the file, the field and the reason.
        """
        text = self._path.read_text("utf-8")
        settings = parse_settings(text, str(self._path))
        self._text = text
        return settings

    def reread(self) -> FleetSettings | None:
        """Return the settings if the file changed since they were read, else ``None``.

        :raises OSError: if the file can't be read.
        :raises DocumentError: naming the file, the field and the reason.
        """
        if self._path.read_text("utf-8") == self._text:
            return None
        return self.read()


def parse_settings(text: str, file: str) -> FleetSettings:
    """Return the settings in a JSON text.

    Unknown fields are passed over: a newer release of the platform may write more of them.

    :raises DocumentError: naming the file, the field and the reason.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise DocumentError(file, "(document)", f"is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError(file, "(document)", "has to be an object")
    reader = _Reader(file, document)
    messages = reader.endpoint("messages")
    return FleetSettings(
        name=reader.text("name"),
        zone=reader.text("zone"),
        messages=messages,
        seeds=reader.seeds("seeds", messages.port),
        founds=reader.flag("founds"),
        heartbeat_seconds=reader.positive("beat_ms") / MILLISECONDS_PER_SECOND,
        grace_seconds=reader.positive("grace_s"),
        entry=_entry(reader),
        registrar=_registrar(reader),
        metrics=reader.endpoint("metrics") if "metrics" in document else None,
        messages_bind=reader.endpoint("messages_bind") if "messages_bind" in document else messages,
    )


def _entry(reader: _Reader) -> TagEntrySettings | None:
    if not reader.has("packets"):
        return None
    return TagEntrySettings(reader.endpoint("packets"), reader.endpoint("readiness"))


def _registrar(reader: _Reader) -> RegistrarSettings | None:
    if not reader.has("calls"):
        return None
    return RegistrarSettings(reader.endpoint("calls"), Path(reader.text("data_folder")))


class _Reader:
    """Turns fields into data, and names the field that can't be."""

    def __init__(self, file: str, document: dict[str, Any]) -> None:
        self._file = file
        self._document = document

    def has(self, field: str) -> bool:
        return bool(self._document.get(field))

    def text(self, field: str) -> str:
        value = self._document.get(field)
        if not isinstance(value, str) or not value:
            raise DocumentError(self._file, field, "has to be a text")
        return value

    def flag(self, field: str) -> bool:
        value = self._document.get(field)
        if not isinstance(value, bool):
            raise DocumentError(self._file, field, "has to be true or false")
        return value

    def positive(self, field: str) -> float:
        value = self._document.get(field)
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            raise DocumentError(self._file, field, "has to be a number above 0")
        return value

    def endpoint(self, field: str) -> Endpoint:
        return self._parse(field, self.text(field))

    def seeds(self, field: str, port: int) -> tuple[HostName, ...]:
        value = self._document.get(field)
        if not isinstance(value, list) or not all(isinstance(text, str) for text in value):
            raise DocumentError(self._file, field, "has to be a list of addresses")
        return tuple(str(self._parse(field, text)._replace(port=port)) for text in value)

    def _parse(self, field: str, text: str) -> Endpoint:
        try:
            return Endpoint.parse(text)
        except ValueError as error:
            raise DocumentError(self._file, field, str(error)) from error
