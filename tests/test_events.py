"""Tests that docs/EVENTS.md and the code list the same events."""

import re
import unittest
from pathlib import Path

import poplarspar
from poplarspar.events import Event

PACKAGE = Path(poplarspar.__file__).parent
CATALOGUE = PACKAGE.parent / "docs" / "EVENTS.md"


class EventsTest(unittest.TestCase):
    def test_catalogue_lists_exactly_the_events(self):
        rows = re.findall(
            r"^\| (\d+) \| (.+?) \| (.+?) \| (.+?) \|$", CATALOGUE.read_text(), re.M
        )
        documented = [(int(row[0]), *row[1:]) for row in rows]
        self.assertEqual([event.value for event in Event], documented)

    def test_code_logs_every_event(self):
        used = set()
        for path in PACKAGE.rglob("*.py"):
            if path.name != "events.py":
                used |= set(re.findall(r"Event\.([A-Z_]+)", path.read_text()))
        self.assertEqual({event.name for event in Event}, used)
