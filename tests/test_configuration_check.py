"""Check of a configuration before it is sent."""

import contextlib
import io
import json
import os
import tempfile
import unittest
from pathlib import Path

from poplarspar.cmdline import main
from tests.base import EXAMPLES, TIDEWATER


def run_check(*arguments):
    """Return the exit status and the lines of both outputs of a check."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            status = main(["check", *arguments])
        except SystemExit as stop:
            status = stop.code
    return status, out.getvalue().splitlines(), err.getvalue().splitlines()


def route(name="pay", **changes):
    values = {
        "name": name,
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 200,
        "service": "ledger",
        "max_attempts": 2,
    }
    return {**values, **changes}


def service(name="ledger", **changes):
    return {"name": name, "max_connections": 100, **changes}


def document(**changes):
    values = {
        "version": 3,
        "routes": [route(), route("look")],
        "services": [service()],
        "tenants": [
            {"name": "pilots", "api_keys": ["secret-1"]},
            {"name": "port", "api_keys": ["secret-2", "secret-3"]},
        ],
    }
    return {**values, **changes}


class CheckTestCase(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def write(self, content, name="new"):
        path = Path(self.folder.name) / name
        if not isinstance(content, (str, bytes)):
            content = json.dumps(content)
        path.write_bytes(content if isinstance(content, bytes) else content.encode())
        return str(path)

    def check(self, content, kind="configuration", against=None):
        """Return the status, and the severity and text of each finding."""
        arguments = [kind, self.write(content), "--json", "yes"]
        if against is not None:
            arguments += ["--against", self.write(against, "in-force")]
        status, lines, _ = run_check(*arguments)
        rows = [json.loads(line) for line in lines]
        return status, [(r["severity"], f"{r['place']}: {r['message']}") for r in rows]

    def assert_found(self, severity, *words, content, **options):
        status, findings = self.check(content, **options)
        texts = [text for found, text in findings if found == severity]
        found = [text for text in texts if all(word in text for word in words)]
        self.assertTrue(found, findings)
        self.assertEqual({"error": 2, "warning": 1}.get(severity, status), status)


class ConfigurationTest(CheckTestCase):
    def test_sound_configuration_has_no_finding(self):
        self.assertEqual((0, []), self.check(document()))
        status, lines, _ = run_check("configuration", self.write(document()))
        self.assertEqual(0, status)
        self.assertEqual(1, len(lines))

    def test_fields_are_named_all_at_once(self):
        broken = document(routes=[route(timeout_ms="soon"), route(kind="other")])
        status, findings = self.check(broken)
        self.assertEqual(2, status)
        text = " ".join(text for _, text in findings)
        self.assertIn("routes.0.timeout_ms", text)
        self.assertIn("routes.1.kind", text)

    def test_entries_that_contradict_each_other(self):
        double = route("twice", path_prefix="/pay/")
        mute = {"slots": 1, "models": [{"name": "m", "size": 1}]}
        cases = [
            (("'twice'", "never match"), {"routes": [route(), double]}),
            (("'pay'", "2 entries"), {"routes": [route(), route(path_prefix="/x/")]}),
            (("'ledger'", "2 entries"), {"services": [service(), service()]}),
            (("'pay'", "'gone'"), {"routes": [route(service="gone")]}),
            (("'pay'", "slash"), {"routes": [route(path_prefix="/pay")]}),
            (("'pay'", "host"), {"routes": [route(host="")]}),
            (("'pay'", "attempts: 0"), {"routes": [route(max_attempts=0)]}),
            (("'pay'", "0 s"), {"routes": [route(timeout_ms=0)]}),
            (("'pay'", "negative"), {"routes": [self.split(2, -1)]}),
            (("'pay'", "no number"), {"routes": [self.split(1, float("nan"))]}),
            (("'pay'", "no number"), {"routes": [self.split(1, float("inf"))]}),
            (("'ledger'", "read_per_s: 0"), {"services": [service(engine=mute)]}),
            (("'pay'", "no service has"), {"routes": [self.split(0, 0)]}),
            (("no request can match",), {"tenants": []}),
            (("keys: one is empty",), {"tenants": [{"name": "a", "api_keys": [""]}]}),
        ]
        for words, changes in cases:
            with self.subTest(words=words):
                self.assert_found("error", *words, content=document(**changes))

    def test_key_of_two_workspaces_is_an_error_that_does_not_show_the_key(self):
        holders = [{"name": n, "api_keys": ["secret-1"]} for n in ("pilots", "port")]
        content = document(tenants=holders)
        self.assert_found("error", "'pilots', 'port'", "one key", content=content)
        _, findings = self.check(content, against=document())
        self.assertNotIn("secret", str(findings))

    def test_entries_and_limits_without_effect(self):
        models = [{"name": "m", "size": 4, "share": 0.7}] * 2
        engine = {"slots": 13, "models": models, "read_per_s": 50_000}
        scale = {"min": 1, "max": 2}
        once = route(kind="non_idempotent")
        cases = [
            (("'idle'", "no route"), {"services": [service(), service("idle")]}),
            (("'ledger'", "weight 0"), {"routes": [route("x"), self.split(1, 0)]}),
            (("'port'", "has none"), {"tenants": [{"name": "port"}, self.pilots]}),
            (("'pay'", "target latency"), {"routes": [route(timeout_ms=100)]}),
            (("'pay'", "pauses"), {"routes": [route(gap_aim_ms=2000)]}),
            (("'pay'", "run once"), {"routes": [once]}),
            (("'pay'", "resumable"), {"routes": [route(resumable=True)]}),
            (("header_bytes",), {"limits": {"max_body_bytes": 100}}),
            (("idle", "headers"), {"limits": {"idle_timeout_ms": 2000}}),
            (("idle", "'pay'"), {"routes": [route(timeout_ms=20_000)]}),
            (
                ("'ledger'", "13 slots"),
                {"services": [service(max_connections=9, engine=engine)]},
            ),
            (
                ("'ledger'", "group of 4"),
                {"services": [service(engine=engine, scale=scale)]},
            ),
        ]
        for words, changes in cases:
            with self.subTest(words=words):
                self.assert_found("warning", *words, content=document(**changes))

    pilots = {"name": "pilots", "api_keys": ["secret-1"]}

    def split(self, *weights):
        services = [{"service": "ledger", "weight": weight} for weight in weights]
        return route(service="", split=services)

    def test_differences_say_what_happens_to_requests_under_way(self):
        changed = document(
            version=4,
            routes=[route(service="vault", timeout_ms=800), route("new")],
            services=[service(max_connections=9), service("vault")],
            tenants=[self.pilots, {"name": "port", "api_keys": ["secret-2"]}],
            limits={"idle_timeout_ms": 16_000},
        )
        for words in (
            ("'pay'", "moved", "'vault'", "running requests go on"),
            ("'pay'", "timeout_s: 1 becomes 0.8"),
            ("'look'", "dropped", "404"),
            ("'new'", "added"),
            ("'vault'", "added"),
            ("'ledger'", "changed"),
            ("'port'", "1 taken away", "401"),
            ("limits", "idle_timeout_s: 15 becomes 16"),
        ):
            with self.subTest(words=words):
                self.assert_found(
                    "difference", *words, content=changed, against=document()
                )
        self.assert_found("error", "version", content=document(), against=document())

    def test_limits_in_bytes_are_shown_whole(self):
        for limit in (4_194_305, 10**400):
            changed = document(version=4, limits={"max_body_bytes": limit})
            words = ("limits", f"body_bytes: 4194304 becomes {limit}")
            self.assert_found("difference", *words, content=changed, against=document())

    def test_equal_configuration_with_a_newer_version_has_no_difference(self):
        status, findings = self.check(document(version=4), against=document())
        self.assertEqual((0, []), (status, findings))


class ObjectsTest(CheckTestCase):
    def test_examples_have_no_finding(self):
        for path in EXAMPLES.glob("*.ini"):
            status, lines, _ = run_check("objects", str(path))
            self.assertEqual((0, [f"{path}: correct"]), (status, lines))

    def test_objects_without_effect(self):
        cases = [
            ("[workspace:idle]", "\n[workspace:idle]\n"),
            ("[deployment:spare]", self.deployment("spare")),
            ("replicas: 0", self.deployment("spare") + self.group("spare", 0)),
            ("no replica runs", self.deployment("spare") + self.route("spare")),
        ]
        for words, extra in cases:
            with self.subTest(words=words):
                self.assert_found(
                    "warning", words, content=TIDEWATER + extra, kind="objects"
                )

    def deployment(self, name):
        return (
            f"\n[deployment:{name}]\nkind = service\ncold_requests = 1\n"
            "cold_tokens = 1\nwarm_requests = 1\nwarm_tokens = 1\n"
        )

    def group(self, deployment, replicas):
        return (
            f"\n[group:x]\ndeployment = {deployment}\ndomains = d9\n"
            f"replicas = {replicas}\n"
        )

    def route(self, deployment):
        return (
            f"\n[route:x]\nworkspaces = pilots\ndeployment = {deployment}\n"
            "repeatable = no\ntimeout_s = 5\n"
        )

    def test_invalid_objects_are_errors(self):
        broken = TIDEWATER.replace("weight = 4", "weight = many")
        self.assert_found(
            "error", "port-authorities", "weight", content=broken, kind="objects"
        )

    def test_differences(self):
        changed = TIDEWATER.replace("weight = 4", "weight = 7") + self.route("ledger")
        for words in (
            ("[workspace:port-authorities]", "weight '4' becomes '7'"),
            ("[route:x]", "added"),
        ):
            self.assert_found(
                "difference",
                *words,
                content=changed,
                kind="objects",
                against=TIDEWATER,
            )
        self.assert_found(
            "difference",
            "[route:x]",
            "dropped",
            content=TIDEWATER,
            kind="objects",
            against=changed,
        )


class BadInputTest(CheckTestCase):
    def test_unusable_files_end_with_a_message(self):
        folder = self.folder.name
        contents = {
            "empty": "",
            "blank": " \n",
            "binary": bytes(range(256)),
            "large": "[" * 10_000_000,
            "nested": "[" * 100_000,
            "list": "[]",
            "text": "no configuration",
            "number": "7",
            "null": "null",
        }
        paths = [self.write(content, name) for name, content in contents.items()]
        for kind in ("configuration", "objects"):
            for path in [*paths, folder, folder + "/absent"]:
                for options in ([], ["--json", "yes"]):
                    with self.subTest(kind=kind, path=path):
                        status, lines, errors = run_check(kind, path, *options)
                        self.assertEqual(2, status, lines)
                        self.assertTrue(errors)
                        self.assertLess(sum(map(len, errors)), 2000)

    def test_pipe_without_a_writer_ends_with_a_message(self):
        path = self.folder.name + "/pipe"
        os.mkfifo(path)
        for kind in ("configuration", "objects"):
            status, _, errors = run_check(kind, path)
            self.assertEqual(2, status)
            self.assertIn("not a regular file", errors[0])

    def test_numbers_that_are_none_are_errors(self):
        for number in ("NaN", "Infinity", "1e999"):
            engine = {"slots": 1, "models": [], "usual": {"answer": "?"}}
            content = document(services=[service(engine=engine)])
            text = json.dumps(content).replace('"?"', number)
            self.assertEqual(2, self.check(text)[0])

    def test_names_that_the_output_cannot_encode(self):
        for encoding in ("ascii", "utf-8"):
            out = io.TextIOWrapper(io.BytesIO(), encoding=encoding)
            content = document(routes=[route(name="Zürich", service="Ü")])
            for path in (self.write(content), self.write(document(), "\udcff")):
                with contextlib.redirect_stdout(out):
                    with contextlib.redirect_stderr(io.StringIO()):
                        main(["check", "configuration", path])
            out.flush()
            lines = out.buffer.getvalue().decode(encoding).splitlines()
            self.assertIn("rich': service: no service", lines[0])
            self.assertTrue(lines[-1].endswith("\\udcff: correct"))

    def test_fields_that_stand_twice_are_errors(self):
        text = json.dumps(document())
        for doubled in ('{"version": 1, ' + text[1:], text[:-1] + ', "routes": []}'):
            status, rows = self.check(doubled)
            self.assertEqual((2, 1), (status, len(rows)))
            self.assertIn("stands twice", rows[0][1])
        many = '{"note": {' + '"a": 1, ' * 100_000 + '"a": 1}, ' + text[1:]
        self.assertEqual(2, self.check(many)[0])
        ignored = '{"note": ' + "9" * 4000 + ', "ratio": NaN, ' + text[1:]
        self.assertEqual((0, []), self.check(ignored))

    def test_json_without_a_value_or_with_yes_or_no(self):
        path = self.write(document(routes=[]))
        for options in (["--json"], ["--json", "yes"], ["--json=true"]):
            _, lines, _ = run_check("configuration", path, *options)
            self.assertEqual("warning", json.loads(lines[0])["severity"])
        for options in ([], ["--json", "no"], ["--json=false"], ["--nojson"]):
            _, lines, _ = run_check("configuration", path, *options)
            self.assertIn(": warning: ", lines[0])
        status, _, errors = run_check("configuration", path, "--json", "7")
        self.assertEqual((2, ["--json must be yes or no, not '7'"]), (status, errors))

    def test_unusable_file_in_force(self):
        path, absent = self.write(document()), self.folder.name + "/absent"
        status, _, errors = run_check("configuration", path, "--against", absent)
        self.assertEqual((2, 1), (status, len(errors)))
        broken = self.write("{}", "broken")
        status, lines, _ = run_check("configuration", path, "--against", broken)
        self.assertEqual(2, status)
        self.assertTrue(lines)


if __name__ == "__main__":
    unittest.main()
