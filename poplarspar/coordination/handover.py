"""Handovers of backend servers from one owner to the next."""

import time

from poplarspar.coordination.barrier import WithdrawalBarrier
from poplarspar.state.ownership import Ownership


class Handovers:
    """Since when the previous owners of backend servers send nothing new."""

    def __init__(self, barrier: WithdrawalBarrier) -> None:
        self._barrier = barrier
        self._revision_by_handover: dict[tuple[str, int], int] = {}
        self._withdrawn_at_by_handover: dict[tuple[str, int], float] = {}

    def update(self, revision: int, by_backend: dict[str, Ownership]) -> None:
        """Take in the owner table at a store revision."""
        open_lines = {
            (backend, line.generation)
            for backend, line in by_backend.items()
            if line.previous
        }
        self._revision_by_handover = {
            line: self._revision_by_handover.get(line, revision) for line in open_lines
        }
        self._withdrawn_at_by_handover = {
            line: at
            for line, at in self._withdrawn_at_by_handover.items()
            if line in open_lines
        }
        for line, seen_at in self._revision_by_handover.items():
            if self._barrier.has_passed(seen_at):
                self._withdrawn_at_by_handover.setdefault(line, time.monotonic())

    def withdrawn_at(self, backend: str, ownership: Ownership) -> float | None:
        """Return since when the previous owner sends nothing new, if it is known."""
        return self._withdrawn_at_by_handover.get((backend, ownership.generation))
