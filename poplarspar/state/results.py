"""Outcome of a step that may be refused, for `match` statements."""

from dataclasses import dataclass
from typing import Generic, TypeVar

Value = TypeVar("Value")
Cause = TypeVar("Cause")


@dataclass(frozen=True)
class Ok(Generic[Value]):
    """The step succeeded with a value."""

    value: Value


@dataclass(frozen=True)
class Error(Generic[Cause]):
    """The step failed for a cause, such as a refusal."""

    cause: Cause


Result = Ok[Value] | Error[Cause]
