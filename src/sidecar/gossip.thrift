// Messages between the nodes of a mesh, in the compact protocol.
namespace cpp lycheethread.sidecar.wire

struct EndpointMessage {
  1: string address
  2: i32 port
}

struct UpstreamMessage {
  1: string id
  2: i64 born
  3: string serviceName
  4: string version
  5: i32 state
  6: i32 capacity
  7: i64 coldLeftMs
}

// What a node that judges a rollout has found.
struct JudgementMessage {
  1: i64 ageMs
  2: i32 step            // furthest one in the plan of a rollout, from 0
  3: bool comparing
  4: bool passed         // all steps
}

struct RolloutMessage {
  1: i64 order
  2: i64 ageMs
  3: bool condemned
  4: i32 state           // 0 running, 1 completed, 2 rolled back
  5: optional JudgementMessage judged // the newest that the node knows
}

// Outcomes of one route since a rollout was ordered.
struct RouteEvidenceMessage {
  1: string route        // empty for the sum over all routes
  2: i32 good
  3: i32 bad
  4: i32 timed           // answers in totalTimeMs
  5: i64 totalTimeMs
}

// Part of the outcomes at the upstream beside a node, for the nodes that judge.
struct EvidenceMessage {
  1: string node
  2: i64 life
  3: i64 order
  4: list<RouteEvidenceMessage> routes
}

struct CrashMessage {
  1: string fingerprint
  2: string crash
  3: i32 weight          // 1 answered recently, 2 never answered
}

// The state that a node reports about itself. Ages count from the time of
// sending.
struct NewsMessage {
  1: string id
  2: i64 life
  3: i64 number
  4: string region
  5: string zone
  6: EndpointMessage hop
  7: EndpointMessage gossip
  8: bool ready
  9: bool stopping
  10: optional UpstreamMessage own
  11: i32 running
  12: i32 waiting
  13: i64 serviceTimeMs
  14: i64 operatorPosition
  15: optional i64 confirmedAgeMs // absent before the first confirmation
  16: optional list<RolloutMessage> rollouts
  // 17 held the evidence, which has a message of its own.
  18: optional list<CrashMessage> crashes
  19: i64 bodyWaitMs
  20: i64 state          // grows when more than the load has changed
  21: optional i64 place // on the list of nodes, from 1
  22: optional i64 limitMilli // requests in 1000 s; absent without a limit
  23: optional i64 permitWaitMs
  24: optional i32 keptRecords // that the store has lost
}

// The load of a node whose report the receiver may know. Numbers that are 0 are
// left out.
struct BeatMessage {
  1: i64 node            // identifies one life of a node
  2: i64 state
  3: i64 number
  4: optional i32 running
  5: optional i32 waiting
  6: optional i32 serviceTimeMs
  7: optional i32 bodyWaitMs
  8: optional i64 limitMilli // requests in 1000 s; absent without a limit
  9: optional i32 permitWaitMs
}

// Asks the owner of an organisation's quota for permits.
struct AskMessage {
  1: string node         // the asking node
  2: string organisation
  3: i64 number          // of the ask; a repetition has the same one
  4: i32 wanted
  5: optional i32 returning  // of these, for callers that were refused before
}

struct GrantMessage {
  1: string organisation
  2: i64 number          // of the ask
  3: i32 permits
  4: i32 retryMs         // until more are expected, if fewer than wanted
  // So many callers may be told to come back, the first after returnMs and the
  // others intervalMs apart.
  5: optional i32 places
  6: optional i32 returnMs
  7: optional i32 intervalMs
}

// One datagram. The first report is that of the sender; a datagram with asks,
// grants or evidence carries none.
struct GossipMessage {
  1: list<NewsMessage> news
  2: optional list<BeatMessage> beats
  // Nodes whose report the sender lacks; 0 stands for the receiver.
  3: optional list<i64> wanted
  4: optional list<AskMessage> asks
  5: optional list<GrantMessage> grants
  6: optional EvidenceMessage evidence
}

// A record of the operator. OperatorItemsMessage holds the records of one node
// from the offset on that the requesting node asked for.
struct OperatorItemMessage {
  1: string key
  2: binary value
  3: i64 offset
}

struct OperatorItemsMessage {
  1: i64 position
  2: list<OperatorItemMessage> items
}
