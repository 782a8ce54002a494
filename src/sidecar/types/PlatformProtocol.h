#ifndef LYCHEETHREAD_SIDECAR_TYPES_PLATFORMPROTOCOL_H
#define LYCHEETHREAD_SIDECAR_TYPES_PLATFORMPROTOCOL_H

#include "mesh/Mesh.h"
#include "sidecar/types/OperatorRecords.h"
#include "sidecar/types/StorePosition.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheethread::sidecar {

/// Names of the headers that callers, nodes and upstreams exchange.
struct HeaderNames {
  std::string RequestId;
  /// Remaining time in ms.
  std::string Deadline;
  /// Present on every answer that an upstream generated.
  std::string Seal;
  /// Id of the upstream for which a request is meant.
  std::string ExpectInstance;
  /// Present on answers to requests that the upstream has not run.
  std::string NotExecuted;
  /// Service from whose instance a request originated.
  std::string CallerService;
  /// Requests a second that an upstream takes from all nodes together; in its
  /// answers for as long as that holds.
  std::string Limit;
  /// "1" in the answers of an upstream that is about to end.
  std::string Leaving;
  /// Key of the organisation that sends a request.
  std::string Key;
  /// Name of that organisation, for the upstream.
  std::string Organisation;
  /// How long an upstream stays cold, in ms; in its answers to health checks
  /// while it is cold.
  std::string ColdTime;
};

/// A request to the store, without the headers common to all requests.
struct StoreCall {
  std::string Method;
  std::string Target;
  std::string ContentType;
  std::string Body;
};

enum class StoreOutcome {
  Done,
  /// A condition did not hold.
  Conflict,
  /// The requested records are no longer stored.
  Trimmed,
  /// The store did not process the call, or its answer was invalid.
  Unavailable
};

/// Topics of the store, each with one current record per key.
enum class StoreTopic {
  /// Written by the operator.
  Operator,
  /// Progress of rollouts, written by the nodes.
  Status,
  /// Endpoints of the nodes, written by the nodes.
  Members,
  /// Upstreams that have left, written by the nodes beside them.
  Departures
};

struct StoreItem {
  std::string Key;
  std::string Value;
  Offset At;
};

/// Records of a topic in the order of their offsets, or the newest of each key.
struct StoreRead {
  StoreOutcome Outcome = StoreOutcome::Unavailable;
  std::vector<StoreItem> Items;
  /// Offset after the last record of the topic.
  Offset End;
  /// More keys follow the last one.
  bool HasMore = false;
};

struct StoreAppend {
  StoreOutcome Outcome = StoreOutcome::Unavailable;
  /// Offset after the last record of the topic.
  Offset End;
};

/// The protocol of the store. The functions are pure.
struct StoreProtocol {
  /// Header in all answers, with a number that rises when the store comes back
  /// from an older copy: offsets after that copy are given out again.
  std::string EraHeader;
  std::function<StoreCall(StoreTopic, Offset From, Milliseconds Wait)> Read;
  std::function<StoreRead(int Status, const std::string &Body)> ParseRead;
  /// Requests the newest record of each key after the key \p After.
  std::function<StoreCall(StoreTopic, const std::string &After)> Newest;
  std::function<StoreRead(int Status, const std::string &Body)> ParseNewest;
  /// With \p At, appends only if the topic ends at this offset.
  std::function<StoreCall(StoreTopic, const std::string &Key,
                          const std::string &Value, std::optional<Offset> At)>
      Append;
  std::function<StoreAppend(int Status, const std::string &Body)> ParseAppend;
};

/// A message from the upstream beside the node.
struct UpstreamMessage {
  enum class Kind { CheckIn, Leave, Invalid };
  Kind Type = Kind::Invalid;
  mesh::CheckIn ReceivedCheckIn;
  mesh::UpstreamId Id;
  /// Reason why it is invalid.
  std::string Problem;
};

/// Parses the operator's records and formats those of the nodes.
struct OperatorFormat {
  /// Key of the configuration.
  std::string ConfigKey;
  /// Throws std::runtime_error if the value is not a complete configuration.
  std::function<mesh::MeshConfig(const std::string &Value)> Config;
  /// Whether the record \p Newer, of a later era of the store, replaces
  /// \p Known of an earlier one: it does not if it comes from the copy and is
  /// older.
  std::function<bool(const std::string &Key, const OperatorRecord &Known,
                     const OperatorRecord &Newer)>
      Replaces;
  /// Returns the order in the record, or nothing if the key is not that of an
  /// order. Throws std::runtime_error if the value is not a valid order.
  std::function<std::optional<mesh::RolloutOrder>(const StoreItem &)> Rollout;
  /// Returns the availability zone that the record evacuates, or nothing if its
  /// key is that of no evacuation. Removals are the caller's concern.
  std::function<std::optional<AvailabilityZone>(const StoreItem &)> Evacuation;
  std::function<std::string(const ServiceName &)> StatusKey;
  std::function<std::string(const mesh::RolloutOrder &, mesh::RolloutState)>
      Status;
  /// Returns the state recorded for \p Order, or nothing if the value refers to
  /// another order or cannot be parsed.
  std::function<std::optional<mesh::RolloutState>(const mesh::RolloutOrder &,
                                                  const std::string &Value)>
      ParseStatus;
  /// Formats the entry of a node as stored in StoreTopic::Members.
  std::function<std::string(const mesh::ListedNode &)> Member;
  std::function<std::optional<mesh::ListedNode>(const std::string &Value)>
      ParseMember;
  /// Formats a record of StoreTopic::Departures.
  std::function<std::string(const mesh::Departure &)> Departure;
  std::function<std::optional<mesh::Departure>(const std::string &Value)>
      ParseDeparture;
};

/// The platform-specific protocols and formats that a node uses.
struct PlatformProtocol {
  HeaderNames Headers;
  std::string ReadinessPath;
  std::function<mesh::ParsedMeshBounds(const std::string &Text)> Bounds;
  std::function<UpstreamMessage(const std::string &Method,
                                const std::string &Target,
                                const std::string &Body)>
      Upstream;
  /// Body and content type of the answer to a check-in.
  std::string CheckInAnswer;
  std::string CheckInAnswerType;
  /// An answer to a check-in that comes later acknowledges nothing.
  Milliseconds CheckInTimeout{1000};
  StoreProtocol Store;
  OperatorFormat Operator;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_TYPES_PLATFORMPROTOCOL_H
