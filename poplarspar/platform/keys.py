"""Keys of the platform's store and decoding of their values."""

from poplarspar.coordination.fleet import (
    NewConfiguration,
    OperatorChange,
    ZoneEvacuated,
)
from poplarspar.coordination.store_ports import (
    Change,
)
from poplarspar.platform.documents import parse_backend, parse_configuration
from poplarspar.state.backends import BackendServer

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
BACKEND_PREFIX = "servers/"


class PlatformDocuments:
    """Decodes values of the store; see `coordination.fleet.FleetDocuments`."""

    def decode_operator_change(self, change: Change) -> OperatorChange | None:
        """Decode an operator's change; None if it does not affect the node."""
        if change.key.startswith(EVACUATION_PREFIX):
            zone = change.key.removeprefix(EVACUATION_PREFIX)
            return ZoneEvacuated(zone, change.text is not None)
        if change.key == CONFIGURATION_KEY and change.text is not None:
            return NewConfiguration(parse_configuration(change.text))
        return None

    def decode_backend(self, change: Change) -> BackendServer:
        """Decode a backend server's entry."""
        return parse_backend(self.backend_id(change.key), change.text or "")

    def backend_id(self, key: str) -> str:
        """Return the id of the backend server whose entry is at a key."""
        return key.removeprefix(BACKEND_PREFIX)
