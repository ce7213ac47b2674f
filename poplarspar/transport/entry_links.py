"""An entry's link to a steward, from which it has its view and freshness."""

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
PONG_TIMEOUT_S = 0.7


class StewardPoller:
    """Keeps an entry linked to one of its stewards.

    Parameters
    ----------
    addresses : list of str
        Peer addresses of the stewards to try, the preferred one first.
    status : callable
        Returns this entry's status for the next question.
    apply : callable
        Takes in newer values before the freshness that comes with them.
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
        """Question stewards for as long as the process lives."""
        for address in itertools.cycle(self._addresses):
            try:
                self._follow_one(address)
            except (TransportError, ProtocolError) as error:
                log_event(Event.STEWARD_LOST, steward=address, cause=str(error))
                eventlet.sleep(PING_PERIOD_S / 2)

    def _follow_one(self, address: str) -> None:
        link = connect(address, self._identity)
        try:
            while True:
                if self._ask(link):
                    # The next question says that the news is in force here.
                    continue
                eventlet.sleep(PING_PERIOD_S)
                if not self._freshness.is_fresh():
                    raise ProtocolError("the steward is not fresh itself")
        finally:
            link.close()

    def _ask(self, link: Link) -> bool:
        """Ask the steward once and return whether it had newer values."""
        asked_at = time.monotonic()
        match link.request(EntryPing(self._status()), PONG_TIMEOUT_S):
            case EntryPong(fresh_for_s, values):
                self._apply(values)
                self._freshness.extend(asked_at, fresh_for_s)
                return bool(values)
            case other:
                raise ProtocolError(f"unexpected {type(other).__name__}")
