"""The command line."""

import sys

import fire
from fire.decorators import SetParseFn

from poplarspar.daemon import run_daemon
from poplarspar.entry import Entry
from poplarspar.exceptions import InvalidSettings
from poplarspar.protocol.settings import read_entry_settings, read_steward_settings
from poplarspar.steward import Steward


class Commands:
    """Serving system for models that span several VMs."""

    @SetParseFn(str)
    def entry(self, settings: str) -> None:
        """Run an entry with the settings file SETTINGS."""
        checked = read_entry_settings(settings)
        run_daemon(checked.name, lambda: Entry(checked))

    @SetParseFn(str)
    def steward(self, settings: str) -> None:
        """Run a steward with the settings file SETTINGS."""
        checked = read_steward_settings(settings)
        run_daemon(checked.name, lambda: Steward(checked))


def main(arguments: list[str]) -> int:
    """Run one command and return its exit status."""
    try:
        fire.Fire(Commands, command=arguments, name="poplarspar")
    except InvalidSettings as error:
        print(error, file=sys.stderr)
        return 2
    return 0
