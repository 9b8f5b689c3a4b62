"""``lwr explain``: where an entry host would send a new flow, and why."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import click
from lacewingrudder_core.explanations import (
    AdmissionVerdict,
    AssessedTarget,
    Explanation,
    LeftOutTarget,
    TargetIdentity,
)
from lacewingrudder_core.types import Endpoint, FlowKey
from lacewingrudder_wire.explain_client import request_explanation

from .options import EndpointType, json_option


@click.command()
@click.argument("host", type=EndpointType(), metavar="HOST:PORT")
@click.argument("caller", type=EndpointType())
@click.argument("service", type=EndpointType())
@json_option
def explain(host: Endpoint, caller: Endpoint, service: Endpoint, as_json: bool) -> None:
    """Show where a new flow from CALLER to SERVICE would go now, and why.

    HOST:PORT is the endpoint of an entry host for messages of other hosts. CALLER and SERVICE are
    given as ADDRESS:PORT. Nothing is sent to targets, and nothing changes on the host.

    \b
    Exit codes: 0 explained, also if the flow would be refused; 6 the host knows no route to
    SERVICE, 7 the host doesn't answer within 2 s, 8 the host has no configuration or no update yet.
    """
    explanation = request_explanation(host, FlowKey(*caller, *service))
    click.echo(
        json.dumps(explanation_document(explanation)) if as_json else explanation_text(explanation)
    )


def explanation_document(explanation: Explanation) -> dict[str, Any]:
    """Convert an explanation to a JSON document."""
    route, forwarded = explanation.route, explanation.forwarded
    admission = explanation.admission
    return {
        "version": explanation.version,
        "evacuated_zones": list(explanation.evacuated_zones),
        "route": route and _with_text_endpoint(route) | {"splits": _as_dicts(route.splits)},
        "service": explanation.service,
        "left_out_count": explanation.left_out_count,
        "target_count": explanation.target_count,
        "left_out": [
            _with_text_endpoint(row.target) | {"reason": row.reason} for row in explanation.left_out
        ],
        "targets": [_target_document(row) for row in explanation.targets],
        "admission": admission and admission._asdict(),
        "outcome": _outcome(explanation),
        "reason": explanation.drop_reason or explanation.reset_reason,
        "target": forwarded and _with_text_endpoint(forwarded),
    }


def explanation_text(explanation: Explanation) -> str:
    """Format an explanation as text."""
    lines = [_outcome_text(explanation), *_route_lines(explanation)]
    if explanation.admission is not None:
        lines.append(f"admission  {_admission_text(explanation.admission)}")
    if explanation.evacuated_zones:
        lines.append(f"evacuated  {', '.join(explanation.evacuated_zones)}")
    chosen_tag = None if explanation.forwarded is None else explanation.forwarded.tag
    lines += [
        _target_line(row, row.target.tag == chosen_tag)
        for row in sorted(explanation.targets, key=lambda row: (row.penalty, row.load_per_slot))
    ]
    lines += [_left_out_line(row) for row in explanation.left_out]
    unlisted = explanation.target_count - len(explanation.targets)
    unlisted_left_out = explanation.left_out_count - len(explanation.left_out)
    if unlisted or unlisted_left_out:
        lines.append(f"not listed {unlisted} more candidates, {unlisted_left_out} more left out")
    return "\n".join(lines)


def _outcome(explanation: Explanation) -> str:
    if explanation.forwarded is not None:
        return "forwarded"
    return "dropped" if explanation.drop_reason is not None else "reset"


def _outcome_text(explanation: Explanation) -> str:
    forwarded = explanation.forwarded
    if forwarded is not None:
        return f"forwarded to {forwarded.endpoint}, tag {forwarded.tag:08x}"
    return f"{_outcome(explanation)}: {explanation.drop_reason or explanation.reset_reason}"


def _route_lines(explanation: Explanation) -> list[str]:
    route = explanation.route
    if route is None:
        return []
    splits = ", ".join(f"{service} {weight}" for service, weight in route.splits)
    objective = "none" if route.objective_seconds is None else f"{route.objective_seconds:g} s"
    return [
        f"route      {route.endpoint}, configuration {explanation.version}, "
        f"urgency {route.urgency}, latency objective {objective}",
        f"service    {explanation.service or 'none'}, next of the weights: {splits}",
    ]


def _admission_text(admission: AdmissionVerdict) -> str:
    verdict = "admitted" if admission.is_admitted else "refused"
    limit = "no limit" if admission.limit is None else f"limit {admission.limit:.1f}"
    return f"{verdict}, {admission.waiting} waiting, {limit}"


def _target_line(row: AssessedTarget, is_chosen: bool) -> str:
    flows, opening, waiting = row.load
    parts = [
        f"{'chosen' if is_chosen else 'candidate':<10} {_identity_text(row.target)}",
        f"load per slot {row.load_per_slot:.2f}",
        f"flows {flows}, opening {opening}, waiting {waiting}, slots {row.slots}",
        f"relative response time {row.relative_answer_time:.2f}",
        f"penalty {row.penalty}",
    ]
    if row.reasons:
        parts[-1] += f" ({', '.join(row.reasons)})"
    if not row.is_compared:
        parts.append("not compared")
    return ", ".join(parts)


def _left_out_line(row: LeftOutTarget) -> str:
    return f"left out   {_identity_text(row.target)}, {row.reason}"


def _identity_text(target: TargetIdentity) -> str:
    return f"{target.endpoint!s:<21} {target.zone:<12} {target.name}"


def _target_document(row: AssessedTarget) -> dict[str, Any]:
    assessment = row._asdict()
    del assessment["target"]
    changed = {"load": row.load._asdict(), "reasons": list(row.reasons)}
    return _with_text_endpoint(row.target) | assessment | changed


def _with_text_endpoint(row: Any) -> dict[str, Any]:
    """Convert a named tuple with an endpoint; the endpoint becomes ``ADDRESS:PORT``."""
    document: dict[str, Any] = row._asdict()
    return document | {"endpoint": str(row.endpoint)}


def _as_dicts(rows: Iterable[Any]) -> list[dict[str, Any]]:
    return [row._asdict() for row in rows]
