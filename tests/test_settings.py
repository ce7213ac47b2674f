"""Tests that a daemon with invalid settings exits with a message on each problem."""

import subprocess
import sys
import tempfile
from pathlib import Path

from tests.base import GoldTestCase

GOOD = """[entry]
name = entry-1
zone = a
http_listen = 127.0.0.1:0
lending_listen = 127.0.0.1:0
stewards = steward-1
[cluster]
peer_token = 0123456789abcdef
operator_token = 0123456789abcdef
store = 127.0.0.1:1
vm_list = 127.0.0.1:2
[roster]
steward-1 = 127.0.0.1:3
"""


class SettingsTest(GoldTestCase):
    def start(self, text: str, kind: str = "entry"):
        """Start a daemon with a settings text; return its exit status and message."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "settings.ini")
            path.write_text(text)
            done = subprocess.run(
                [sys.executable, "-m", "poplarspar", kind, str(path)],
                capture_output=True,
                text=True,
                timeout=60,
                check=False,
            )
            self.assertEqual("", done.stdout)
            return done.returncode, done.stderr.replace(str(path), "settings.ini")

    def test_invalid_settings_are_reported(self):
        cases = [
            GOOD.replace("zone = a\n", ""),
            GOOD.replace("zone", "zones"),
            GOOD.replace("http_listen = 127.0.0.1:0", "http_listen = here"),
            GOOD.replace("store = 127.0.0.1:1", "store = 127.0.0.1:70000"),
            GOOD.replace("zone = a", "zone = a\nqueue_timeout_s = soon"),
            GOOD.replace("[roster]\nsteward-1 = 127.0.0.1:3", ""),
            GOOD.replace("stewards = steward-1", "stewards = steward-9"),
            GOOD.replace("0123456789abcdef", "short"),
            GOOD + "[extra]\n",
            "no section",
        ]
        outputs = []
        for case in cases:
            status, message = self.start(case)
            outputs.append(f"exit {status}\n{message}")
            self.assertNotIn("Traceback", message)
        self.assert_gold("settings", "\n".join(outputs))

    def test_missing_file_is_reported(self):
        with tempfile.TemporaryDirectory() as folder:
            command = [sys.executable, "-m", "poplarspar", "entry", f"{folder}/none"]
            done = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertEqual(2, done.returncode)
        self.assertIn("cannot be read", done.stderr)
