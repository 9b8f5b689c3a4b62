"""Data that more than one decision core shares.

Addresses are IPv4 addresses as integers, so that the packet path never formats text; times are
seconds of a monotonic clock as floats, handed in by the caller.
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
        """Return the endpoint that ``ADDRESS:PORT`` names.

        :raises ValueError: if the text is no IPv4 address with a port.
        """
        address, _, port = text.rpartition(":")
        number = int(port)
        if not 0 < number < 65536:
            raise ValueError(f"port {number} is outside 1 to 65535")
        return cls(parse_address(address), number)

    def __str__(self) -> str:
        return f"{ipaddress.IPv4Address(self.address)}:{self.port}"


def parse_address(text: str) -> int:
    """Return a dotted IPv4 address as an integer.

    :raises ValueError: if the text is no IPv4 address.
    """
    return int(ipaddress.IPv4Address(text))


class FlowKey(NamedTuple):
    """The addresses and ports that identify a TCP flow, as its caller sees them."""

    caller: int
    caller_port: int
    service: int
    service_port: int


class Kind(NamedTuple):
    """One kind of work on a service, told apart by its port.

    :param urgency: 0 is the least urgent, 9 the most.
    :param idempotent: whether a request may be sent a second time.
    :param share: fraction of the service's capacity guaranteed to this kind, 0 to 1.
    """

    name: str
    port: int
    urgency: int
    idempotent: bool
    share: float


class Service(NamedTuple):
    """A service as a release note describes it.

    :param address: the address that callers use.
    :param key: secret that authenticates the announcements of its targets.
    """

    name: str
    address: int
    key: str
    kinds: tuple[Kind, ...]


class TargetState(enum.StrEnum):
    """The states of a target's life cycle; the chart ``target.json`` holds the transitions."""

    ANNOUNCED = "announced"
    WARMING = "warming"
    SERVING = "serving"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"
    LOST = "lost"


ACCEPTING_STATES = frozenset({TargetState.WARMING, TargetState.SERVING})
FULL_WEIGHT = 8


class KindPort(NamedTuple):
    """The port on which a target takes one kind of work."""

    kind: str
    port: int


class Target(NamedTuple):
    """A target as it announces itself.

    :param name: ``ADDRESS:PORT`` of its first port; unique over all services.
    :param slots: requests it works on at once.
    :param connection_limit: flows it accepts at once.
    :param incarnation: grows at each start of the target.
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
        """Return where this target takes a kind of work, or ``None`` if it does not."""
        for entry in self.ports:
            if entry.kind == kind:
                return Endpoint(self.address, entry.port)
        return None


class TargetRecord(NamedTuple):
    """What a host knows of a target, as gossip carries it.

    :param version: grows with each change the owner of the lease makes within an incarnation.
    :param load: busy share that the target itself reports, 0 to 1, in few coarse levels.
    :param owner: the entry host that holds the target's lease.
    :param weight: eighths of its full weight that the target has; fewer while it warms up.
    :param sequence: number of the last announcement that led to this record.
    :param flaps: how often the target was lost and came back of late.
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
    """An entry host as the membership knows it.

    :param incarnation: grows at each start, and when the host refutes a suspicion.
    :param data: where it takes encapsulated packets.
    :param link: where it takes links from other processes.
    """

    name: HostName
    zone: ZoneName
    incarnation: int
    data: Endpoint
    link: Endpoint


class OrderAction(enum.StrEnum):
    """What an operator orders for a target."""

    DRAIN = "drain"
    WITHDRAW = "withdraw"
    RESTORE = "restore"


class TargetOrder(NamedTuple):
    """An operator's order for one target, in force until a later order replaces it."""

    target: TargetName
    action: OrderAction


class Verdict(enum.StrEnum):
    """Whether a request may have run on a target."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
