"""Settings of a process, read from a file and validated against the JSON schema."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from lacewingrudder_core.types import Endpoint, HostName, ZoneName
from lacewingrudder_wire.documents import read_document
from lacewingrudder_wire.exceptions import DocumentError


class EntrySettings(NamedTuple):
    """Settings that only an entry host has.

    :param data: endpoint that receives encapsulated packets.
    :param fabric: endpoint that encapsulated packets are sent to.
    :param announce: HTTP endpoint for target announcements.
    :param admission: name of the admission policy for new flows.
    """

    data: Endpoint
    fabric: Endpoint
    announce: Endpoint
    admission: str


class Settings(NamedTuple):
    """Settings of one process.

    :param listen: endpoint that accepts links from other processes.
    :param peer_key: shared secret that authenticates links between hosts.
    :param controls: link endpoints of all control hosts.
    :param entries: link endpoints of the known entry hosts.
    :param entry: ``None`` unless the process is an entry host.
    :param is_control: whether the process is a control host.
    :param data_folder: folder for durable state, or ``None``; a control host needs one.
    :param metrics: HTTP endpoint for metrics, or ``None``.
    :param timeline: file for timeline events, or ``None``.
    """

    name: HostName
    zone: ZoneName
    listen: Endpoint
    peer_key: str
    controls: Mapping[HostName, Endpoint]
    entries: Mapping[HostName, Endpoint]
    entry: EntrySettings | None
    is_control: bool
    data_folder: Path | None
    metrics: Endpoint | None
    timeline: Path | None
    log_level: str


def read_settings(path: Path) -> Settings:
    """Read and validate the settings in a file.

    :raises DocumentError: if a setting is missing or invalid; names the file and the field.
    """
    document = read_document(path, "settings")
    reader = _Reader(str(path), document)
    roles = document["roles"]
    is_control = "control" in roles
    if is_control:
        reader.require("data_folder", "a control host")
        reader.require_name("controls", document["name"])
    return Settings(
        name=document["name"],
        zone=document["zone"],
        listen=reader.endpoint("listen"),
        peer_key=document["peer_key"],
        controls=reader.hosts("controls"),
        entries=reader.hosts("entries"),
        entry=reader.entry() if "entry" in roles else None,
        is_control=is_control,
        data_folder=reader.optional_path("data_folder"),
        metrics=reader.endpoint("metrics") if "metrics" in document else None,
        timeline=reader.optional_path("timeline"),
        log_level=document.get("log_level", "info"),
    )


class _Reader:
    """Converts fields of a settings document; errors name the file and the field."""

    def __init__(self, file: str, document: dict[str, Any]) -> None:
        self._file = file
        self._document = document

    def require(self, field: str, role: str) -> None:
        if field not in self._document:
            raise DocumentError(self._file, field, f"is required for {role}")

    def require_name(self, field: str, name: HostName) -> None:
        if name not in self._document[field]:
            raise DocumentError(self._file, field, f"must contain this host, {name}")

    def endpoint(self, field: str) -> Endpoint:
        return self._parse(field, self._document[field])

    def hosts(self, field: str) -> dict[HostName, Endpoint]:
        entries = self._document.get(field, {})
        return {name: self._parse(f"{field}.{name}", text) for name, text in entries.items()}

    def optional_path(self, field: str) -> Path | None:
        return Path(self._document[field]) if field in self._document else None

    def entry(self) -> EntrySettings:
        for field in ("data", "fabric", "announce"):
            self.require(field, "an entry host")
        return EntrySettings(
            data=self.endpoint("data"),
            fabric=self.endpoint("fabric"),
            announce=self.endpoint("announce"),
            admission=self._document.get("admission", "shares"),
        )

    def _parse(self, field: str, text: str) -> Endpoint:
        try:
            return Endpoint.parse(text)
        except ValueError as error:
            raise DocumentError(self._file, field, str(error)) from error
