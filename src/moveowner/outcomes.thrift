// Messages of the moveowner module between nodes, in the compact protocol.
// Generate with: thrift --gen cpp:no_skeleton -out gen outcomes.thrift
namespace cpp lycheethread.moveowner.wire

// Counts of one route and version since the previous report.
struct RouteCounts {
  1: string group
  2: string route
  3: string version
  4: i64 requests
  5: i64 failures
  // Latency buckets from first_bucket on, without empty buckets at the end.
  6: i32 first_bucket
  7: list<i64> latency
}

// Topic "outcomes": report of a last hop to the owner of its service's moves.
struct HopOutcomes {
  1: string service_name
  2: string hop
  3: i64 traffic_age_ms
  4: list<RouteCounts> routes
}

// Topic "brake": nodes must stop sending requests to the new version of this
// move.
struct BrakeNotice {
  1: string move_id
}
