"""Runs one test module and prints a line for each result."""

import sys
import time
import unittest


class LineResult(unittest.TextTestResult):
    """Prints a line that the caller's process can read."""

    def startTest(self, test):
        self._started = time.monotonic()
        super().startTest(test)

    def addSuccess(self, test):
        super().addSuccess(test)
        self._print("passed", test)

    def addFailure(self, test, err):
        super().addFailure(test, err)
        self._print("failed", test)

    def addError(self, test, err):
        super().addError(test, err)
        self._print("failed", test)

    def _print(self, state, test):
        seconds = time.monotonic() - getattr(self, "_started", time.monotonic())
        name = test.id().replace(" ", "")
        print(f"RESULT {state} {name} {seconds:.1f} s", flush=True)


if __name__ == "__main__":
    suite = unittest.defaultTestLoader.loadTestsFromName(sys.argv[1])
    result = unittest.TextTestRunner(resultclass=LineResult).run(suite)
    sys.exit(not result.wasSuccessful())
