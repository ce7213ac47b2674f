"""Exit statuses of the command line, and the error that carries one."""

from enum import IntEnum

from poplarspar.exceptions import PoplarsparError


class ExitStatus(IntEnum):
    """Exit statuses of the command line."""

    SUCCESS = 0
    FAILED = 1
    USAGE_ERROR = 2
    NOT_YET_IN_FORCE = 3
    CONFLICT = 4
    UNKNOWN_OUTCOME = 5


class CommandFailed(PoplarsparError):
    """A command failed with a message and an exit status."""

    def __init__(self, message: str, status: ExitStatus) -> None:
        super().__init__(message)
        self.status = status
