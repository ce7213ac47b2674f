@0xd6a1f2b7c3e49085;

# Messages between the daemons. One frame on a link holds one Message.

struct Value {
  key @0 :Text;
  revision @1 :UInt64;
  text @2 :Text;
}

struct Entry {
  name @0 :Text;
  zone @1 :Text;
  lendingAddress @2 :Text;
  revision @3 :UInt64;
  leaving @4 :Bool;
  running @5 :UInt32;
  drained @6 :List(Text);
}

struct Hello {
  name @0 :Text;
}

# An entry's question to its steward.
struct EntryPing {
  entry @0 :Entry;
}

# The steward's answer, with the values that the entry lacks.
struct EntryPong {
  freshForS @0 :Float64;
  values @1 :List(Value);
}

# A steward's question to a peer.
struct PeerPing {
  revision @0 :UInt64;
}

# The peer's answer, with the values that the asker lacks.
struct PeerPong {
  revision @0 :UInt64;
  inForce @1 :UInt64;
  synced @2 :Bool;
  values @3 :List(Value);
  entries @4 :List(Entry);
}

struct Borrow {
  workspace @0 :Text;
  weight @1 :UInt32;
  queueLimit @2 :UInt32;
  deployment @3 :Text;
  tokens @4 :UInt64;
  waitS @5 :Float64;
  holdS @6 :Float64;
}

struct Lent {
  backend @0 :Text;
  address @1 :Text;
}

struct Declined {
  reason @0 :Text;
  message @1 :Text;
}

struct Returned {
  outcome @0 :Text;
  incarnation @1 :Text;
}

struct GroupLoad {
  head @0 :Text;
  epoch @1 :UInt64;
  inFlight @2 :UInt32;
  readingTokens @3 :UInt32;
  stalledMs @4 :UInt32;
}

struct ModelDemand {
  service @0 :Text;
  model @1 :Text;
  groups @2 :Float64;
}

# Demand for a model by callers of one rank in one workspace, or in all workspaces that
# are not named.
struct ClassDemand {
  service @0 :Text;
  model @1 :Text;
  priority @2 :Int32;
  routePriority @3 :Int32;
  workspace @4 :Text;
  groups @5 :Float64;
}

struct AdmittedShare {
  service @0 :Text;
  model @1 :Text;
  priority @2 :Int32;
  routePriority @3 :Int32;
  workspace @4 :Text;
  share @5 :Float64;
}

# A limit on requests that a backend server named `ageMs` ago; `limited` is false if
# its last answer named none.
struct RateLimit {
  backend @0 :Text;
  startedMs @1 :UInt64;
  limited @2 :Bool;
  requestsPerS @3 :Float64;
  ageMs @4 :UInt32;
}

# Requests of a workspace that began in a window of usage, since the node's process
# started.
struct UsageCount {
  window @0 :UInt64;
  workspace @1 :Text;
  requests @2 :UInt32;
}

struct NodeUsage {
  endedWindow @0 :UInt64;
  counts @1 :List(UsageCount);
}

# A node's question to the planner, with its own work.
struct NodeLoad {
  planSerial @0 :UInt64;
  groups @1 :List(GroupLoad);
  demands @2 :List(ModelDemand);
  rateLimits @3 :List(RateLimit);
  usage @4 :NodeUsage;
  classDemands @5 :List(ClassDemand);
}

struct PlannedGroup {
  head @0 :Text;
  name @1 :Text;
  epoch @2 :UInt64;
  model @3 :Text;
  pace @4 :Float64;
}

# Load of all nodes at one group.
struct GroupTotal {
  inFlight @0 :UInt32;
  readingTokens @1 :UInt32;
  stalled @2 :Bool;
}

struct GroupKey {
  head @0 :Text;
  epoch @1 :UInt64;
}

struct SpareKey {
  backend @0 :Text;
  startedMs @1 :UInt64;
}

struct Spare {
  backend @0 :Text;
  startedMs @1 :UInt64;
  model @2 :Text;
  loading @3 :Text;
}

# The planner's answer: what has changed since the plan `baseSerial`, or all if it is 0,
# and the load of each group of the new plan, ordered by head and epoch.
struct PlanUpdate {
  serial @0 :UInt64;
  baseSerial @1 :UInt64;
  nodes @2 :UInt32;
  groups @3 :List(PlannedGroup);
  removedGroups @4 :List(GroupKey);
  spares @5 :List(Spare);
  removedSpares @6 :List(SpareKey);
  totals @7 :List(GroupTotal);
  operatorRevision @8 :UInt64;
  quarantineRevision @9 :UInt64;
  rateLimits @10 :List(RateLimit);
  demands @11 :List(ModelDemand);
  backendRevision @12 :UInt64;
  nodesRevision @13 :UInt64;
  operatorDigest @14 :UInt64;
  admittedShares @15 :List(AdmittedShare);
  reportedWindow @16 :UInt64;
  backendsAgeMs @17 :UInt32;
}

struct Message {
  union {
    hello @0 :Hello;
    entryPing @1 :EntryPing;
    entryPong @2 :EntryPong;
    peerPing @3 :PeerPing;
    peerPong @4 :PeerPong;
    borrow @5 :Borrow;
    lent @6 :Lent;
    declined @7 :Declined;
    returned @8 :Returned;
    nodeLoad @9 :NodeLoad;
    planUpdate @10 :PlanUpdate;
  }
}
