// Control protocol between nodes. UDP datagrams hold one Datagram in the
// compact protocol; TCP carries PeerService in framed binary.
namespace cpp lycheethread.peer.wire

struct WireMember {
  1: string id
  2: i64 life
  3: i8 state
  4: bool suspected
  5: string hopAddress
  6: i32 hopPort
  7: string controlAddress
  8: i32 controlPort
  9: string region
  10: string zone
  11: string serviceName
  12: string group
  13: string version
  14: i64 position
}

struct WireRegionAge {
  1: string region
  2: i64 ageMs
  3: i64 digest
}

// Message of the membership protocol: Ping, Ack, IndirectPing or Push.
struct WireMessage {
  1: i8 kind
  2: string sender
  3: i64 life
  4: string region
  5: i64 number
  6: i64 position
  7: i64 digest
  8: optional string targetAddress
  9: optional i32 targetPort
  10: optional list<WireRegionAge> regions
  11: optional list<WireMember> updates
}

struct FeedHeartbeat {
  1: string region
  2: string reader
  3: i64 life
  4: i64 number
  5: i64 head
  6: bool logFresh
  // Node that forwarded this copy.
  7: string sender
}

struct Rumour {
  1: i64 id
  2: string topic
  3: binary payload
  // Region of the node that sent this copy, and of the node that started the
  // rumour.
  4: string region
  5: string origin
}

struct Datagram {
  1: optional WireMessage message
  2: optional FeedHeartbeat heartbeat
  3: optional Rumour rumour
}

struct RawRecord {
  1: i64 offset
  2: binary data
}

// Region of the caller, used to account for traffic between regions.
struct Caller {
  1: string region
}

struct FetchReply {
  1: list<RawRecord> records
  // Committed position of the answering node.
  2: i64 position
  // Set if the requested records are no longer stored; a snapshot is needed.
  3: bool tooOld
}

struct SnapshotReply {
  1: bool busy
  2: i32 retryAfterMs
  3: bool serving
  4: i64 position
  // Highest position that the answering node knows of.
  5: i64 named
  6: list<binary> parts
  7: list<WireMember> members
}

exception CallFailed {
  1: string reason
}

service PeerService {
  FetchReply fetch(1: Caller caller, 2: i64 start, 3: i32 maxRecords)
  SnapshotReply snapshot(1: Caller caller, 2: bool withState,
                         3: bool withMembers)
  // Replicates records that are not committed yet. The reply acknowledges all
  // offsets below it.
  i64 acknowledge(1: Caller caller, 2: list<RawRecord> records)
  binary call(1: Caller caller, 2: string topic, 3: binary payload)
    throws (1: CallFailed failed)
}

// Join record in the members stream.
struct JoinRecord {
  1: WireMember member
  2: i64 writtenAtMs
}
