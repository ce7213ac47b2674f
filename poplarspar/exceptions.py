"""Exceptions of every layer, rooted in one base class."""


class PoplarsparError(Exception):
    """Base class of all errors that this package raises."""


class StateError(PoplarsparError):
    """A value of the state layer is inconsistent."""


class InvalidObjects(StateError):
    """A set of objects failed its checks.

    Parameters
    ----------
    problems : list of str
        Every problem found, one sentence each.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class CoordinationError(PoplarsparError):
    """A decision could not be taken or carried out."""


class StoreUnavailable(CoordinationError):
    """The platform's store gave no answer, so the outcome is unknown."""


class RevisionConflict(CoordinationError):
    """A compare-and-swap named a revision that is no longer current."""


class HistoryLost(CoordinationError):
    """The store no longer has the changes after a revision; read all anew."""


class LeaseEnded(CoordinationError):
    """A write named a lease that the store no longer has."""


class BackendFailed(CoordinationError):
    """A backend server broke off an answer or refused to give one.

    Parameters
    ----------
    message : str
        What happened.
    sent : bool
        Whether any byte of the request may have reached the backend server.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ProtocolError(PoplarsparError):
    """A message, document or settings file does not follow its format."""


class InvalidSettings(ProtocolError):
    """A settings file failed its checks."""


class InvalidRequest(ProtocolError):
    """A caller's or operator's request failed its checks."""


class MalformedFrame(ProtocolError):
    """A peer sent a frame that cannot be decoded."""


class MalformedDocument(ProtocolError):
    """A document in the store cannot be decoded."""


class TransportError(PoplarsparError):
    """A connection failed or timed out."""


class ConnectFailed(TransportError):
    """No connection could be made, so nothing was sent."""


class ConnectionLost(TransportError):
    """An open connection broke or went silent."""


class FrameTooLong(TransportError):
    """A peer announced a frame above the size bound."""


class CallerGone(PoplarsparError):
    """A caller closed its connection before it had its answer.

    It ends the caller's task from any place, so no layer takes it for a fault of
    its own connections.
    """
