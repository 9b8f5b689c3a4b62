"""A control host that was replaced is gone for good, and another one loses its disk."""

import json
import time

from platform_fleet import (
    CALL_PORT,
    CONFIG_PATH,
    CONTROLS,
    SUCCESSOR,
    WAIT_TIMEOUT_SECONDS,
    PlatformFleetTestCase,
    make_configuration,
    wait_for_status,
)


class ControlReplacementTest(PlatformFleetTestCase):
    """Processes of three control hosts and their successor."""

    def leader_events(self, address: str) -> list[float]:
        """Return when a control host became leader."""
        rows = [line for line in self.fleet.log(address).splitlines() if "control_leader" in line]
        return [json.loads(row)["time"][0] for row in rows]

    def find_leader(self, addresses: tuple[str, ...], after: float = 0.0) -> str:
        """Return the host that became leader last, at a time later than some other."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            times = {
                address: max(self.leader_events(address), default=0.0) for address in addresses
            }
            latest = max(times, key=lambda address: times[address])
            if times[latest] > after:
                return latest
            time.sleep(0.05)
        raise AssertionError("no control host became leader in time")

    # Guards against a configuration that can never be read again: of four voters one was removed
    # without notice and the next leader lost its disk.
    def test_configuration_is_read_after_a_removal_and_a_lost_disk(self) -> None:
        self.submit(make_configuration(1))
        self.fleet.start(SUCCESSOR)
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while "control_follower" not in self.fleet.log(SUCCESSOR):
            self.assertLess(time.monotonic(), deadline, "the successor is no voter")
            time.sleep(0.05)
        controls = (*CONTROLS, SUCCESSOR)
        removed = self.find_leader(controls)
        led_since = max(self.leader_events(removed))
        self.fleet.kill(removed)
        remaining = tuple(address for address in controls if address != removed)
        lost = self.find_leader(remaining, led_since)
        wait_for_status(200, remaining, CALL_PORT, "PUT", CONFIG_PATH, make_configuration(2))
        self.fleet.lose_disk(lost)
        body = wait_for_status(200, remaining, CALL_PORT, "GET", CONFIG_PATH)
        self.assertEqual(json.loads(body)["version"], 2)
        wait_for_status(200, remaining, CALL_PORT, "PUT", CONFIG_PATH, make_configuration(3))
