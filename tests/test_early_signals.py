"""Signals that arrive while a daemon's process is starting."""

import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from standins.platform import settings_text

STARTING_S = 0.3
WAIT_S = 1.0


class EarlySignalsTest(unittest.TestCase):
    # Guards against a reload that ends a node which has just been started.
    def test_sighup_during_start_does_not_end_the_process(self):
        with tempfile.TemporaryDirectory() as folder:
            settings = Path(folder) / "node.toml"
            settings.write_text(settings_text("127.0.0.1:9", [0, 0, 0, 0]))
            process = subprocess.Popen(
                [sys.executable, "-m", "poplarspar", "node", str(settings)],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            try:
                time.sleep(STARTING_S)
                process.send_signal(signal.SIGHUP)
                time.sleep(WAIT_S)
                self.assertNotEqual(-signal.SIGHUP, process.poll())
            finally:
                process.kill()
                process.wait()


if __name__ == "__main__":
    unittest.main()
