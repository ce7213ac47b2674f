"""Exceptions of all layers, derived from one base class."""


class PoplarsparError(Exception):
    """Base class of all errors that this package raises."""


class StateError(PoplarsparError):
    """A value of the state layer is inconsistent."""


class InvalidObjects(StateError):
    """A set of objects failed validation.

    Parameters
    ----------
    problems : list of str
        All problems found, one sentence each.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class CoordinationError(PoplarsparError):
    """The coordination layer could not make a decision or carry it out."""


class StoreUnavailable(CoordinationError):
    """The store did not answer, so the outcome is unknown."""


class CallInterrupted(StoreUnavailable):
    """The store closed a connection, sent no readable answer, or limited the rate.

    Unlike silence, one such call does not show that the store is unavailable.
    """


class WatchAbandoned(CoordinationError):
    """The answer to a watch request is no longer waited for."""


class RevisionConflict(CoordinationError):
    """A compare-and-swap expected a revision that is no longer current."""


class HistoryLost(CoordinationError):
    """The store has compacted the changes after a revision; read a full snapshot."""


class LeaseEnded(CoordinationError):
    """A write used a lease that has expired at the store."""


class BackendFailed(CoordinationError):
    """A backend server aborted its answer or refused the request.

    Parameters
    ----------
    message : str
        Description of the failure.
    sent : bool
        Whether any byte of the request may have reached the backend server.
    disconnected : bool
        Whether the backend server closed or reset the connection before its answer
        was complete, as it does when it crashes.
    """

    def __init__(self, message: str, *, sent: bool, disconnected: bool = False) -> None:
        super().__init__(message)
        self.sent = sent
        self.disconnected = disconnected


class ProtocolError(PoplarsparError):
    """A message, document or settings file does not follow its format."""


class AnswerTruncated(ProtocolError):
    """An answer ended inside one of its events."""


class MalformedAnswer(ProtocolError):
    """Bytes that arrived as an answer do not follow the grammar of HTTP/1.1."""


class InvalidSettings(ProtocolError):
    """A settings file failed validation."""


class InvalidRequest(ProtocolError):
    """A caller's or operator's request failed validation."""


class MalformedFrame(ProtocolError):
    """A peer sent a frame that cannot be decoded."""


class MalformedDocument(ProtocolError):
    """A document in the store cannot be decoded.

    Parameters
    ----------
    problems : tuple of str
        All problems of the document, of which the message names the first.
    """

    def __init__(self, message: str, problems: tuple[str, ...] = ()) -> None:
        super().__init__(message)
        self.problems = problems or (message,)


class TransportError(PoplarsparError):
    """A connection failed or timed out."""


class ConnectFailed(TransportError):
    """The connection attempt failed, so no byte was sent."""


class ConnectionLost(TransportError):
    """An open connection broke or timed out."""


class PeerDisconnected(ConnectionLost):
    """The peer closed or reset a connection before its answer was complete."""


class UnreadableAnswer(ConnectionLost):
    """The peer sent bytes that are no answer; the connection is closed."""


class RequestRefused(TransportError):
    """A steward answered an operator's request with an error."""


class FrameTooLong(TransportError):
    """A peer announced a frame above the size limit."""


class ShutdownEnded(PoplarsparError):
    """The process ends before a request has been answered.

    Like `CallerGone`, it ends the work on the request from any layer.
    """


class CallerGone(PoplarsparError):
    """A caller closed its connection before it received its answer.

    It ends the caller's task from any layer. It is no `TransportError`, so that no
    layer handles it as a failure of its own connections.
    """
