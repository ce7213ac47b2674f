"""Where things lie in the platform's store."""

from poplarspar.coordination.fleet import (
    NewConfiguration,
    OperatorChange,
    ZoneEvacuated,
)
from poplarspar.coordination.ports import Change
from poplarspar.platform.documents import parse_backend, parse_configuration
from poplarspar.state.backends import BackendServer

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
BACKEND_PREFIX = "servers/"


class PlatformDocuments:
    """Decodes values of the store; see `coordination.fleet.FleetDocuments`."""

    def decode_operator_change(self, change: Change) -> OperatorChange | None:
        """Decode a change of the operator, None if it concerns nothing here."""
        if change.key.startswith(EVACUATION_PREFIX):
            zone = change.key.removeprefix(EVACUATION_PREFIX)
            return ZoneEvacuated(zone, change.text is not None)
        if change.key == CONFIGURATION_KEY and change.text is not None:
            return NewConfiguration(parse_configuration(change.text))
        return None

    def decode_backend(self, change: Change) -> BackendServer:
        """Decode an entry of a backend server."""
        return parse_backend(self.backend_id(change.key), change.text or "")

    def backend_id(self, key: str) -> str:
        """Return the id of the backend server whose entry is at a key."""
        return key.removeprefix(BACKEND_PREFIX)
