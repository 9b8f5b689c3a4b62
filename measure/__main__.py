"""Runs the measuring scripts in sequence; each prints lines of the form ``name=value``."""

from __future__ import annotations

import importlib
import importlib.util
import sys
import traceback

SCRIPTS = (
    "floods",
    "whole_system",
    "flows",
    "placement",
    "log",
    "membership",
    "spread",
    "fleet_cores",
    "replacement",
    "speeds",
    "configurations",
)


def main(names: list[str]) -> int:
    """Run the named scripts, or all of them, and return the exit code.

    If a script fails, its traceback is printed, the remaining scripts still run, and the exit code
    is 1.
    """
    failure_count = 0
    for name in names or SCRIPTS:
        module_name = f"measure.{name}"
        if importlib.util.find_spec(module_name) is None:
            print(f"{name}_missing=1", flush=True)
            continue
        try:
            importlib.import_module(module_name).main()
        except Exception:
            traceback.print_exc()
            print(f"{name}_failed=1", flush=True)
            failure_count += 1
    return 1 if failure_count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
