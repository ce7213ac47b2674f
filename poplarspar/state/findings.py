"""Findings of the check of a configuration."""

from dataclasses import dataclass
from enum import Enum


class Severity(Enum):
    """How much a finding matters.

    ERROR: the configuration is refused, or does what nobody can want. WARNING: an entry
    has no effect, or limits contradict each other. DIFFERENCE: it differs from the
    configuration in force.
    """

    ERROR = "error"
    WARNING = "warning"
    DIFFERENCE = "difference"


@dataclass(frozen=True)
class Finding:
    """One finding; `place` names the entry and the field."""

    severity: Severity
    place: str
    message: str
