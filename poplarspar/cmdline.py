"""Command-line interface to the library."""

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
POLL_PERIOD_S = 0.2


class ExitStatus(IntEnum):
    """Exit statuses of the command line."""

    SUCCESS = 0
    FAILED = 1
    USAGE_ERROR = 2
    NOT_YET_IN_FORCE = 3
    CONFLICT = 4
    UNKNOWN_OUTCOME = 5


class ChangeReport(ChangeAnswer, InForceAnswer):
    """An accepted change and the stewards at which it is in force."""

    after_s: float


class CommandFailed(PoplarsparError):
    """A command failed with a message and an exit status."""

    def __init__(self, message: str, status: ExitStatus) -> None:
        super().__init__(message)
        self.status = status


class Commands:
    """Serving system for models that span several VMs.

    Commands that contact stewards read the stewards' addresses (IP:port,
    comma-separated) from the environment variable POPLARSPAR_STEWARDS and the
    operators' token from POPLARSPAR_TOKEN.
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
        """Run a node on the platform with the settings file SETTINGS.

        Without SETTINGS the command reads the file that POPLARSPAR_SETTINGS names.

        With --check the command checks the settings and exits.
        """
        # Only this command needs the adapter to the platform.
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
        if not paths:
            raise CommandFailed("name at least one log file", ExitStatus.USAGE_ERROR)
        lines = explain_request(id, [_read_file(path) for path in paths])
        if not lines:
            raise CommandFailed(f"no log line has the id {id!r}", ExitStatus.FAILED)
        print("\n".join(lines))

    @SetParseFn(str)
    def check(self, kind: str, path: str) -> None:
        """Check the file PATH without a cluster; KIND is entry, steward or objects."""
        match kind:
            case "entry":
                read_entry_settings(path)
            case "steward":
                read_steward_settings(path)
            case "objects":
                parse_objects(_read_file(path), path)
            case _:
                message = f"KIND must be entry, steward or objects, not {kind!r}"
                raise CommandFailed(message, ExitStatus.USAGE_ERROR)
        print(f"{path}: correct")

    @SetParseFn(str)
    def show(self) -> None:
        """Print the objects in force and their revision."""
        objects = _client().objects()
        print(f"# revision {objects.revision}")
        print(objects.text, end="")

    @SetParseFn(str)
    def publish(self, path: str, base: str = "", yes: str = "") -> None:
        """Publish the objects in the file PATH.

        BASE is the revision on which the file is based. Without BASE the command
        shows the difference from the objects in force and asks for confirmation;
        --yes skips the question.
        """
        text = _read_file(path)
        parse_objects(text, path)
        client = _client()
        in_force = client.objects()
        base_revision = _whole_number("base", base) if base else in_force.revision
        diff = _diff_lines(in_force.text, canonical_text(text))
        print("\n".join(diff) or "no difference from the objects in force")
        if not base and not yes and not _ask_confirmation(base_revision):
            raise CommandFailed("not published", ExitStatus.FAILED)
        request = PublishRequest(
            text=text, base_revision=base_revision, operator=_operator()
        )
        _finish_change(client, client.publish(request), as_json=False)

    @SetParseFn(str)
    def out(self, kind: str, name: str, json: str = "") -> None:
        """Take a zone or backend server out of service; KIND is zone or server."""
        _set_serving(kind, name, False, bool(json))

    @SetParseFn(str)
    def back(self, kind: str, name: str, json: str = "") -> None:
        """Take a zone or backend server back into service; KIND is zone or server."""
        _set_serving(kind, name, True, bool(json))

    @SetParseFn(str)
    def status(self, json: str = "") -> None:
        """Show zones, entries, replica groups and drains."""
        status = _client().status()
        _print_document(status, status_lines(status), bool(json))

    @SetParseFn(str)
    def audit(self, json: str = "") -> None:
        """Show the last changes, with operator, time and changed lines."""
        answer = _client().audit()
        _print_document(answer, audit_lines(answer), bool(json))

    @SetParseFn(str)
    def events(self, number: str) -> None:
        """Explain log event NUMBER."""
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


def _client() -> OperatorClient:
    addresses = [a for a in os.environ.get(STEWARDS_VARIABLE, "").split(",") if a]
    token = os.environ.get(TOKEN_VARIABLE, "")
    if not addresses or not token:
        message = f"set {STEWARDS_VARIABLE} and {TOKEN_VARIABLE}"
        raise CommandFailed(message, ExitStatus.USAGE_ERROR)
    for address in addresses:
        try:
            check_address(address)
        except ValueError as error:
            message = f"{STEWARDS_VARIABLE}: {address!r} {error}"
            raise CommandFailed(message, ExitStatus.USAGE_ERROR) from error
    return OperatorClient(addresses, token)


def _operator() -> str:
    return os.environ.get("POPLARSPAR_OPERATOR") or os.environ.get("USER") or "unknown"


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        message = f"{path}: cannot be read: {error}"
        raise CommandFailed(message, ExitStatus.USAGE_ERROR) from error


def _whole_number(name: str, text: str) -> int:
    if not text.isdigit():
        message = f"{name} must be a whole number, not {text!r}"
        raise CommandFailed(message, ExitStatus.USAGE_ERROR)
    return int(text)


def _diff_lines(old: str, new: str) -> list[str]:
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "in force", "to publish", lineterm=""
    )
    return list(lines)


def _ask_confirmation(revision: int) -> bool:
    print(f"Publish this on revision {revision}? [y/N] ", end="", flush=True)
    return sys.stdin.readline().strip().lower() in ("y", "yes")


def _set_serving(kind: str, name: str, serving: bool, as_json: bool) -> None:
    if kind not in ("zone", "server"):
        message = f"KIND must be zone or server, not {kind!r}"
        raise CommandFailed(message, ExitStatus.USAGE_ERROR)
    request = _serving_request(kind, name, serving)
    client = _client()
    _finish_change(client, client.set_serving(request), as_json)


def _serving_request(kind: str, name: str, serving: bool) -> ServingRequest:
    try:
        return ServingRequest(
            kind=kind, name=name, serving=serving, operator=_operator()
        )
    except ValidationError as error:
        raise CommandFailed(
            f"{name!r} is not a valid name", ExitStatus.USAGE_ERROR
        ) from error


def _finish_change(client: OperatorClient, answer: ChangeAnswer, as_json: bool) -> None:
    """Print a change's outcome; wait until an accepted change is in force."""
    match answer.outcome:
        case ChangeOutcome.ACCEPTED:
            _wait_in_force(client, answer, as_json)
        case ChangeOutcome.CONFLICT:
            _print_document(answer, outcome_lines(answer), as_json)
            raise CommandFailed("nothing was changed", ExitStatus.CONFLICT)
        case ChangeOutcome.UNKNOWN:
            _print_document(answer, outcome_lines(answer), as_json)
            message = "check the audit trail before you retry"
            raise CommandFailed(message, ExitStatus.UNKNOWN_OUTCOME)
        case ChangeOutcome.UNAVAILABLE:
            _print_document(answer, outcome_lines(answer), as_json)
            raise CommandFailed("nothing was changed", ExitStatus.FAILED)
        case ChangeOutcome.INVALID:
            raise CommandFailed("\n".join(answer.problems), ExitStatus.USAGE_ERROR)


def _wait_in_force(client: OperatorClient, answer: ChangeAnswer, as_json: bool) -> None:
    started_at = time.monotonic()
    while True:
        state = client.in_force(answer.revision)
        elapsed_s = time.monotonic() - started_at
        if not state.not_yet_on or elapsed_s > IN_FORCE_TIMEOUT_S:
            break
        _show_progress(f"revision {answer.revision}: {in_force_line(state, elapsed_s)}")
        time.sleep(POLL_PERIOD_S)
    _show_progress("")
    values = {**answer.model_dump(), **state.model_dump()}
    report = ChangeReport(**values, after_s=round(elapsed_s, 1))
    lines = [*outcome_lines(answer), in_force_line(state, elapsed_s)]
    _print_document(report, lines, as_json)
    if state.not_yet_on:
        message = "those stewards send no new work until they have the change"
        raise CommandFailed(message, ExitStatus.NOT_YET_IN_FORCE)


def _show_progress(text: str) -> None:
    if sys.stderr.isatty():
        print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)


def _print_document(
    document: BaseModel | ClusterStatus, lines: list[str], as_json: bool
) -> None:
    if as_json:
        print(TypeAdapter(type(document)).dump_json(document).decode())
    else:
        print("\n".join(lines))
