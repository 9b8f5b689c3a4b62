import json
from typing import Any

from golden_case import GoldenCase
from lacewingrudder_cli.testing import LwrRunner
from lacewingrudder_core.messages import (
    ControlStatus,
    HostStatus,
    OperatorReply,
    Status,
    StatusRequest,
)
from lacewingrudder_core.notes import SubmitReply, SubmitTag
from lacewingrudder_wire.exceptions import UnreachableError

TARGET = "10.10.0.101:9000"
ALL_CONFIRMED = Status(
    5,
    "entry-1",
    True,
    (HostStatus("entry-1", "adum", 5, 0.2), HostStatus("entry-2", "suame", 5, 0.4)),
    (),
    (),
    (ControlStatus("entry-1", 5),),
)
SOME_MISSING = Status(
    5,
    "entry-1",
    True,
    (
        HostStatus("entry-1", "adum", 5, 0.2),
        HostStatus("entry-2", "suame", 4, 0.4),
        HostStatus("entry-3", "ahodwo", 5, 31.0),
    ),
    ("entry-2", "entry-3"),
    ("entry-4",),
    (ControlStatus("entry-1", 5), ControlStatus("entry-2", 4), ControlStatus("entry-3", None)),
)
EVACUATED = ALL_CONFIRMED._replace(evacuated_zones=("adum", "suame"))
PARTITIONED = SOME_MISSING._replace(leader="", accepting=False)


def answering(status: Status, tag: SubmitTag = SubmitTag.ACCEPTED) -> LwrRunner:
    def answer(body: Any) -> Any:
        if isinstance(body, StatusRequest):
            return status
        return OperatorReply(SubmitReply(tag, 5, "no leader" if tag == "refused" else ""))

    return LwrRunner(answer)


class StatusTest(GoldenCase):
    def test_in_force_everywhere(self) -> None:
        self.assert_golden("status.txt", answering(ALL_CONFIRMED).run("status").stdout)

    def test_missing_hosts_are_named(self) -> None:
        self.assert_golden("status-missing.txt", answering(SOME_MISSING).run("status").stdout)

    def test_partitioned_zone_reports_that_it_accepts_no_changes(self) -> None:
        text = answering(PARTITIONED).run("status").stdout
        self.assert_golden("status-cut-off.txt", text)

    def test_evacuated_zones_are_named(self) -> None:
        self.assert_golden("status-evacuated.txt", answering(EVACUATED).run("status").stdout)

    def test_json_holds_all_fields(self) -> None:
        evacuated = json.loads(answering(EVACUATED).run("status", "--json").stdout)
        self.assertEqual(evacuated["evacuated_zones"], ["adum", "suame"])
        document = json.loads(answering(SOME_MISSING).run("status", "--json").stdout)
        self.assertEqual(document["evacuated_zones"], [])
        self.assertEqual(document["missing"], ["entry-2", "entry-3"])
        self.assertEqual(document["unheard"], ["entry-4"])
        self.assertEqual(document["hosts"][1]["revision"], 4)
        self.assertEqual(document["controls"][2], {"name": "entry-3", "revision": None})

    def test_status_without_an_answer_exits_as_refused(self) -> None:
        def fail(body: Any) -> Any:
            raise UnreachableError("no control host answered")

        self.assertEqual(LwrRunner(fail).run("status").exit_code, 4)


class OrderTest(GoldenCase):
    def test_order_in_force_everywhere(self) -> None:
        result = answering(ALL_CONFIRMED).run("drain", TARGET)
        self.assertEqual(result.exit_code, 0)
        self.assert_golden("drain.txt", result.stdout)

    def test_hosts_that_did_not_confirm_in_time_are_named(self) -> None:
        for action in ("drain", "withdraw"):
            result = answering(SOME_MISSING).run(action, TARGET, "--wait", "0.1")
            self.assertEqual(result.exit_code, 0)
            self.assert_golden("drain-missing.txt", result.stdout)

    def test_refused_order_reports_that_nothing_changed(self) -> None:
        result = answering(PARTITIONED, SubmitTag.REFUSED).run("withdraw", TARGET)
        self.assertEqual(result.exit_code, 4)
        self.assert_golden("withdraw-refused.txt", result.stdout)

    def test_json_names_hosts_that_did_not_confirm(self) -> None:
        result = answering(SOME_MISSING).run("drain", TARGET, "--json", "--wait", "0.1")
        missing = ["entry-2", "entry-3", "entry-4"]
        expected = {"tag": "accepted", "revision": 5, "detail": "", "missing": missing}
        self.assertEqual(json.loads(result.stdout), expected)

    def test_endpoint_of_a_control_host_is_validated(self) -> None:
        result = answering(ALL_CONFIRMED).run("drain", TARGET, "--control", "localhost")
        self.assertEqual(result.exit_code, 2)


class ZoneOrderTest(GoldenCase):
    def test_evacuation_in_force_everywhere(self) -> None:
        result = answering(EVACUATED).run("evacuate", "suame")
        self.assertEqual(result.exit_code, 0)
        self.assert_golden("evacuate.txt", result.stdout)

    def test_hosts_that_did_not_confirm_in_time_are_named(self) -> None:
        result = answering(SOME_MISSING).run("restore-zone", "suame", "--wait", "0.1")
        self.assertEqual(result.exit_code, 0)
        self.assert_golden("restore-zone-missing.txt", result.stdout)

    # Guards against a misspelt zone that is evacuated while the operator believes in another.
    def test_zone_without_an_entry_host_gets_a_warning(self) -> None:
        result = answering(ALL_CONFIRMED).run("evacuate", "suamee")
        self.assertIn("warning: no entry host of zone suamee has reported", result.stdout)

    def test_refused_order_reports_that_nothing_changed(self) -> None:
        result = answering(PARTITIONED, SubmitTag.REFUSED).run("evacuate", "suame")
        self.assertEqual(result.exit_code, 4)
        self.assert_golden("withdraw-refused.txt", result.stdout)

    def test_json_names_hosts_that_did_not_confirm(self) -> None:
        result = answering(SOME_MISSING).run("evacuate", "suame", "--json", "--wait", "0.1")
        missing = ["entry-2", "entry-3", "entry-4"]
        expected = {"tag": "accepted", "revision": 5, "detail": "", "missing": missing}
        self.assertEqual(json.loads(result.stdout), expected)
