"""The command line, a thin cover over the library."""

import difflib
import os
import sys
import time
from enum import IntEnum
from pathlib import Path

import fire
from fire.decorators import SetParseFn
from pydantic import BaseModel, TypeAdapter, ValidationError

from poplarspar.daemon import run_daemon
from poplarspar.display import (
    audit_lines,
    explain_request,
    in_force_line,
    outcome_lines,
    status_lines,
)
from poplarspar.entry import Entry
from poplarspar.events import find_event
from poplarspar.exceptions import (
    InvalidObjects,
    InvalidSettings,
    PoplarsparError,
    TransportError,
)
from poplarspar.protocol.objects import canonical_text, parse_objects
from poplarspar.protocol.operators import (
    ChangeAnswer,
    ChangeOutcome,
    InForceAnswer,
    PublishRequest,
    ServingRequest,
)
from poplarspar.protocol.settings import (
    check_address,
    read_entry_settings,
    read_steward_settings,
)
from poplarspar.state.status import ClusterStatus
from poplarspar.steward import Steward
from poplarspar.transport.operator_client import OperatorClient, RequestRefused

STEWARDS_VARIABLE = "POPLARSPAR_STEWARDS"
TOKEN_VARIABLE = "POPLARSPAR_TOKEN"
IN_FORCE_TIMEOUT_S = 20.0
POLL_S = 0.2


class Exit(IntEnum):
    """Exit statuses of the command line."""

    DONE = 0
    FAILED = 1
    WRONG_USE = 2
    NOT_YET_IN_FORCE = 3
    CONFLICT = 4
    UNKNOWN = 5


class ChangeReport(ChangeAnswer, InForceAnswer):
    """An accepted change, and where it is in force."""

    after_s: float


class CommandFailed(PoplarsparError):
    """A command ends with a message and an exit status."""

    def __init__(self, message: str, status: Exit) -> None:
        super().__init__(message)
        self.status = status


class Commands:
    """Serving system for models that span several VMs.

    Commands that talk to stewards take their addresses from the variable
    POPLARSPAR_STEWARDS (IP:port, comma-separated) and the operators' token from
    POPLARSPAR_TOKEN.
    """

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

    @SetParseFn(str)
    def node(self, settings: str = "", check: bool = False) -> None:
        """Run a node on the platform, with the settings file that it names.

        With --check the settings are only checked.
        """
        # Only this command needs the platform's adapter.
        from poplarspar.platform import SettingsFile, build_node, read_node_settings

        checked = read_node_settings(settings)
        if check:
            print(f"{checked.name}: correct")
            return
        file = SettingsFile(settings)
        run_daemon(checked.name, lambda: build_node(checked), file.reload)

    @SetParseFn(str)
    def explain(self, id: str, *paths: str) -> None:
        """Print what the log files PATHS of several nodes say of a request."""
        if not paths:
            raise CommandFailed("name at least one log file", Exit.WRONG_USE)
        lines = explain_request(id, [_read(path) for path in paths])
        if not lines:
            raise CommandFailed(f"no line names {id!r}", Exit.FAILED)
        print("\n".join(lines))

    @SetParseFn(str)
    def check(self, kind: str, path: str) -> None:
        """Check the file PATH offline; KIND is entry, steward or objects."""
        match kind:
            case "entry":
                read_entry_settings(path)
            case "steward":
                read_steward_settings(path)
            case "objects":
                parse_objects(_read(path), path)
            case _:
                message = f"KIND must be entry, steward or objects, not {kind!r}"
                raise CommandFailed(message, Exit.WRONG_USE)
        print(f"{path}: correct")

    @SetParseFn(str)
    def show(self) -> None:
        """Print the objects that are in force, with their revision."""
        objects = _client().objects()
        print(f"# revision {objects.revision}")
        print(objects.text, end="")

    @SetParseFn(str)
    def publish(self, path: str, base: str = "", yes: str = "") -> None:
        """Publish the objects in the file PATH.

        BASE is the revision that the file was edited from. Without it the
        difference to the present objects is shown and confirmed first; --yes
        confirms beforehand.
        """
        text = _read(path)
        parse_objects(text, path)
        client = _client()
        present = client.objects()
        base_revision = _whole_number("base", base) if base else present.revision
        difference = _difference(present.text, canonical_text(text))
        print("\n".join(difference) or "no difference to what is in force")
        if not base and not yes and not _confirmed(base_revision):
            raise CommandFailed("not published", Exit.FAILED)
        request = PublishRequest(
            text=text, base_revision=base_revision, operator=_operator()
        )
        _finish_change(client, client.publish(request), as_json=False)

    @SetParseFn(str)
    def out(self, kind: str, name: str, json: str = "") -> None:
        """Take a zone or server out of service; KIND is zone or server."""
        _set_serving(kind, name, False, bool(json))

    @SetParseFn(str)
    def back(self, kind: str, name: str, json: str = "") -> None:
        """Take a zone or server back into service; KIND is zone or server."""
        _set_serving(kind, name, True, bool(json))

    @SetParseFn(str)
    def status(self, json: str = "") -> None:
        """Show zones, entries, replica groups and what is draining."""
        status = _client().status()
        _print(status, status_lines(status), bool(json))

    @SetParseFn(str)
    def audit(self, json: str = "") -> None:
        """Show the last changes: who, when, from what to what."""
        answer = _client().audit()
        _print(answer, audit_lines(answer), bool(json))

    @SetParseFn(str)
    def events(self, number: str) -> None:
        """Explain the event NUMBER of the log."""
        event = find_event(_whole_number("number", number))
        if event is None:
            raise CommandFailed(f"there is no event {number}", Exit.WRONG_USE)
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
        return Exit.WRONG_USE
    except RequestRefused as error:
        print(f"refused: {error}", file=sys.stderr)
        return Exit.FAILED
    except TransportError as error:
        print(f"no steward answers: {error}", file=sys.stderr)
        return Exit.FAILED
    except KeyboardInterrupt:
        return Exit.FAILED
    return Exit.DONE


def _client() -> OperatorClient:
    addresses = [a for a in os.environ.get(STEWARDS_VARIABLE, "").split(",") if a]
    token = os.environ.get(TOKEN_VARIABLE, "")
    if not addresses or not token:
        message = f"set {STEWARDS_VARIABLE} and {TOKEN_VARIABLE}"
        raise CommandFailed(message, Exit.WRONG_USE)
    for address in addresses:
        try:
            check_address(address)
        except ValueError as error:
            message = f"{STEWARDS_VARIABLE}: {address!r} {error}"
            raise CommandFailed(message, Exit.WRONG_USE) from error
    return OperatorClient(addresses, token)


def _operator() -> str:
    return os.environ.get("POPLARSPAR_OPERATOR") or os.environ.get("USER") or "unknown"


def _read(path: str) -> str:
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        message = f"{path}: cannot be read: {error}"
        raise CommandFailed(message, Exit.WRONG_USE) from error


def _whole_number(name: str, text: str) -> int:
    if not text.isdigit():
        message = f"{name} must be a whole number, not {text!r}"
        raise CommandFailed(message, Exit.WRONG_USE)
    return int(text)


def _difference(old: str, new: str) -> list[str]:
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "in force", "to publish", lineterm=""
    )
    return list(lines)


def _confirmed(revision: int) -> bool:
    print(f"Publish this on revision {revision}? [y/N] ", end="", flush=True)
    return sys.stdin.readline().strip().lower() in ("y", "yes")


def _set_serving(kind: str, name: str, serving: bool, as_json: bool) -> None:
    if kind not in ("zone", "server"):
        message = f"KIND must be zone or server, not {kind!r}"
        raise CommandFailed(message, Exit.WRONG_USE)
    request = _serving_request(kind, name, serving)
    client = _client()
    _finish_change(client, client.set_serving(request), as_json)


def _serving_request(kind: str, name: str, serving: bool) -> ServingRequest:
    try:
        return ServingRequest(
            kind=kind, name=name, serving=serving, operator=_operator()
        )
    except ValidationError as error:
        raise CommandFailed(f"{name!r} is not a name", Exit.WRONG_USE) from error


def _finish_change(client: OperatorClient, answer: ChangeAnswer, as_json: bool) -> None:
    """Report a change's outcome, and wait until it is in force."""
    match answer.outcome:
        case ChangeOutcome.ACCEPTED:
            _wait_in_force(client, answer, as_json)
        case ChangeOutcome.CONFLICT:
            _print(answer, outcome_lines(answer), as_json)
            raise CommandFailed("nothing was changed", Exit.CONFLICT)
        case ChangeOutcome.UNKNOWN:
            _print(answer, outcome_lines(answer), as_json)
            message = "look at the audit trail before you try again"
            raise CommandFailed(message, Exit.UNKNOWN)
        case ChangeOutcome.UNAVAILABLE:
            _print(answer, outcome_lines(answer), as_json)
            raise CommandFailed("nothing was changed", Exit.FAILED)
        case ChangeOutcome.INVALID:
            raise CommandFailed("\n".join(answer.problems), Exit.WRONG_USE)


def _wait_in_force(client: OperatorClient, answer: ChangeAnswer, as_json: bool) -> None:
    started = time.monotonic()
    while True:
        state = client.in_force(answer.revision)
        elapsed_s = time.monotonic() - started
        if not state.not_yet_on or elapsed_s > IN_FORCE_TIMEOUT_S:
            break
        _progress(f"revision {answer.revision}: {in_force_line(state, elapsed_s)}")
        time.sleep(POLL_S)
    _progress("")
    values = {**answer.model_dump(), **state.model_dump()}
    report = ChangeReport(**values, after_s=round(elapsed_s, 1))
    lines = [*outcome_lines(answer), in_force_line(state, elapsed_s)]
    _print(report, lines, as_json)
    if state.not_yet_on:
        message = "those stewards send no new work until they have the change"
        raise CommandFailed(message, Exit.NOT_YET_IN_FORCE)


def _progress(text: str) -> None:
    if sys.stderr.isatty():
        print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)


def _print(
    document: BaseModel | ClusterStatus, lines: list[str], as_json: bool
) -> None:
    if as_json:
        print(TypeAdapter(type(document)).dump_json(document).decode())
    else:
        print("\n".join(lines))
