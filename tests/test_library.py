"""Runs the example of library use, which must stay short and correct."""

import subprocess
import sys
import unittest
from pathlib import Path

import poplarspar

ROOT = Path(poplarspar.__file__).parent.parent


class LibraryTest(unittest.TestCase):
    def test_example_of_library_use_runs(self):
        path = ROOT / "examples" / "embedded.py"
        self.assertLess(len(path.read_text().splitlines()), 60)
        command = [sys.executable, str(path)]
        output = subprocess.check_output(command, text=True, cwd=ROOT)
        self.assertEqual("['ledger-1', 'ledger-1', 'no room']\nadmitted\n", output)
