"""Runs the measuring scripts one after the other; each prints lines ``name=value``."""

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
)


def main(chosen: list[str]) -> int:
    """Run the chosen scripts, or all, and return the exit code.

    A script that fails does not keep the next from running; its failure is printed and counted.
    """
    failed = 0
    for name in chosen or SCRIPTS:
        module_name = f"measure.{name}"
        if importlib.util.find_spec(module_name) is None:
            print(f"{name}_missing=1", flush=True)
            continue
        try:
            importlib.import_module(module_name).main()
        except Exception:
            traceback.print_exc()
            print(f"{name}_failed=1", flush=True)
            failed += 1
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
