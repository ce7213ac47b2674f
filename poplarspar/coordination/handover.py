"""Handovers of backend servers from one owner to the next."""

import time

from poplarspar.coordination.barrier import WithdrawalBarrier
from poplarspar.state.ownership import Ownership


class Handovers:
    """Records when each previous owner stopped sending new requests.

    A handover is identified by its backend server and the generation of the
    owner table that began it.
    """

    def __init__(self, barrier: WithdrawalBarrier) -> None:
        self._barrier = barrier
        self._revision_by_handover: dict[tuple[str, int], int] = {}
        self._withdrawn_at_by_handover: dict[tuple[str, int], float] = {}

    def update(self, revision: int, by_backend: dict[str, Ownership]) -> None:
        """Update the handovers from the owner table at store revision `revision`."""
        open_handovers = {
            (backend, ownership.generation)
            for backend, ownership in by_backend.items()
            if ownership.previous
        }
        self._revision_by_handover = {
            handover: self._revision_by_handover.get(handover, revision)
            for handover in open_handovers
        }
        self._withdrawn_at_by_handover = {
            handover: at
            for handover, at in self._withdrawn_at_by_handover.items()
            if handover in open_handovers
        }
        for handover, began_at_revision in self._revision_by_handover.items():
            if self._barrier.has_passed(began_at_revision):
                self._withdrawn_at_by_handover.setdefault(handover, time.monotonic())

    def withdrawn_at(self, backend: str, ownership: Ownership) -> float | None:
        """Return when the previous owner stopped sending new requests.

        Returns a monotonic time in seconds, or None while the previous owner may
        still send new requests.
        """
        return self._withdrawn_at_by_handover.get((backend, ownership.generation))
