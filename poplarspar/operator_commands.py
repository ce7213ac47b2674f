"""Operators' commands, which talk to the stewards."""

import difflib
import os
import sys
import time

from pydantic import BaseModel, TypeAdapter, ValidationError

from poplarspar.display import (
    audit_lines,
    in_force_line,
    outcome_lines,
    status_lines,
)
from poplarspar.exit_status import CommandFailed, ExitStatus
from poplarspar.protocol.objects import canonical_text, parse_objects
from poplarspar.protocol.operators import (
    ChangeAnswer,
    ChangeOutcome,
    InForceAnswer,
    PublishRequest,
    ServingRequest,
)
from poplarspar.protocol.settings import check_address
from poplarspar.state.status import ClusterStatus
from poplarspar.transport.operator_client import OperatorClient

STEWARDS_VARIABLE = "POPLARSPAR_STEWARDS"
TOKEN_VARIABLE = "POPLARSPAR_TOKEN"
IN_FORCE_TIMEOUT_S = 20.0
POLL_PERIOD_S = 0.2


class ChangeReport(ChangeAnswer, InForceAnswer):
    """An accepted change and the stewards at which it is in force."""

    after_s: float


def show_objects() -> None:
    """Print the objects in force and their revision."""
    objects = _client().objects()
    print(f"# revision {objects.revision}")
    print(objects.text, end="")


def publish_objects(
    path: str, text: str, base_revision: int | None, confirmed: bool
) -> None:
    """Publish objects, after a question unless the base or a confirmation is given.

    Parameters
    ----------
    path : str
        Name of the objects' file, for messages.
    base_revision : int or None
        Revision on which the objects are based; None for the one in force.
    """
    parse_objects(text, path)
    client = _client()
    in_force = client.objects()
    revision = in_force.revision if base_revision is None else base_revision
    diff = _diff_lines(in_force.text, canonical_text(text))
    print("\n".join(diff) or "no difference from the objects in force")
    asks = base_revision is None and not confirmed
    if asks and not _ask_confirmation(revision):
        raise CommandFailed("not published", ExitStatus.FAILED)
    request = PublishRequest(text=text, base_revision=revision, operator=_operator())
    _finish_change(client, client.publish(request), as_json=False)


def show_status(as_json: bool) -> None:
    """Print zones, entries, replica groups and drains."""
    status = _client().status()
    _print_document(status, status_lines(status), as_json)


def show_audit(as_json: bool) -> None:
    """Print the last changes."""
    answer = _client().audit()
    _print_document(answer, audit_lines(answer), as_json)


def set_serving(kind: str, name: str, serving: bool, as_json: bool) -> None:
    """Take a zone or backend server out of service, or back into it."""
    if kind not in ("zone", "server"):
        message = f"KIND must be zone or server, not {kind!r}"
        raise CommandFailed(message, ExitStatus.USAGE_ERROR)
    request = _serving_request(kind, name, serving)
    client = _client()
    _finish_change(client, client.set_serving(request), as_json)


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


def _diff_lines(old: str, new: str) -> list[str]:
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "in force", "to publish", lineterm=""
    )
    return list(lines)


def _ask_confirmation(revision: int) -> bool:
    print(f"Publish this on revision {revision}? [y/N] ", end="", flush=True)
    return sys.stdin.readline().strip().lower() in ("y", "yes")


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
