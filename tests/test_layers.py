"""Tests that the layers import each other in one direction only."""

import ast
import unittest
from pathlib import Path

import poplarspar

PACKAGE = Path(poplarspar.__file__).parent
# From the outside in; each layer may import those after it.
LAYERS = ["transport", "protocol", "coordination", "state"]


def imported_modules(path: Path) -> list[str]:
    names = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            names.append(node.module or "")
        elif isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
    return names


class LayersTest(unittest.TestCase):
    def test_imports_point_inwards(self):
        for position, layer in enumerate(LAYERS):
            outer = tuple(f"poplarspar.{name}" for name in LAYERS[:position])
            for path in (PACKAGE / layer).glob("*.py"):
                for module in imported_modules(path):
                    with self.subTest(file=f"{layer}/{path.name}", module=module):
                        self.assertFalse(module.startswith(outer))

    def test_layers_do_not_import_daemons(self):
        allowed = {"poplarspar.exceptions", "poplarspar.events"}
        allowed_starts = tuple(f"poplarspar.{layer}" for layer in LAYERS)
        for layer in LAYERS:
            for path in (PACKAGE / layer).glob("*.py"):
                for module in imported_modules(path):
                    if module.startswith("poplarspar.") and module not in allowed:
                        with self.subTest(file=path.name, module=module):
                            self.assertTrue(module.startswith(allowed_starts))

    def test_package_does_not_import_scaffolding(self):
        for path in PACKAGE.rglob("*.py"):
            for module in imported_modules(path):
                self.assertNotIn(module.split(".")[0], ("tests", "standins", "bench"))
