"""Numbered log events."""

from enum import Enum


class Event(Enum):
    """Every event: its number, message, cause, and what an operator does."""

    STARTED = (
        100,
        "daemon started",
        "A process came up and listens at the addresses in the line.",
        "Nothing.",
    )
    DRAINING = (
        101,
        "graceful shutdown began",
        "The process got SIGTERM or SIGINT.",
        "Wait for event 102; it lets running requests finish.",
    )
    STOPPED = (
        102,
        "daemon stopped",
        "A graceful shutdown ended; `running` counts requests that did not finish.",
        "If `running` is not 0, raise drain_timeout_s.",
    )
    SIGNAL_IGNORED = (
        104,
        "second stop signal while shutting down",
        "A stop signal came again during a graceful shutdown.",
        "Wait, or end the process by SIGKILL and lose its running requests.",
    )
    SETTINGS_APPLIED = (
        106,
        "changed settings applied",
        "The settings file has changed.",
        "Nothing.",
    )
    SETTINGS_REJECTED = (
        107,
        "changed settings rejected",
        "The settings file has changed to something that can't be applied.",
        "Correct the file; the process goes on with the old settings.",
    )
    LINES_LEFT_OUT = (
        105,
        "log lines left out",
        "More lines of these events came in a second than are written.",
        "Nothing; `lines_by_event` counts them.",
    )
    VIEW_CHANGED = (
        200,
        "new revision in force here",
        "An entry acts on newer objects, replica groups or owners.",
        "Nothing.",
    )
    STEWARD_LOST = (
        203,
        "link to steward lost",
        "A steward ended, was cut off, or is itself not fresh.",
        "Nothing if it passes; the entry tries its other stewards.",
    )
    PEER_REFUSED = (
        205,
        "peer refused",
        "A process sent a frame that is too long, malformed or not of this cluster.",
        "Check the peer_token and the address of whoever connected.",
    )
    PEER_LOST = (
        206,
        "link to peer steward lost",
        "Another steward ended or was cut off.",
        "Nothing if it passes; look at that VM and the network if it stays.",
    )
    PLANNER_CHANGED = (
        210,
        "another planner, or none",
        "The node that orders replica groups ended or lost its lease.",
        "Nothing; a new one is named within three seconds.",
    )
    PLANNER_STARTED = (
        211,
        "this node is the planner",
        "It took the lease that was free.",
        "Nothing.",
    )
    PLANNER_STOPPED = (
        212,
        "this node is the planner no more",
        "It lost its lease, is stopping, or a newer planner has given orders.",
        "Nothing.",
    )
    PLANNER_LOST = (
        213,
        "link to the planner lost",
        "The planner ended or was cut off.",
        "Nothing if it passes; the entries of backend servers serve meanwhile.",
    )
    PLANNER_READY = (
        214,
        "planner has heard from the backend servers",
        "It knows the replica groups and goes on with them.",
        "Nothing.",
    )
    POOL_STATE = (
        215,
        "state of a pool",
        "The planner's counts of a model service's backend servers and groups.",
        "Look at silent and held ones if groups are fewer than their weights ask for.",
    )
    CONFIGURATION_IN_FORCE = (
        220,
        "configuration in force here",
        "The operator wrote a newer version.",
        "Nothing.",
    )
    ZONES_EVACUATED = (
        221,
        "evacuated zones changed",
        "The operator emptied a zone or took it back.",
        "Nothing.",
    )
    BACKEND_LISTED = (
        230,
        "backend server listed",
        "A backend server came, or says that it is about to leave.",
        "Nothing.",
    )
    BACKEND_GONE = (
        231,
        "backend server no longer listed",
        "Its entry ended; nothing is sent to it any more.",
        "Nothing if it was stopped; look at its VM otherwise.",
    )
    DOCUMENT_MALFORMED = (
        232,
        "entry can't be decoded",
        "Another writer put something else at the key.",
        "Look for who writes there.",
    )
    GROUP_FORMING = (
        240,
        "replica group is being formed",
        "The planner ordered its members to join.",
        "Nothing.",
    )
    GROUP_OPENED = (
        241,
        "replica group serves",
        "All members are ready and the head was opened.",
        "Nothing.",
    )
    GROUP_BROKEN = (
        242,
        "replica group lost a member",
        "A member fell silent or is leaving; the group is closed.",
        "Nothing; look at the silent VMs.",
    )
    GROUP_ABANDONED = (
        243,
        "replica group could not be formed",
        "A member was lost, or did not get ready in time.",
        "Nothing; its other members are used again.",
    )
    GROUP_GIVEN_UP = (
        245,
        "replica group is given up for another model",
        "Another model has far fewer groups than its demand needs.",
        "Nothing.",
    )
    GROUP_SLOW = (
        246,
        "replica group is given up for its slow member",
        "A member reports that it is slow, and a spare can take its place.",
        "Look at the slow VM.",
    )
    HEAD_SILENT = (
        244,
        "head of a replica group is silent",
        "It was lost, or only this node can't reach it.",
        "Nothing; the other members are used again when it must have given up.",
    )
    ORDER_ACCEPTED = (
        252,
        "order accepted",
        "A backend server took an order of the planner.",
        "Nothing.",
    )
    ORDER_REFUSED = (
        250,
        "order refused",
        "The backend server's state had changed, or a newer planner gave orders.",
        "Nothing.",
    )
    ORDER_UNANSWERED = (
        251,
        "order without an answer",
        "The order or its answer was lost; it may be carried out later.",
        "Nothing; the next round looks at what it did.",
    )
    STORE_LOST = (
        300,
        "store does not answer",
        "The platform's store is down, slow or cut off.",
        "Service goes on; changes can't be published and calls that must not be "
        "repeated are refused until event 301.",
    )
    STORE_BACK = (
        301,
        "store answers again",
        "An outage of the store ended for this steward.",
        "Nothing.",
    )
    HISTORY_LOST = (
        302,
        "store forgot its history",
        "It dropped changes that this node had not read.",
        "Nothing; everything is read anew.",
    )
    LEASE_NOT_ENDED = (
        303,
        "lease could not be given up",
        "The store did not answer while the process stopped.",
        "Nothing; the lease ends by itself.",
    )
    LEASE_NOT_HELD = (
        305,
        "lease or planner's key could not be had",
        "The store did not answer, or another node was quicker.",
        "Nothing; it is tried again.",
    )
    SPARES_NOT_KEPT = (
        304,
        "models of spares could not be kept",
        "The store did not answer, or another planner wrote them.",
        "Nothing; it is written again.",
    )
    PUBLISHED = (
        400,
        "objects published",
        "An operator's change was accepted.",
        "Nothing; `poplarspar audit` shows the change.",
    )
    PUBLISH_CONFLICT = (
        401,
        "publish met a conflict",
        "Another operator's change came first.",
        "Take over that change and publish again on the new revision.",
    )
    PUBLISH_UNKNOWN = (
        402,
        "outcome of a publish is unknown",
        "The store gave no answer, neither to the write nor to a look afterwards.",
        "When the store is back, look for the change in `poplarspar audit`.",
    )
    OPERATOR_REFUSED = (
        403,
        "operator request without a valid token",
        "Somebody used the operators' address with a wrong token.",
        "Check POPLARSPAR_TOKEN; if it was nobody of yours, change operator_token.",
    )
    PUBLISH_UNAVAILABLE = (
        404,
        "change not tried",
        "The store could not be read, so a change of one object was not tried.",
        "Try again when the store is back (event 301).",
    )
    REQUEST_REFUSED = (
        410,
        "request refused",
        "The line's `reason` and `cause` say why; `ran` whether it may have run.",
        "See docs/OPERATIONS.md.",
    )
    STREAM_BROKEN = (
        411,
        "stream cut in mid-answer",
        "No replica group could go on with it in time.",
        "See docs/OPERATIONS.md.",
    )
    CALLER_GONE = (
        412,
        "caller left before its answer",
        "It closed the connection; the work for it was cancelled.",
        "Nothing.",
    )
    REQUEST_ANSWERED = (
        413,
        "request answered",
        "The whole answer of `backend` was passed on.",
        "Nothing.",
    )
    ATTEMPT_FAILED = (
        414,
        "attempt at a backend server failed",
        "It could not be reached, declined, or gave no sound answer; see `result`.",
        "Look at the backend server if it stands out.",
    )
    STREAM_RESUMED = (
        415,
        "stream broke and goes on elsewhere",
        "The replica group of `backend` was lost in mid-answer.",
        "Nothing, unless event 411 follows for the same id.",
    )
    STREAMS_MOVED = (
        417,
        "streams go on elsewhere, since their group stands still",
        "Nothing came from the replica group of `backend` for `stalled_ms`.",
        "Nothing; look at that backend server if it stands out.",
    )
    NO_PLACE = (
        416,
        "no place for a request",
        "`expected` requests were at `slots` slots of the places for it.",
        "If it lasts, add backend servers; see event 215 for the groups.",
    )
    REQUEST_FAILED = (
        500,
        "request failed inside the daemon",
        "A fault of this software.",
        "Report it with the line's `cause`.",
    )

    TASK_FAILED = (
        501,
        "task failed and starts again",
        "A fault of this software, or a document of another version in the store.",
        "Report it with the line's `task` and `cause`.",
    )

    @property
    def number(self) -> int:
        """The event's number."""
        return self.value[0]

    @property
    def message(self) -> str:
        """The event's message."""
        return self.value[1]

    @property
    def cause(self) -> str:
        """What brings the event about."""
        return self.value[2]

    @property
    def action(self) -> str:
        """What an operator does about it."""
        return self.value[3]


def find_event(number: int) -> Event | None:
    """Return the event with a number, None if there is no such event."""
    return next((event for event in Event if event.number == number), None)
