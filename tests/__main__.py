"""Runs the tests in parallel processes and counts them; known faults are named."""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
KNOWN_RED = FOLDER.parent / "KNOWN-RED.txt"
WORKERS = 6
MODULE_TIMEOUT_S = 400


def known_red() -> set[str]:
    """Return the identifiers of tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", KNOWN_RED.read_text(), re.M))


def run_module(module: str) -> tuple[str, str, int]:
    """Run one test module in a process of its own."""
    command = [sys.executable, "-m", "tests.runner", f"tests.{module}"]
    try:
        done = subprocess.run(
            command,
            cwd=FOLDER.parent,
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired as expired:
        # What went wrong before is the cause, more often than not.
        output = _text(expired.stdout) + _text(expired.stderr)
        return module, f"{output}\n{module} ran out of time\n", 1
    return module, done.stdout + done.stderr, done.returncode


def _text(output: str | bytes | None) -> str:
    """Return what a process wrote until it was ended."""
    if isinstance(output, bytes):
        return output.decode(errors="replace")
    return output or ""


def main(names: list[str]) -> int:
    """Run the named test modules, or all, and return the exit status."""
    found = sorted(path.stem for path in FOLDER.glob("test_*.py"))
    modules = [name for name in found if not names or name in names]
    red = known_red()
    passed, failed, known = 0, [], []
    workers = min(WORKERS, os.cpu_count() or 1)
    with ThreadPoolExecutor(workers) as pool:
        for module, output, status in pool.map(run_module, modules):
            results = re.findall(r"^RESULT (\w+) (\S+) (\S+) s$", output, re.M)
            bad = [name for state, name, _ in results if state != "passed"]
            if status and not bad:
                bad = [f"tests.{module}"]
            passed += sum(state == "passed" for state, _, _ in results)
            known += [name for name in bad if name in red]
            failed += [name for name in bad if name not in red]
            seconds = sum(float(duration) for _, _, duration in results)
            print(f"{module}: {len(results)} tests in {seconds:.1f} s", flush=True)
            if bad:
                print(output)
    for name in known:
        print(f"known red: {name} (see KNOWN-RED.txt)")
    for name in failed:
        print(f"failed: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
