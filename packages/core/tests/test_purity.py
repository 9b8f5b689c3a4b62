import ast
import unittest
from pathlib import Path

import lacewingrudder_core

FORBIDDEN = {"asyncio", "socket", "time", "threading", "random", "os", "pathlib", "io"}
SOURCES = Path(lacewingrudder_core.__file__).parent


def imported_modules(tree: ast.AST) -> set[str]:
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.level == 0 and node.module:
            names.add(node.module.split(".")[0])
    return names


def uses_global_random(tree: ast.AST) -> bool:
    return any(
        isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "random"
        and node.attr != "Random"
        for node in ast.walk(tree)
    )


class PurityTest(unittest.TestCase):
    def test_core_imports_no_io_modules(self) -> None:
        for path in SOURCES.rglob("*.py"):
            with self.subTest(path.name):
                found = imported_modules(ast.parse(path.read_text())) & FORBIDDEN
                self.assertLessEqual(found, {"random"})

    def test_core_does_not_use_the_global_random_generator(self) -> None:
        for path in SOURCES.rglob("*.py"):
            with self.subTest(path.name):
                self.assertFalse(uses_global_random(ast.parse(path.read_text())))
