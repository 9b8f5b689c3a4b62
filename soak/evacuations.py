"""The operator of a soak who evacuates and restores zones."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from standins.wire import Address

from .guarantees import Guarantee
from .http_client import HttpClient

EVACUATIONS_PATH = "/lacewingrudder/evacuations/"
MAX_EVACUATION_DELAY_SECONDS = 5.0
"""Maximum time after an evacuation's confirmation in which a target may receive new flows."""

ORDER_TIMEOUT_SECONDS = 30.0
ORDER_RETRY_INTERVAL_SECONDS = 0.2


class ZoneOperator:
    """Sends orders for zones, each until a control host confirms it."""

    def __init__(
        self,
        http_client: HttpClient,
        controls: list[Address],
        check: Callable[[Guarantee, bool, str], bool],
        now: Callable[[], float],
        seed: int,
    ) -> None:
        self._http_client = http_client
        self._controls = controls
        self._check = check
        self._now = now
        self._random = random.Random(seed)
        self._confirmed_at: dict[str, float] = {}
        self._lock = asyncio.Lock()

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Zones whose targets must not receive new flows now."""
        latest = self._now() - MAX_EVACUATION_DELAY_SECONDS
        return frozenset(zone for zone, at in self._confirmed_at.items() if at < latest)

    async def evacuate(
        self, zone: str, seconds: float, prepare_restore: Callable[[], None] | None
    ) -> None:
        """Evacuate a zone for some seconds after the confirmation, and restore it.

        One zone at a time, so that two zones take new flows.

        :param prepare_restore: called shortly before the zone is restored, if given.
        """
        async with self._lock:
            if await self._order("POST", zone):
                self._confirmed_at[zone] = self._now()
                await asyncio.sleep(seconds)
            if prepare_restore is not None:
                prepare_restore()
            self._confirmed_at.pop(zone, None)
            was_restored = await self._order("DELETE", zone)
            self._check(Guarantee.RECOVERY, was_restored, f"zone {zone} could not be restored")

    async def _order(self, method: str, zone: str) -> bool:
        """Send an order until it is confirmed or the timeout expires; return whether it was."""
        deadline = self._now() + ORDER_TIMEOUT_SECONDS
        while self._now() < deadline:
            response = await self._http_client.request(
                self._random.choice(self._controls), method, EVACUATIONS_PATH + zone
            )
            self._check(
                Guarantee.ORDERS_ACCEPTED,
                not 400 <= response.status < 500,
                f"{method} of zone {zone} got status {response.status}, expected no 4xx",
            )
            if 200 <= response.status < 300:
                return True
            await asyncio.sleep(ORDER_RETRY_INTERVAL_SECONDS)
        return False
