"""Quarantine of prompt parts that crash backend servers."""

from poplarspar.coordination.quarantine.evidence import EvidenceTable
from poplarspar.coordination.quarantine.exchange import (
    QUARANTINE_PREFIX,
    QuarantineDocuments,
    QuarantineExchange,
)
from poplarspar.coordination.quarantine.observations import (
    Admitted,
    Observation,
    Quarantined,
)
from poplarspar.coordination.quarantine.quarantine import (
    CONVICTION_DELAY_S,
    Quarantine,
)

__all__ = [
    "CONVICTION_DELAY_S",
    "QUARANTINE_PREFIX",
    "Admitted",
    "EvidenceTable",
    "Observation",
    "Quarantine",
    "QuarantineDocuments",
    "QuarantineExchange",
    "Quarantined",
]
