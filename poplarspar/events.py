"""Catalogue of numbered log events."""

from enum import Enum


class Event(Enum):
    """Log events, each with number, message, cause and operator's action."""

    STARTED = (
        100,
        "daemon started",
        "The process started and listens at the addresses in the line.",
        "Nothing.",
    )
    DRAINING = (
        101,
        "graceful shutdown began",
        "The process received SIGTERM or SIGINT.",
        "Wait for event 102; the process finishes requests in flight first.",
    )
    CALLERS_DISCONNECTED = (
        108,
        "idle connections of callers closed",
        "A graceful shutdown accepts no more callers; `running` counts their requests.",
        "Nothing; it follows event 101 after a fixed time, whether the store answers.",
    )
    STOPPED = (
        102,
        "daemon stopped",
        "A graceful shutdown ended; `running` counts unfinished requests.",
        "If `running` is not 0, raise drain_timeout_s.",
    )
    SIGNAL_IGNORED = (
        104,
        "second stop signal while shutting down",
        "The process received another stop signal during a graceful shutdown.",
        "Wait, or send SIGKILL and lose the requests in flight.",
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
        "The settings file is invalid, or changes a setting that needs a restart.",
        "Correct the file; the process continues with the old settings.",
    )
    LINES_LEFT_OUT = (
        105,
        "log lines suppressed",
        "The process exceeded the limit of lines in a second for these events.",
        "Nothing; `lines_by_event` counts them.",
    )
    VIEW_CHANGED = (
        200,
        "new revision in effect at this entry",
        "The entry now uses newer objects, replica groups or owners.",
        "Nothing.",
    )
    STEWARD_LOST = (
        203,
        "connection to steward lost",
        "A steward stopped, is unreachable, or has a stale view.",
        "Nothing if it recovers; the entry connects to its other stewards.",
    )
    PEER_REFUSED = (
        205,
        "peer rejected",
        "A process sent a frame that is too long, malformed or not of this cluster.",
        "Check the peer_token and address of the connecting process.",
    )
    PEER_LOST = (
        206,
        "connection to peer steward lost",
        "Another steward stopped or is unreachable.",
        "Nothing if it recovers; otherwise check that VM and the network.",
    )
    PLANNER_CHANGED = (
        210,
        "planner changed or lost",
        "The previous planner stopped or lost its lease.",
        "Nothing; a new planner takes over within three seconds.",
    )
    PLANNER_STARTED = (
        211,
        "this node is now the planner",
        "The node acquired the planner's lease, which was free.",
        "Nothing.",
    )
    PLANNER_STOPPED = (
        212,
        "this node is no longer the planner",
        "The node lost its lease, is stopping, or a newer planner has sent orders.",
        "Nothing.",
    )
    PLANNER_LOST = (
        213,
        "connection to the planner lost",
        "The planner stopped or is unreachable.",
        "Nothing if it recovers; nodes meanwhile use the list of backend servers.",
    )
    PLANNER_READY = (
        214,
        "planner has reports from the backend servers",
        "The planner knows the replica groups and continues with them.",
        "Nothing.",
    )
    POOL_STATE = (
        215,
        "state of a pool",
        "The planner logs its counts of a model service's backend servers and groups.",
        "Check silent and held ones if groups are fewer than the weights require.",
    )
    PLAN_NOT_APPLIED = (
        216,
        "update of the plan not applied",
        "It has another base than the plan that this node has.",
        "Nothing; the node asks for the whole plan.",
    )
    ADMISSION_SHORT = (
        217,
        "requests for a model are admitted by priority and workspace",
        "Callers ask for more than the `room` of the model's replica groups.",
        "If it persists, add backend servers; see docs/OPERATIONS.md for who waits.",
    )
    CONFIGURATION_IN_FORCE = (
        220,
        "configuration in effect at this node",
        "The operator published a newer version; event 222 says how it was read.",
        "Nothing.",
    )
    OPERATOR_VALUES_READ = (
        222,
        "newer values of the operator read",
        "`way` says how: by a watch, a read of all values, one that may be old, or one "
        "after an announcement; the node knew revision `before`, and waited "
        "`after_ms`.",
        "Nothing.",
    )
    CATCHING_UP = (
        223,
        "another node has read newer values",
        "The planner announced revision `announced`, and this node knows `newest`.",
        "Nothing, unless it recurs; then check this node's connections to the store.",
    )
    ZONES_EVACUATED = (
        221,
        "evacuated zones changed",
        "The operator evacuated a zone or returned it to service.",
        "Nothing.",
    )
    BACKEND_LISTED = (
        230,
        "backend server listed",
        "A backend server registered, or announced that it is draining.",
        "Nothing.",
    )
    BACKEND_GONE = (
        231,
        "backend server no longer listed",
        "Its entry in the store ended; nodes send it no more requests.",
        "Nothing if it was stopped on purpose; otherwise check its VM.",
    )
    RATE_LIMIT_CHANGED = (
        233,
        "backend server names another limit",
        "It takes `limit` requests per second from all nodes together, or any number.",
        "Check the backend server; nodes keep to the limit.",
    )
    BACKEND_LEAVING = (
        234,
        "backend server says that it is leaving",
        "Its answer to a request had `status`; this node sends it no new requests.",
        "Nothing if it is stopped on purpose; otherwise check its VM.",
    )
    BACKEND_PAUSED = (
        235,
        "backend server asks for a pause",
        "It wants no requests of this node for `duration_s`.",
        "Check the backend server if it recurs; the node uses the others.",
    )
    HEADER_IGNORED = (
        236,
        "header of a backend server ignored",
        "Its `value` is malformed or out of range.",
        "Find out which version of the backend servers sends it.",
    )
    DOCUMENT_MALFORMED = (
        232,
        "document can't be decoded",
        "Another writer stored an invalid document at the key.",
        "Find the process that writes to the key.",
    )
    GROUP_FORMING = (
        240,
        "replica group is forming",
        "The planner ordered its members to join.",
        "Nothing.",
    )
    GROUP_OPENED = (
        241,
        "replica group opened",
        "All members are ready and the planner opened the head.",
        "Nothing.",
    )
    GROUP_BROKEN = (
        242,
        "replica group lost a member",
        "A member stopped answering or is leaving; the planner closes the group.",
        "Nothing; check the silent VMs.",
    )
    GROUP_ABANDONED = (
        243,
        "replica group formation failed",
        "A member was lost, or was not ready in time.",
        "Nothing; the planner reuses the other members.",
    )
    GROUP_GIVEN_UP = (
        245,
        "replica group closed to serve another model",
        "Another model has far fewer groups than its demand requires.",
        "Nothing.",
    )
    GROUP_SLOW = (
        246,
        "replica group closed to replace its slow member",
        "A member reports that it is slow, and a spare can replace it.",
        "Check the slow VM.",
    )
    HEAD_SILENT = (
        244,
        "head of a replica group does not answer",
        "The head was lost, or only this node can't reach it.",
        "Nothing; the planner reuses the others once the head must have stopped.",
    )
    ORDER_ACCEPTED = (
        252,
        "order accepted",
        "A backend server accepted an order from the planner.",
        "Nothing.",
    )
    ORDER_REFUSED = (
        250,
        "order refused",
        "The backend server's state had changed, or a newer planner sent orders.",
        "Nothing.",
    )
    ORDER_UNANSWERED = (
        251,
        "order was not answered",
        "The order or its answer was lost; the order may take effect later.",
        "Nothing; the planner checks the effect in its next pass.",
    )
    PARTS_QUARANTINED = (
        260,
        "prompt parts quarantined",
        "Requests with these `parts`, and no other cause, crash backend servers; "
        "`crashes` lists these.",
        "Find the caller (event 418) and the fault of the backend servers.",
    )
    QUARANTINE_TRIAL = (
        261,
        "request with quarantined parts sent as a trial",
        "The hold of the parts has ended; the next one is twice as long.",
        "Nothing; event 262 follows if the answer begins.",
    )
    QUARANTINE_ENDED = (
        262,
        "quarantine of prompt parts ended",
        "An answer to a prompt with them has begun, or no request has had them.",
        "Nothing.",
    )
    DUTIES_HELD = (
        270,
        "duties towards the platform passed to this node",
        "It became the planner; it makes no call of a duty until `hold_s` has passed.",
        "Nothing.",
    )
    DUTIES_SUPERSEDED = (
        271,
        "duty refused: a node with a higher token performs it",
        "Another node became the planner, and this one had not noticed yet.",
        "Nothing, if another node logs event 270.",
    )
    DUTY_NOT_UNDERSTOOD = (
        272,
        "platform answered a duty with an unexpected status",
        "The address for duties belongs to another service, or its protocol differs.",
        "Check the address for duties in the settings.",
    )
    USAGE_COMMITTED = (
        273,
        "usage of a window committed",
        "All nodes have handed on their counts of it, or the time for that is over.",
        "Nothing; event 274 or 276 follows once the platform has the report.",
    )
    USAGE_REPORTED = (
        274,
        "usage of a window reported",
        "The platform has confirmed the report.",
        "Nothing.",
    )
    USAGE_NOT_CONFIRMED = (
        275,
        "report of usage not confirmed",
        "The platform did not answer, or took no more calls for the moment.",
        "Nothing; the same report is repeated. See docs/OPERATIONS.md if it goes on.",
    )
    USAGE_LATE = (
        276,
        "usage of a window reported late",
        "The store or platform was down, or the holder changed; see `inherited`.",
        "See docs/OPERATIONS.md.",
    )
    USAGE_LOST = (
        277,
        "counts of usage are in no report",
        "This node could not hand them on before their window was committed.",
        "See docs/OPERATIONS.md.",
    )
    USAGE_DROPPED = (
        278,
        "windows of usage dropped without a report",
        "The store or the platform was down for longer than windows are kept.",
        "See docs/OPERATIONS.md.",
    )
    USAGE_NOT_STORED = (
        279,
        "record of usage could not be read or written",
        "The store did not answer, another planner wrote it, or it can't be decoded.",
        "Nothing, unless it recurs; see docs/OPERATIONS.md.",
    )
    CLOCK_STEPPED = (
        290,
        "time of day jumped",
        "Someone set the clock of this VM, or it is faulty.",
        "Check the VM's time synchronisation.",
    )
    QUARANTINE_NOT_SHARED = (
        306,
        "evidence or quarantine could not be stored",
        "The store did not answer, or another node wrote the quarantine first.",
        "Nothing; the node repeats the write, and acts on what it knows.",
    )
    ANSWER_REPEATED = (
        307,
        "answer to an earlier call arrived once more",
        "The peer, or a device on the way, wrote an answer twice on one connection.",
        "Nothing; the node has closed the connection. Check the peer if it recurs.",
    )
    ANSWER_MALFORMED = (
        312,
        "answer does not follow HTTP/1.1",
        "The peer sent bytes that are no answer, as `cause` says; none of it is used.",
        "Check the peer, and any device on the way to it.",
    )
    STORE_LOST = (
        300,
        "store does not answer",
        "The platform's store is down, slow or unreachable.",
        "Service goes on; changes can't be published and calls that must not be "
        "repeated are refused until event 301.",
    )
    STORE_BACK = (
        301,
        "store answers again",
        "The store answered this process again after an outage.",
        "Nothing.",
    )
    CALL_INTERRUPTED = (
        309,
        "store interrupted a call",
        "The store closed a connection, or takes no more calls for the moment; the "
        "process reads the values under `prefix` again.",
        "Nothing, unless it goes on.",
    )
    WATCH_ABANDONED = (
        310,
        "watch request abandoned",
        "Its connection may be silent, or its time-out is too long without a planner.",
        "Nothing, unless it recurs; then check this node's connections to the store.",
    )
    STORE_SILENT = (
        311,
        "store did not answer a call in time",
        "The store is slow or down, or open connections to it have gone silent; the "
        "process makes new ones.",
        "Nothing, unless it recurs without event 300.",
    )
    HISTORY_LOST = (
        302,
        "store has lost its history",
        "The store discarded changes that this process had not read.",
        "Nothing; the process reads a full snapshot.",
    )
    STORE_RESTORED = (
        308,
        "store was restored from an older copy",
        "Changes up to revision `newest` of the last era may be lost.",
        "Nothing; nodes read the store again and write their own keys again.",
    )
    LEASE_NOT_ENDED = (
        303,
        "lease could not be released",
        "The store did not answer while the process stopped.",
        "Nothing; the lease expires.",
    )
    LEASE_NOT_HELD = (
        305,
        "lease or planner's key could not be acquired",
        "The store did not answer, or another node acquired it first.",
        "Nothing; the node retries.",
    )
    SPARES_NOT_KEPT = (
        304,
        "models of spares could not be stored",
        "The store did not answer, or another planner wrote them.",
        "Nothing; the planner retries the write.",
    )
    PUBLISHED = (
        400,
        "objects published",
        "An operator's change was accepted.",
        "Nothing; `poplarspar audit` shows the change.",
    )
    PUBLISH_CONFLICT = (
        401,
        "publish conflicted with another change",
        "Another operator published a change first.",
        "Merge that change and publish again on the new revision.",
    )
    PUBLISH_UNKNOWN = (
        402,
        "outcome of a publish is unknown",
        "The store answered neither the write nor a read afterwards.",
        "When the store is back, look for the change in `poplarspar audit`.",
    )
    OPERATOR_REFUSED = (
        403,
        "operator request rejected: no valid token",
        "A client used the operators' address with a wrong token.",
        "Check POPLARSPAR_TOKEN; if the client is unknown, change operator_token.",
    )
    PUBLISH_UNAVAILABLE = (
        404,
        "change not attempted",
        "The steward could not read the store, so it skipped a change of one object.",
        "Try again when the store is back (event 301).",
    )
    REQUEST_REFUSED = (
        410,
        "request refused",
        "`reason` and `cause` say why; `ran` says whether the request may have run.",
        "See docs/OPERATIONS.md.",
    )
    STREAM_BROKEN = (
        411,
        "stream aborted before its end",
        "No replica group could resume the stream in time.",
        "See docs/OPERATIONS.md.",
    )
    CALLER_GONE = (
        412,
        "caller disconnected before its answer",
        "The caller closed its connection; the node cancelled the request.",
        "Nothing.",
    )
    REQUEST_ANSWERED = (
        413,
        "request answered",
        "The node forwarded the complete answer of `backend`.",
        "Nothing.",
    )
    ATTEMPT_FAILED = (
        414,
        "attempt at a backend server failed",
        "It was unreachable, declined, or sent an invalid answer; see `result`.",
        "Check the backend server if it fails more often than others.",
    )
    STREAM_RESUMED = (
        415,
        "broken stream resumed at another replica group",
        "The replica group of `backend` was lost during the answer.",
        "Nothing, unless event 411 follows for the same id.",
    )
    STREAMS_MOVED = (
        417,
        "stalled streams move to another replica group",
        "The replica group of `backend` sent nothing for `stalled_ms`.",
        "Nothing; check the backend server if it stalls more often than others.",
    )
    REQUEST_UNANSWERED = (
        418,
        "backend servers disconnected, and none answered a request",
        "They crashed, perhaps on the request or one of the `parts` of its prompt.",
        "Nothing for one; event 260 follows if requests with a part go on failing.",
    )
    NO_PLACE = (
        416,
        "no free slot for a request",
        "The eligible backend servers had `expected` requests for `slots` slots.",
        "If it persists, add backend servers; see event 215 for the groups.",
    )
    CAPACITY_ORDERED = (
        280,
        "backend servers ordered",
        "`needed` says how many, `demand` and `losses` why, `result` the answer.",
        "If `result` stays not performed, check the platform's interface for duties.",
    )
    CAPACITY_NOT_SHOWN = (
        281,
        "order of backend servers not shown by the list",
        "The platform didn't carry it out, or new backend servers don't start.",
        "If it recurs, check whether the platform has backend servers left in `zone`.",
    )
    CAPACITY_AT_MOST = (
        282,
        "more backend servers needed than may be ordered",
        "The zones would need `needed` with the losses of the last seconds.",
        "Raise the range of the service if `needed` stays above it.",
    )
    WAITED_IN_VAIN = (
        419,
        "no room for a request in the time that is of use to it",
        "`ahead` requests go before it; with `displaced`, they take longer than it.",
        "See docs/OPERATIONS.md, which callers wait, and why these.",
    )
    REQUEST_FAILED = (
        500,
        "request failed inside the daemon",
        "A bug in this software.",
        "Report it with the line's `cause`.",
    )

    TASK_FAILED = (
        501,
        "task failed and restarts",
        "A bug in this software, or a document of another version in the store.",
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
        """Cause of the event."""
        return self.value[2]

    @property
    def action(self) -> str:
        """Action for an operator."""
        return self.value[3]


def find_event(number: int) -> Event | None:
    """Return the event with a number, None if there is no such event."""
    return next((event for event in Event if event.number == number), None)
