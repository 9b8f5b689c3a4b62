import json
import unittest
from unittest import mock

from click.testing import CliRunner, Result
from golden_case import GoldenCase
from lacewingrudder_cli import explain, main
from lacewingrudder_core.explanations import (
    AdmissionVerdict,
    AssessedTarget,
    AvoidanceReason,
    Explanation,
    LeftOutTarget,
    TargetIdentity,
    TargetLoad,
)
from lacewingrudder_core.tagging import DropReason, Forwarded, ResetReason, Route, Split
from lacewingrudder_core.types import Endpoint, FlowKey
from lacewingrudder_wire.exceptions import (
    HostUnreachableError,
    LacewingrudderError,
    NoRouteError,
    NoViewError,
)

HOST, CALLER, SERVICE = "10.0.1.1:7720", "100.64.0.7:40001", "198.18.0.1:443"
ENDPOINT = Endpoint.parse(SERVICE)
TARGETS = [
    TargetIdentity(f"i-{number}", 1000, Endpoint(0x0A800000 + number, 8080), zone, number)
    for number, zone in enumerate(("adum", "adum", "suame", "adum", "ahodwo"))
]
EXPLANATION = Explanation(
    7,
    True,
    ("ahodwo",),
    Route(ENDPOINT, (Split("proofdesk", 3), Split("sheetroom", 1)), False, 8, 0.15),
    "proofdesk",
    (
        LeftOutTarget(TARGETS[3], AvoidanceReason.DRAINING),
        LeftOutTarget(TARGETS[4], AvoidanceReason.EVACUATED),
    ),
    2,
    (
        AssessedTarget(
            TARGETS[0], 3, TargetLoad(4, 0, 1), 1.25, 1.9, 1, (AvoidanceReason.EJECTED,), True
        ),
        AssessedTarget(TARGETS[1], 3, TargetLoad(2, 1, 0), 0.8, 1.72, 0, (), True),
        AssessedTarget(TARGETS[2], 3, TargetLoad(0, 0, 0), 1.0, 2.55, 0, (), False),
    ),
    3,
    AdmissionVerdict(True, 12.5, 2),
    Forwarded(TARGETS[1].endpoint, 1, 1),
)


class ExplainTest(GoldenCase):
    def run_explain(self, answer: Explanation | LacewingrudderError, *options: str) -> Result:
        with mock.patch.object(explain, "request_explanation", side_effect=[answer]) as request:
            result = CliRunner().invoke(main.cli, ["explain", HOST, CALLER, SERVICE, *options])
        flow = FlowKey(*Endpoint.parse(CALLER), *ENDPOINT)
        request.assert_called_once_with(Endpoint.parse(HOST), flow)
        return result

    def test_text_names_the_target_and_the_reasons(self) -> None:
        self.assert_golden("explain.txt", self.run_explain(EXPLANATION).stdout)

    def test_number_of_unlisted_targets_is_shown(self) -> None:
        result = self.run_explain(EXPLANATION._replace(target_count=1003, left_out_count=4))
        last_line = result.stdout.splitlines()[-1]
        self.assertEqual(last_line, "not listed 1000 more candidates, 2 more left out")

    def test_refused_flow_has_its_reason(self) -> None:
        refused = EXPLANATION._replace(forwarded=None, admission=AdmissionVerdict(False, 2.0, 2))
        for answer, line in (
            (refused._replace(reset_reason=ResetReason.OVERLOAD), "reset: overload"),
            (refused._replace(drop_reason=DropReason.NOT_READY), "dropped: not_ready"),
        ):
            result = self.run_explain(answer)
            self.assertEqual((result.exit_code, result.stdout.splitlines()[0]), (0, line))
            self.assertIn("refused, 2 waiting, limit 2.0", result.stdout)

    def test_json_holds_all_fields(self) -> None:
        document = json.loads(self.run_explain(EXPLANATION, "--json").stdout)
        self.assertEqual(document["route"]["endpoint"], SERVICE)
        self.assertEqual(document["route"]["splits"][1], {"service": "sheetroom", "weight": 1})
        self.assertEqual(document["left_out"][1]["reason"], "evacuated")
        self.assertEqual(document["targets"][0]["reasons"], ["ejected"])
        self.assertEqual(document["targets"][0]["load"], {"flows": 4, "opening": 0, "waiting": 1})
        self.assertEqual(document["admission"]["limit"], 12.5)
        self.assertEqual((document["outcome"], document["reason"]), ("forwarded", None))
        self.assertEqual(document["target"]["endpoint"], "10.128.0.1:8080")

    # Guards against scripts that can't tell a wrong address from a host that is not ready.
    def test_each_error_has_one_line_and_its_own_exit_code(self) -> None:
        for error, code in ((NoRouteError, 6), (HostUnreachableError, 7), (NoViewError, 8)):
            result = self.run_explain(error("reason"))
            self.assertEqual(
                (result.exit_code, result.stdout, result.stderr), (code, "", "lwr: reason\n")
            )

    def test_invalid_endpoint_is_a_usage_error(self) -> None:
        result = CliRunner().invoke(main.cli, ["explain", HOST, "caller", SERVICE])
        self.assertEqual(result.exit_code, 2)


if __name__ == "__main__":
    unittest.main()
