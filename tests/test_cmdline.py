"""Tests of the command line with a local cluster.

They guard against changes that are lost, overwrite a newer revision or end with a
misleading exit status.
"""

import json
import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from standins.cluster import OPERATOR_TOKEN
from tests.base import EXAMPLES, TIDEWATER, ClusterTestCase, service_vms


class CommandLineTest(ClusterTestCase):
    vms = service_vms()
    groups = 2

    def run_command(self, *arguments, stdin="", token=OPERATOR_TOKEN):
        """Run a command and return its exit status, stdout and stderr."""
        addresses = [self.cluster.address(n) for n in self.cluster.steward_names]
        environment = {
            **os.environ,
            "POPLARSPAR_STEWARDS": ",".join(addresses),
            "POPLARSPAR_TOKEN": token,
            "POPLARSPAR_OPERATOR": "asha",
        }
        finished = subprocess.run(
            [sys.executable, "-m", "poplarspar", *arguments],
            input=stdin,
            env=environment,
            capture_output=True,
            text=True,
            timeout=90,
            check=False,
        )
        self.assertNotIn("Traceback", finished.stderr)
        return finished.returncode, finished.stdout, finished.stderr

    def write_example(self, weight: int) -> str:
        """Write the example objects with another weight and return the file's path."""
        file = tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False)
        self.addCleanup(os.unlink, file.name)
        with file:
            file.write(TIDEWATER.replace("weight = 4", f"weight = {weight}"))
        return file.name

    def test_publish_on_an_older_revision_is_refused(self):
        status, output, _ = self.run_command(
            "publish", self.write_example(7), stdin="y\n"
        )
        self.assertEqual(0, status)
        self.assertIn("+weight = 7", output)
        self.assertIn("in force on 3 of 3 stewards", output)
        self.assertEqual(
            1, self.run_command("publish", self.write_example(8), stdin="n\n")[0]
        )
        _, output, _ = self.run_command("show")
        base = re.search(r"revision (\d+)", output).group(1)
        self.assertIn("weight = 7", output)
        self.assertEqual(
            0, self.run_command("publish", self.write_example(9), "--base", base)[0]
        )
        status, output, _ = self.run_command(
            "publish", self.write_example(5), "--base", base
        )
        self.assertEqual(4, status)
        self.assertIn("+[workspace:port-authorities] weight = 9", output)
        _, output, _ = self.run_command("audit")
        self.assertIn("asha  publish", output)
        _, output, _ = self.run_command("audit", "--json")
        self.assertEqual(3, len(json.loads(output)["audit"]))

    def test_out_and_back_show_in_the_status(self):
        self.assertEqual(0, self.run_command("out", "zone", "a")[0])
        status, output, _ = self.run_command("status")
        self.assertIn("a: out of service", output)
        self.assertIn("ledgers-svc-a: no new work", output)
        status, output, _ = self.run_command("back", "zone", "a", "--json")
        self.assertEqual([], json.loads(output)["not_yet_on"])
        self.assertEqual(0, self.run_command("out", "server", "svc-b")[0])
        self.assertEqual(2, self.run_command("out", "zone", "z")[0])

    def test_unconfirmed_changes_have_their_own_exit_statuses(self):
        self.cluster.isolate("steward-3")
        status, output, _ = self.run_command("out", "zone", "b")
        self.assertEqual(3, status)
        self.assertIn("not yet in force on steward-3", output)
        store = self.cluster.address("store")
        self.cluster.http.post(store, "/control", {"outage": True})
        status, output, _ = self.run_command("out", "zone", "c")
        self.assertEqual(
            (1, "not recorded: the store does not answer\n"), (status, output)
        )
        status, output, _ = self.run_command("publish", self.write_example(6), "--yes")
        self.assertEqual(5, status)
        self.assertIn("unknown: the store gave no answer", output)

    def test_invalid_arguments_are_refused(self):
        cases = [
            ("out", "planet", "a"),
            ("events", "x"),
            ("events", "999"),
            ("check", "objects", "/nowhere"),
            ("check", "things", "x"),
            ("publish",),
            ("dance",),
            ("publish", self.write_example(-1), "--base", "1"),
            ("publish", self.write_example(3), "--base", "one"),
        ]
        for case in cases:
            with self.subTest(case=case):
                self.assertEqual(2, self.run_command(*case)[0])
        self.assertEqual(1, self.run_command("status", token="wrong")[0])

    def test_check_and_events_work_without_a_steward(self):
        for path in sorted(Path(EXAMPLES).glob("*.ini")):
            self.assertEqual(0, self.run_command("check", "objects", str(path))[0])
        _, output, _ = self.run_command("events", "300")
        self.assertIn("store does not answer", output)
