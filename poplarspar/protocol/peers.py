"""Cap'n Proto messages between daemons."""

from dataclasses import dataclass
from pathlib import Path

import capnp

from poplarspar.exceptions import MalformedFrame
from poplarspar.protocol.plans import (
    read_node_load,
    read_plan_update,
    set_fields,
    set_node_load,
    set_plan_update,
)
from poplarspar.state.entries import EntryStatus
from poplarspar.state.outcomes import Broken, Completed, Outcome, Unused
from poplarspar.state.plan import NodeLoad, PlanUpdate
from poplarspar.state.refusals import Reason, Refusal
from poplarspar.state.snapshot import StoredValue

capnp.remove_import_hook()
# A damaged frame of a few bytes can declare lists of any length. Bounds in words of 8
# bytes: zeros are packed to nearly nothing, other words to two bytes at least.
MIN_TRAVERSED_WORDS = 65_536
TRAVERSED_WORDS_PER_BYTE = 4
# A zero word is packed to two zero bytes.
PACKED_ZERO_WORD = b"\x00\x00"
_SCHEMA = capnp.load(str(Path(__file__).with_name("cluster.capnp")))


@dataclass(frozen=True)
class Hello:
    """First message on every link; names the sender."""

    name: str


@dataclass(frozen=True)
class EntryPing:
    """An entry's heartbeat to its steward, with the entry's status."""

    entry: EntryStatus


@dataclass(frozen=True)
class EntryPong:
    """The steward's answer to `EntryPing`, with the values new to the entry.

    Attributes
    ----------
    fresh_for_s : float
        Seconds for which the steward's view stays fresh.
    """

    fresh_for_s: float
    values: list[StoredValue]


@dataclass(frozen=True)
class PeerPing:
    """A steward's heartbeat to a peer, with the steward's revision."""

    revision: int


@dataclass(frozen=True)
class PeerPong:
    """The peer's answer to `PeerPing`, with the values new to the sender."""

    revision: int
    in_force: int
    synced: bool
    values: list[StoredValue]
    entries: list[EntryStatus]


@dataclass(frozen=True)
class Borrow:
    """Request to borrow a slot.

    Attributes
    ----------
    wait_s : float
        Seconds that the lender may wait for a free slot.
    hold_s : float
        Seconds after which the borrower's request has ended in any case.
    """

    workspace: str
    weight: int
    queue_limit: int
    deployment: str
    tokens: int
    wait_s: float
    hold_s: float


@dataclass(frozen=True)
class Lent:
    """A slot, lent until the borrower returns it on the same link."""

    backend: str
    address: str


@dataclass(frozen=True)
class Declined:
    """The lender's refusal to lend a slot."""

    refusal: Refusal


@dataclass(frozen=True)
class Returned:
    """Return of a borrowed slot."""

    outcome: Outcome


Message = (
    Hello
    | EntryPing
    | EntryPong
    | PeerPing
    | PeerPong
    | Borrow
    | Lent
    | Declined
    | Returned
    | NodeLoad
    | PlanUpdate
)


def encode(message: Message) -> bytes:
    """Return the frame of a message."""
    # Fields are set one by one: to set a union from a dictionary, pycapnp raises and
    # catches a C++ exception internally, which must not happen on a green thread.
    frame = _SCHEMA.Message.new_message()
    match message:
        case Hello():
            set_fields(frame.init("hello"), name=message.name)
        case EntryPing():
            _set_entry(frame.init("entryPing").init("entry"), message.entry)
        case EntryPong():
            pong = set_fields(frame.init("entryPong"), freshForS=message.fresh_for_s)
            _set_values(pong, message.values)
        case PeerPing():
            set_fields(frame.init("peerPing"), revision=message.revision)
        case PeerPong():
            _set_peer_pong(frame.init("peerPong"), message)
        case Borrow():
            _set_borrow(frame.init("borrow"), message)
        case Lent():
            lent = frame.init("lent")
            set_fields(lent, backend=message.backend, address=message.address)
        case Declined(refusal):
            declined = frame.init("declined")
            set_fields(declined, reason=refusal.reason.value, message=refusal.message)
        case Returned():
            _set_outcome(frame.init("returned"), message.outcome)
        case NodeLoad():
            set_node_load(frame.init("nodeLoad"), message)
        case PlanUpdate():
            set_plan_update(frame.init("planUpdate"), message)
    return frame.to_bytes_packed()


def decode(data: bytes) -> Message:
    """Decode the message in a frame; raises `MalformedFrame`."""
    try:
        max_words = MIN_TRAVERSED_WORDS + TRAVERSED_WORDS_PER_BYTE * len(data)
        # The library's reader throws from its destructor, which ends the process, if
        # packed data end before the declared segments do. With enough zeros after them
        # every message within the bound is complete.
        frame = _SCHEMA.Message.from_bytes_packed(
            data + PACKED_ZERO_WORD * max_words, traversal_limit_in_words=max_words
        )
        return _decode(frame)
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise MalformedFrame(f"not a message: {type(error).__name__}") from error


def _decode(frame) -> Message:
    match frame.which():
        case "hello":
            return Hello(frame.hello.name)
        case "entryPing":
            return EntryPing(_read_entry(frame.entryPing.entry))
        case "entryPong":
            pong = frame.entryPong
            return EntryPong(
                pong.freshForS, [_read_value(value) for value in pong.values]
            )
        case "peerPing":
            return PeerPing(frame.peerPing.revision)
        case "peerPong":
            return _read_peer_pong(frame.peerPong)
        case "borrow":
            return _read_borrow(frame.borrow)
        case "lent":
            return Lent(frame.lent.backend, frame.lent.address)
        case "declined":
            declined = frame.declined
            return Declined(Refusal(Reason(declined.reason), declined.message))
        case "returned":
            return Returned(_read_outcome(frame.returned))
        case "nodeLoad":
            return read_node_load(frame.nodeLoad)
        case "planUpdate":
            return read_plan_update(frame.planUpdate)
        case other:
            raise MalformedFrame(f"unknown message {other!r}")


def _set_entry(builder, entry: EntryStatus) -> None:
    set_fields(
        builder,
        name=entry.name,
        zone=entry.zone,
        lendingAddress=entry.lending_address,
        revision=entry.revision,
        leaving=entry.leaving,
        running=entry.running,
    )
    drained = builder.init("drained", len(entry.drained))
    for index, handover in enumerate(entry.drained):
        drained[index] = handover


def _read_entry(fields) -> EntryStatus:
    return EntryStatus(
        fields.name,
        fields.zone,
        fields.lendingAddress,
        fields.revision,
        fields.leaving,
        fields.running,
        tuple(fields.drained),
    )


def _set_values(builder, values: list[StoredValue]) -> None:
    items = builder.init("values", len(values))
    for item, value in zip(items, values, strict=True):
        set_fields(item, key=value.key, revision=value.revision, text=value.text)


def _read_value(fields) -> StoredValue:
    return StoredValue(fields.key, fields.revision, fields.text)


def _set_peer_pong(builder, message: PeerPong) -> None:
    set_fields(
        builder,
        revision=message.revision,
        inForce=message.in_force,
        synced=message.synced,
    )
    _set_values(builder, message.values)
    entries = builder.init("entries", len(message.entries))
    for item, entry in zip(entries, message.entries, strict=True):
        _set_entry(item, entry)


def _read_peer_pong(fields) -> PeerPong:
    return PeerPong(
        fields.revision,
        fields.inForce,
        fields.synced,
        [_read_value(value) for value in fields.values],
        [_read_entry(entry) for entry in fields.entries],
    )


def _set_borrow(builder, message: Borrow) -> None:
    set_fields(
        builder,
        workspace=message.workspace,
        weight=message.weight,
        queueLimit=message.queue_limit,
        deployment=message.deployment,
        tokens=message.tokens,
        waitS=message.wait_s,
        holdS=message.hold_s,
    )


def _read_borrow(fields) -> Borrow:
    return Borrow(
        fields.workspace,
        fields.weight,
        fields.queueLimit,
        fields.deployment,
        fields.tokens,
        fields.waitS,
        fields.holdS,
    )


def _set_outcome(builder, outcome: Outcome) -> None:
    match outcome:
        case Completed(incarnation):
            set_fields(builder, outcome="completed", incarnation=incarnation)
        case Broken():
            set_fields(builder, outcome="broken")
        case Unused():
            set_fields(builder, outcome="unused")


def _read_outcome(fields) -> Outcome:
    match fields.outcome:
        case "completed":
            return Completed(fields.incarnation)
        case "broken":
            return Broken()
        case "unused":
            return Unused()
        case other:
            raise MalformedFrame(f"unknown outcome {other!r}")
