"""Options shared by several commands."""

from __future__ import annotations

from typing import Any

import click
from lacewingrudder_core.types import Endpoint


class EndpointType(click.ParamType[Endpoint]):
    """A parameter type for endpoints of the form ``ADDRESS:PORT``."""

    name = "ADDRESS:PORT"

    def convert(self, value: Any, param: Any, ctx: Any) -> Endpoint:
        """Parse an endpoint, or fail with a usage error."""
        try:
            return Endpoint.parse(value)
        except ValueError as error:
            self.fail(f"{value}: {error}", param, ctx)


control_option = click.option(
    "--control",
    "controls",
    type=EndpointType(),
    multiple=True,
    required=True,
    help="Control host to contact; may be repeated. Submissions try the hosts in the given order.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
