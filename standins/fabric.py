"""Simulated fabric: sends packets to random entry hosts, and routes the packets of these hosts.

Run as ``python -m standins.fabric CONFIG``. The configuration is a JSON object. A JSON object sent
to the ``admin`` endpoint replaces the keys that it names:

* ``listen``, ``admin``: endpoints as ``ADDRESS:PORT``;
* ``entries``: data endpoints of the entry hosts that receive packets, each chosen at random;
* ``routes``: for packets from entry hosts, inner destination address to the endpoint of the process
  that simulates it;
* ``loss``, ``duplicate``, ``reorder``: probabilities per packet;
* ``seed``: seeds the random choices.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from pathlib import Path
from typing import Any, TypedDict, cast

from .sockets import open_socket
from .wire import Address, inner_destination

REORDER_DELAY_SECONDS = 0.01


class FabricConfig(TypedDict):
    """The configuration of the fabric; the module's docstring describes the keys."""

    listen: str
    admin: str
    entries: list[str]
    routes: dict[str, str]
    loss: float
    duplicate: float
    reorder: float
    seed: int


class Fabric:
    """Forwards packets through one socket; needs a running event loop."""

    def __init__(self, config: FabricConfig) -> None:
        self._random = random.Random(config["seed"])
        self._send = open_socket(parse_endpoint(config["listen"]), self._receive)
        self._config = config
        self._seen_entries: set[Address] = set()
        self.update(config)

    def update(self, changes: Any) -> None:
        """Replace parts of the configuration.

        Packets from a former entry host are still routed to their inner destination: a host that
        shuts down goes on forwarding after the fabric has stopped sending packets to it.
        """
        self._config = cast(FabricConfig, {**self._config, **changes})
        self._entries = [parse_endpoint(text) for text in self._config["entries"]]
        self._seen_entries |= set(self._entries)
        routes = self._config["routes"].items()
        self._routes = {inner: parse_endpoint(text) for inner, text in routes}

    def _receive(self, data: bytes, sender: Address) -> None:
        """Forward a packet; it may be lost, duplicated or delayed."""
        if self._random.random() < self._config["loss"]:
            return
        copies = 2 if self._random.random() < self._config["duplicate"] else 1
        for _ in range(copies):
            next_hop = self._next_hop(data, sender)
            if next_hop is None:
                continue
            if self._random.random() < self._config["reorder"]:
                loop = asyncio.get_running_loop()
                loop.call_later(REORDER_DELAY_SECONDS, self._send, data, next_hop)
            else:
                self._send(data, next_hop)

    def _next_hop(self, data: bytes, sender: Address) -> Address | None:
        if sender in self._seen_entries:
            return self._routes.get(inner_destination(data))
        return self._random.choice(self._entries) if self._entries else None


def parse_endpoint(text: str) -> Address:
    """Return ``ADDRESS:PORT`` as an address for the ``socket`` module."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def run(config: FabricConfig) -> None:
    """Run the fabric until the process is killed."""
    fabric = Fabric(config)
    open_socket(parse_endpoint(config["admin"]), lambda data, _: fabric.update(json.loads(data)))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(json.loads(Path(sys.argv[1]).read_text())))
