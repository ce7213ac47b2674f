"""Tests of the command line against a real cluster."""

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

    def command(self, *arguments, stdin="", token=OPERATOR_TOKEN):
        """Run a command; return its exit status, output and error output."""
        addresses = [self.cluster.address(n) for n in self.cluster.steward_names]
        environment = {
            **os.environ,
            "POPLARSPAR_STEWARDS": ",".join(addresses),
            "POPLARSPAR_TOKEN": token,
            "POPLARSPAR_OPERATOR": "asha",
        }
        done = subprocess.run(
            [sys.executable, "-m", "poplarspar", *arguments],
            input=stdin,
            env=environment,
            capture_output=True,
            text=True,
            timeout=90,
            check=False,
        )
        self.assertNotIn("Traceback", done.stderr)
        return done.returncode, done.stdout, done.stderr

    def edited(self, weight: int) -> str:
        """Return the path of the example with another weight."""
        file = tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False)
        self.addCleanup(os.unlink, file.name)
        with file:
            file.write(TIDEWATER.replace("weight = 4", f"weight = {weight}"))
        return file.name

    def test_publish_show_and_audit(self):
        status, output, _ = self.command("publish", self.edited(7), stdin="y\n")
        self.assertEqual(0, status)
        self.assertIn("+weight = 7", output)
        self.assertIn("in force on 3 of 3 stewards", output)
        self.assertEqual(1, self.command("publish", self.edited(8), stdin="n\n")[0])
        _, output, _ = self.command("show")
        base = re.search(r"revision (\d+)", output).group(1)
        self.assertIn("weight = 7", output)
        self.assertEqual(0, self.command("publish", self.edited(9), "--base", base)[0])
        status, output, _ = self.command("publish", self.edited(5), "--base", base)
        self.assertEqual(4, status)
        self.assertIn("+[workspace:port-authorities] weight = 9", output)
        _, output, _ = self.command("audit")
        self.assertIn("asha  publish", output)
        _, output, _ = self.command("audit", "--json")
        self.assertEqual(3, len(json.loads(output)["audit"]))

    def test_out_back_and_status(self):
        self.assertEqual(0, self.command("out", "zone", "a")[0])
        status, output, _ = self.command("status")
        self.assertIn("a: out of service", output)
        self.assertIn("ledgers-svc-a: no new work", output)
        status, output, _ = self.command("back", "zone", "a", "--json")
        self.assertEqual([], json.loads(output)["not_yet_on"])
        self.assertEqual(0, self.command("out", "server", "svc-b")[0])
        self.assertEqual(2, self.command("out", "zone", "z")[0])

    def test_outcomes_have_their_exit_statuses(self):
        self.cluster.isolate("steward-3")
        status, output, _ = self.command("out", "zone", "b")
        self.assertEqual(3, status)
        self.assertIn("not yet in force on steward-3", output)
        store = self.cluster.address("store")
        self.cluster.http.post(store, "/control", {"outage": True})
        status, output, _ = self.command("out", "zone", "c")
        self.assertEqual(
            (1, "not recorded: the store does not answer\n"), (status, output)
        )
        status, output, _ = self.command("publish", self.edited(6), "--yes")
        self.assertEqual(5, status)
        self.assertIn("unknown: the store gave no answer", output)

    def test_wrong_use(self):
        cases = [
            ("out", "planet", "a"),
            ("events", "x"),
            ("events", "999"),
            ("check", "objects", "/nowhere"),
            ("check", "things", "x"),
            ("publish",),
            ("dance",),
            ("publish", self.edited(-1), "--base", "1"),
            ("publish", self.edited(3), "--base", "one"),
        ]
        for case in cases:
            with self.subTest(case=case):
                self.assertEqual(2, self.command(*case)[0])
        self.assertEqual(1, self.command("status", token="wrong")[0])

    def test_offline_commands(self):
        for path in sorted(Path(EXAMPLES).glob("*.ini")):
            self.assertEqual(0, self.command("check", "objects", str(path))[0])
        _, output, _ = self.command("events", "300")
        self.assertIn("store does not answer", output)
