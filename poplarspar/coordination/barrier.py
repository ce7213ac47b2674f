"""Determines when no node starts new work based on a view older than a revision.

A revision may withdraw a VM from a replica group or a backend server from its owner.
A node acts on a view only while it is fresh. Once a majority of stewards acts on a
revision, every other node either receives it or stops being fresh within the
freshness bound. So `WITHDRAWAL_DELAY_S` after a steward records that a majority acts
on the revision, no node starts new work based on an older one.
"""

import time
from collections import deque

from poplarspar.coordination.freshness import WITHDRAWAL_DELAY_S


class WithdrawalBarrier:
    """Tracks when a majority of stewards began to act on each revision."""

    def __init__(self) -> None:
        self._pending: deque[tuple[int, float]] = deque()
        self._passed_revision = 0

    def record_majority(self, revision: int) -> None:
        """Record that a majority of stewards acts on `revision` now."""
        if not self._pending or revision > self._pending[-1][0]:
            self._pending.append((revision, time.monotonic()))
        self._advance()

    def has_passed(self, revision: int) -> bool:
        """Return whether no node starts work on a view older than `revision`."""
        self._advance()
        return revision <= self._passed_revision

    def _advance(self) -> None:
        limit = time.monotonic() - WITHDRAWAL_DELAY_S
        while self._pending and self._pending[0][1] <= limit:
            self._passed_revision = self._pending.popleft()[0]
