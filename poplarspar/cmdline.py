"""Command-line interface to the library.

Commands import what they need themselves, so that a restarted node serves sooner.
"""

import sys
from pathlib import Path

import fire
from fire.decorators import SetParseFn

from poplarspar.daemon import run_daemon
from poplarspar.exceptions import (
    InvalidObjects,
    InvalidSettings,
    RequestRefused,
    TransportError,
)
from poplarspar.exit_status import CommandFailed, ExitStatus


class Commands:
    """Serving system for models that span several VMs.

    Commands that contact stewards read the stewards' addresses (IP:port,
    comma-separated) from the environment variable POPLARSPAR_STEWARDS and the
    operators' token from POPLARSPAR_TOKEN.
    """

    @SetParseFn(str)
    def entry(self, settings: str) -> None:
        """Run an entry with the settings file SETTINGS."""
        from poplarspar.entry import Entry
        from poplarspar.protocol.settings import read_entry_settings

        checked = read_entry_settings(settings)
        run_daemon(checked.name, lambda: Entry(checked))

    @SetParseFn(str)
    def steward(self, settings: str) -> None:
        """Run a steward with the settings file SETTINGS."""
        from poplarspar.protocol.settings import read_steward_settings
        from poplarspar.steward import Steward

        checked = read_steward_settings(settings)
        run_daemon(checked.name, lambda: Steward(checked))

    @SetParseFn(str)
    def node(self, settings: str = "", check: bool = False) -> None:
        """Run a node on the platform with the settings file SETTINGS.

        Without SETTINGS the command reads the file that POPLARSPAR_SETTINGS names.

        With --check the command checks the settings and exits.
        """
        from poplarspar.platform import SettingsFile, build_node, read_node_settings

        checked = read_node_settings(settings)
        if check:
            print(f"{checked.name}: correct")
            return
        file = SettingsFile(settings)
        run_daemon(checked.name, lambda: build_node(checked), file.reload)

    @SetParseFn(str)
    def explain(self, id: str, *paths: str) -> None:
        """Print the events of request ID from the nodes' log files PATHS."""
        from poplarspar.display import explain_request

        if not paths:
            raise CommandFailed("name at least one log file", ExitStatus.USAGE_ERROR)
        lines = explain_request(id, [_read_file(path) for path in paths])
        if not lines:
            raise CommandFailed(f"no log line has the id {id!r}", ExitStatus.FAILED)
        print("\n".join(lines))

    @SetParseFn(str)
    def check(self, kind: str, path: str, against: str = "", json: str = "") -> None:
        """Check the file PATH without a cluster.

        KIND is entry, steward, objects, or configuration for the platform's document.
        For the last two the command prints a line for each finding: what is wrong, has
        no effect or contradicts itself, and, with --against FILE, what differs from
        the configuration in FILE. With --json each line is a JSON object. The exit
        status is 2 after an error, 1 after a warning, else 0.
        """
        from poplarspar.configuration_check import OBJECTS, FileKind, check_file
        from poplarspar.coordination.checking import check_entries, entry_differences
        from poplarspar.platform.operator_files import parse_operator_file
        from poplarspar.protocol.settings import (
            read_entry_settings,
            read_steward_settings,
        )

        match kind:
            case "entry":
                read_entry_settings(path)
            case "steward":
                read_steward_settings(path)
            case "objects":
                check_file(OBJECTS, path, against, _is_yes("--json", json))
                return
            case "configuration":
                documents = FileKind(
                    parse_operator_file, check_entries, entry_differences
                )
                check_file(documents, path, against, _is_yes("--json", json))
                return
            case _:
                message = (
                    "KIND must be entry, steward, objects or configuration, "
                    f"not {kind!r}"
                )
                raise CommandFailed(message, ExitStatus.USAGE_ERROR)
        print(f"{path}: correct")

    @SetParseFn(str)
    def show(self) -> None:
        """Print the objects in force and their revision."""
        from poplarspar.operator_commands import show_objects

        show_objects()

    @SetParseFn(str)
    def publish(self, path: str, base: str = "", yes: str = "") -> None:
        """Publish the objects in the file PATH.

        BASE is the revision on which the file is based. Without BASE the command
        shows the difference from the objects in force and asks for confirmation;
        --yes skips the question.
        """
        from poplarspar.operator_commands import publish_objects

        text = _read_file(path)
        base_revision = _whole_number("base", base) if base else None
        publish_objects(path, text, base_revision, bool(yes))

    @SetParseFn(str)
    def out(self, kind: str, name: str, json: str = "") -> None:
        """Take a zone or backend server out of service; KIND is zone or server."""
        from poplarspar.operator_commands import set_serving

        set_serving(kind, name, False, bool(json))

    @SetParseFn(str)
    def back(self, kind: str, name: str, json: str = "") -> None:
        """Take a zone or backend server back into service; KIND is zone or server."""
        from poplarspar.operator_commands import set_serving

        set_serving(kind, name, True, bool(json))

    @SetParseFn(str)
    def status(self, json: str = "") -> None:
        """Show zones, entries, replica groups and drains."""
        from poplarspar.operator_commands import show_status

        show_status(bool(json))

    @SetParseFn(str)
    def audit(self, json: str = "") -> None:
        """Show the last changes, with operator, time and changed lines."""
        from poplarspar.operator_commands import show_audit

        show_audit(bool(json))

    @SetParseFn(str)
    def events(self, number: str) -> None:
        """Explain log event NUMBER."""
        from poplarspar.events import find_event

        event = find_event(_whole_number("number", number))
        if event is None:
            raise CommandFailed(f"there is no event {number}", ExitStatus.USAGE_ERROR)
        print(f"{event.number} {event.message}")
        print(f"Cause: {event.cause}")
        print(f"What to do: {event.action}")


def main(arguments: list[str]) -> int:
    """Run one command and return its exit status."""
    try:
        fire.Fire(Commands, command=arguments, name="poplarspar")
    except CommandFailed as error:
        print(error, file=sys.stderr)
        return error.status
    except (InvalidSettings, InvalidObjects) as error:
        print(error, file=sys.stderr)
        return ExitStatus.USAGE_ERROR
    except RequestRefused as error:
        print(f"refused: {error}", file=sys.stderr)
        return ExitStatus.FAILED
    except TransportError as error:
        print(f"no steward answers: {error}", file=sys.stderr)
        return ExitStatus.FAILED
    except KeyboardInterrupt:
        return ExitStatus.FAILED
    return ExitStatus.SUCCESS


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        message = f"{path}: cannot be read: {error}"
        raise CommandFailed(message, ExitStatus.USAGE_ERROR) from error


def _is_yes(name: str, text: str) -> bool:
    """Return whether an option is on; one without a value has the text "True"."""
    match text.lower():
        case "yes" | "true":
            return True
        case "" | "no" | "false":
            return False
        case _:
            message = f"{name} must be yes or no, not {text!r}"
            raise CommandFailed(message, ExitStatus.USAGE_ERROR)


def _whole_number(name: str, text: str) -> int:
    if not text.isdigit():
        message = f"{name} must be a whole number, not {text!r}"
        raise CommandFailed(message, ExitStatus.USAGE_ERROR)
    return int(text)
