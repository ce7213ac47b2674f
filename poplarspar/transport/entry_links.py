"""An entry's link to a steward, which supplies its view and freshness."""

import itertools
import time
from collections.abc import Callable

import eventlet

from poplarspar.coordination.freshness import EntryFreshness
from poplarspar.events import Event
from poplarspar.exceptions import ProtocolError, TransportError
from poplarspar.logs import log_event
from poplarspar.protocol.peers import EntryPing, EntryPong
from poplarspar.state.entries import EntryStatus
from poplarspar.state.snapshot import StoredValue
from poplarspar.transport.links import Identity, Link, connect

PING_PERIOD_S = 0.5
ANSWER_TIMEOUT_S = 0.7


class StewardPoller:
    """Polls one steward at a time and fails over to the next.

    Parameters
    ----------
    addresses : list of str
        Peer addresses of the stewards to try, the preferred one first.
    status : callable
        Returns this entry's status for the next ping.
    apply : callable
        Applies newer values; called before the entry's freshness is extended.
    """

    def __init__(
        self,
        addresses: list[str],
        identity: Identity,
        freshness: EntryFreshness,
        status: Callable[[], EntryStatus],
        apply: Callable[[list[StoredValue]], None],
    ) -> None:
        self._addresses = addresses
        self._identity = identity
        self._freshness = freshness
        self._status = status
        self._apply = apply

    def run(self) -> None:
        """Poll a steward until its link fails, then the next one, without end."""
        for address in itertools.cycle(self._addresses):
            try:
                self._poll_until_lost(address)
            except (TransportError, ProtocolError) as error:
                log_event(Event.STEWARD_LOST, steward=address, cause=str(error))
                eventlet.sleep(PING_PERIOD_S / 2)

    def _poll_until_lost(self, address: str) -> None:
        link = connect(address, self._identity)
        try:
            while True:
                if self._poll(link):
                    # Pings again at once, which reports the new revision as in force.
                    continue
                eventlet.sleep(PING_PERIOD_S)
                if not self._freshness.is_fresh():
                    raise ProtocolError("the steward itself is not fresh")
        finally:
            link.close()

    def _poll(self, link: Link) -> bool:
        """Ping the steward once and return whether it sent newer values."""
        asked_at = time.monotonic()
        match link.request(EntryPing(self._status()), ANSWER_TIMEOUT_S):
            case EntryPong(fresh_for_s, values):
                self._apply(values)
                self._freshness.extend(asked_at, fresh_for_s)
                return bool(values)
            case other:
                raise ProtocolError(f"unexpected {type(other).__name__}")
