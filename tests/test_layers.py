"""Tests of imports between layers, and of names that belong to one folder."""

import ast
import unittest
from pathlib import Path

import poplarspar

PACKAGE = Path(poplarspar.__file__).parent
# Each layer may import only the layers after it.
LAYERS_FROM_OUTSIDE = ["transport", "protocol", "coordination", "state"]
# Headers and operations of the platform's protocol, which only `platform` may contain.
PLATFORM_PROTOCOL_NAMES = [
    "Attempt-Id",
    "Deadline-Ms",
    "Not-Executed",
    "Expect-Instance",
    "Response-Signature",
    "kv-txn",
    "kv-watch",
    "op/config",
    "op/evacuate",
    "fencing_token",
    "Lease-Holder",
    "Fencing-Token",
]


def imported_modules(path: Path) -> list[str]:
    names = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            names.append(node.module or "")
        elif isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
    return names


class LayersTest(unittest.TestCase):
    def test_no_layer_imports_an_outer_layer(self):
        for position, layer in enumerate(LAYERS_FROM_OUTSIDE):
            outer = tuple(
                f"poplarspar.{name}" for name in LAYERS_FROM_OUTSIDE[:position]
            )
            for path in (PACKAGE / layer).rglob("*.py"):
                for module in imported_modules(path):
                    with self.subTest(file=f"{layer}/{path.name}", module=module):
                        self.assertFalse(module.startswith(outer))

    def test_layers_do_not_import_daemons(self):
        allowed = {
            "poplarspar.exceptions",
            "poplarspar.events",
            "poplarspar.lazy_exports",
            "poplarspar.logs",
        }
        allowed_starts = tuple(f"poplarspar.{layer}" for layer in LAYERS_FROM_OUTSIDE)
        for layer in LAYERS_FROM_OUTSIDE:
            for path in (PACKAGE / layer).rglob("*.py"):
                for module in imported_modules(path):
                    if module.startswith("poplarspar.") and module not in allowed:
                        with self.subTest(file=path.name, module=module):
                            self.assertTrue(module.startswith(allowed_starts))

    def test_only_the_command_line_imports_the_platform(self):
        for path in PACKAGE.rglob("*.py"):
            if "platform" in path.parts or path.name == "cmdline.py":
                continue
            for module in imported_modules(path):
                with self.subTest(file=path.name, module=module):
                    self.assertFalse(module.startswith("poplarspar.platform"))

    def test_only_the_platform_folder_contains_platform_names(self):
        for path in PACKAGE.rglob("*.py"):
            if "platform" in path.relative_to(PACKAGE).parts[:1]:
                continue
            for name in PLATFORM_PROTOCOL_NAMES:
                with self.subTest(file=path.name, name=name):
                    self.assertNotIn(name, path.read_text())

    def test_package_does_not_import_tests_standins_or_bench(self):
        for path in PACKAGE.rglob("*.py"):
            for module in imported_modules(path):
                self.assertNotIn(module.split(".")[0], ("tests", "standins", "bench"))
