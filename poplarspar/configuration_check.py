"""The command that checks a configuration before it is sent."""

import json
import os
import stat
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from poplarspar.coordination.checking import check_objects, object_differences
from poplarspar.exceptions import InvalidObjects, MalformedDocument
from poplarspar.exit_status import CommandFailed, ExitStatus
from poplarspar.protocol.objects import parse_objects
from poplarspar.state.findings import Finding, Severity

# The stores keep a configuration in one value, of at most this size.
MAX_BYTES = 1 << 20


@dataclass(frozen=True)
class FileKind:
    """How files of one kind are read, checked and compared.

    Attributes
    ----------
    parse : callable
        Returns the content of a text; raises `MalformedDocument` or `InvalidObjects`.
    check : callable
        Returns the findings in a content.
    compare : callable
        Returns the differences of a content from the one in force.
    """

    parse: Callable[[str], Any]
    check: Callable[[Any], list[Finding]]
    compare: Callable[[Any, Any], list[Finding]]


OBJECTS = FileKind(parse_objects, check_objects, object_differences)


def check_file(kind: FileKind, path: str, against: str, as_json: bool) -> None:
    """Print a line for each finding in the file at `path`.

    Parameters
    ----------
    against : str
        Path of the configuration in force, empty to compare with none.

    Raises
    ------
    CommandFailed
        With `USAGE_ERROR` after an error and `FAILED` after a warning.
    """
    content, findings = _read(kind, path)
    if content is not None:
        findings += kind.check(content)
        if against:
            in_force, problems = _read(kind, against)
            if in_force is None:
                _print(against, problems, as_json)
                message = f"{against}: can't be compared with"
                raise CommandFailed(message, ExitStatus.USAGE_ERROR)
            findings += kind.compare(content, in_force)
    _print(path, findings, as_json)
    severities = {finding.severity for finding in findings}
    if Severity.ERROR in severities:
        raise CommandFailed(f"{path}: not correct", ExitStatus.USAGE_ERROR)
    if Severity.WARNING in severities:
        raise CommandFailed(f"{path}: correct, with warnings", ExitStatus.FAILED)
    if not as_json:
        _print_text(f"{path}: correct")


def _read(kind: FileKind, path: str) -> tuple[Any, list[Finding]]:
    """Return the content of a file, None with findings that say why there is none."""
    try:
        return kind.parse(_read_text(path)), []
    except MalformedDocument as error:
        problems = error.problems
    except InvalidObjects as error:
        problems = [problem.removeprefix("objects: ") for problem in error.problems]
    findings = []
    for problem in problems:
        place, _, message = problem.partition(": ")
        findings.append(Finding(Severity.ERROR, place, message or place))
    return None, findings


def _read_text(path: str) -> str:
    """Return the text of a file, if it is no longer than a store accepts."""
    try:
        with open(path, "rb", opener=_open_at_once) as file:
            if not stat.S_ISREG(os.fstat(file.fileno()).st_mode):
                message = f"{path}: is not a regular file"
                raise CommandFailed(message, ExitStatus.USAGE_ERROR)
            data = file.read(MAX_BYTES + 1)
        if len(data) > MAX_BYTES:
            message = f"{path}: is larger than {MAX_BYTES} bytes"
            raise CommandFailed(message, ExitStatus.USAGE_ERROR)
        text = data.decode()
    except (OSError, ValueError) as error:
        message = f"{path}: cannot be read: {error}"
        raise CommandFailed(message, ExitStatus.USAGE_ERROR) from error
    if not text.strip():
        raise CommandFailed(f"{path}: is empty", ExitStatus.USAGE_ERROR)
    return text


def _open_at_once(path: str, flags: int) -> int:
    """Open a file, also a pipe, without waiting for its writer."""
    return os.open(path, flags | os.O_NONBLOCK)


def _print(path: str, findings: list[Finding], as_json: bool) -> None:
    for finding in findings:
        severity = finding.severity.value
        if as_json:
            row = {
                "file": path,
                "severity": severity,
                "place": finding.place,
                "message": finding.message,
            }
            print(json.dumps(row))
        else:
            line = f"{path}: {severity}: {finding.place}: {finding.message}"
            _print_text(line)


def _print_text(line: str) -> None:
    """Print a line, with an escape for what the output can't encode."""
    encoding = sys.stdout.encoding or "utf-8"
    print(line.encode(encoding, "backslashreplace").decode(encoding))
