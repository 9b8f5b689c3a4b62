"""Data types shared by several decision cores.

IPv4 addresses are stored as integers, so that the packet path never parses or formats text. Times
are floats in seconds of a monotonic clock; the caller passes them in.
"""

from __future__ import annotations

import enum
import ipaddress
from typing import NamedTuple

HostName = str
ZoneName = str
TargetName = str


class Endpoint(NamedTuple):
    """An IPv4 address and a port.

    :param address: the address as an integer in host byte order.
    :param port: the port, 1 to 65,535.
    """

    address: int
    port: int

    @classmethod
    def parse(cls, text: str) -> Endpoint:
        """Parse an endpoint of the form ``ADDRESS:PORT``.

        :raises ValueError: if the text is not an IPv4 address followed by a valid port.
        """
        address, _, port = text.rpartition(":")
        number = int(port)
        if not 0 < number < 65536:
            raise ValueError(f"port {number} is out of range 1 to 65535")
        return cls(parse_address(address), number)

    def __str__(self) -> str:
        return f"{ipaddress.IPv4Address(self.address)}:{self.port}"


def parse_address(text: str) -> int:
    """Convert an IPv4 address in dotted notation to an integer.

    :raises ValueError: if the text is not an IPv4 address.
    """
    return int(ipaddress.IPv4Address(text))


class FlowKey(NamedTuple):
    """The addresses and ports that identify a TCP flow, as seen by its caller."""

    caller: int
    caller_port: int
    service: int
    service_port: int


class Kind(NamedTuple):
    """A class of requests to a service, identified by the port they arrive on.

    :param urgency: priority from 0 (least urgent) to 9 (most urgent).
    :param idempotent: whether a request may be sent more than once.
    :param share: fraction of the service's capacity guaranteed to this kind, 0 to 1.
    """

    name: str
    port: int
    urgency: int
    idempotent: bool
    share: float


class Service(NamedTuple):
    """A service as described by a release note.

    :param address: the virtual address that callers connect to.
    :param key: secret that authenticates the announcements of the service's targets.
    """

    name: str
    address: int
    key: str
    kinds: tuple[Kind, ...]


class TargetState(enum.StrEnum):
    """The states in a target's life cycle; the chart ``target.json`` defines the transitions."""

    ANNOUNCED = "announced"
    WARMING = "warming"
    SERVING = "serving"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"
    LOST = "lost"


# States in which a target accepts new flows.
ACCEPTING_STATES = frozenset({TargetState.WARMING, TargetState.SERVING})
FULL_WEIGHT = 8


class KindPort(NamedTuple):
    """The port on which a target accepts one kind of request."""

    kind: str
    port: int


class Target(NamedTuple):
    """A target as described by its own announcement.

    :param name: ``ADDRESS:PORT`` of its first port; unique across all services.
    :param slots: number of requests that it processes concurrently.
    :param connection_limit: number of concurrent flows that it accepts.
    :param incarnation: a number that increases each time the target starts.
    """

    name: TargetName
    service: str
    zone: ZoneName
    address: int
    ports: tuple[KindPort, ...]
    slots: int
    connection_limit: int
    incarnation: int

    def endpoint(self, kind: str) -> Endpoint | None:
        """Return the endpoint that serves a kind of request, or ``None`` if there is none."""
        for entry in self.ports:
            if entry.kind == kind:
                return Endpoint(self.address, entry.port)
        return None


class TargetRecord(NamedTuple):
    """What a host knows about a target; replicated between hosts by gossip.

    :param version: increases with each change that the lease owner makes within an incarnation.
    :param load: utilization that the target itself reports, 0 to 1, rounded to a few levels.
    :param owner: the entry host that holds the target's lease.
    :param weight: current weight in eighths of the full weight; reduced while the target warms up.
    :param sequence: sequence number of the last announcement reflected in this record.
    :param flaps: how often the target was recently lost and came back.
    """

    target: Target
    state: TargetState
    version: int
    load: float
    owner: HostName
    weight: int = FULL_WEIGHT
    sequence: int = 0
    flaps: int = 0


class Member(NamedTuple):
    """An entry host as known to the membership protocol.

    :param incarnation: increases each time the host starts or refutes a suspicion.
    :param data: endpoint that receives encapsulated packets.
    :param link: endpoint that accepts links from other processes.
    """

    name: HostName
    zone: ZoneName
    incarnation: int
    data: Endpoint
    link: Endpoint


class OrderAction(enum.StrEnum):
    """The actions that an operator can order for a target."""

    DRAIN = "drain"
    WITHDRAW = "withdraw"
    RESTORE = "restore"


class TargetOrder(NamedTuple):
    """An operator's order for one target; it stays in force until a later order replaces it."""

    target: TargetName
    action: OrderAction


class Verdict(enum.StrEnum):
    """Whether a request may have been executed by a target."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
