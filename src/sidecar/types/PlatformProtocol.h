#ifndef LYCHEETHREAD_SIDECAR_TYPES_PLATFORMPROTOCOL_H
#define LYCHEETHREAD_SIDECAR_TYPES_PLATFORMPROTOCOL_H

#include "mesh/Mesh.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheethread::sidecar {

/// Names of the headers that callers, nodes and upstreams use.
struct HeaderNames {
  std::string RequestId;
  /// Time left, in ms.
  std::string Deadline;
  /// On every answer that an upstream made.
  std::string Seal;
  /// Id of the upstream that a request is meant for.
  std::string ExpectInstance;
  /// On answers to requests that the upstream has not run.
  std::string NotExecuted;
  /// Service from whose instance a request came.
  std::string CallerService;
};

/// Bounds that the platform's users set for all nodes together.
struct MeshBounds {
  /// Time from SIGTERM until the platform ends the process.
  Milliseconds GraceTime{6000};
};

/// A request to the store, without the headers that every request has.
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
  /// The records asked for are no longer kept.
  Trimmed,
  /// The store did nothing, or answered what it should not.
  Unavailable
};

/// Topics of the store, each with one record a key.
enum class StoreTopic {
  /// Written by the operator.
  Operator,
  /// Progress of rollouts, written by the nodes.
  Status,
  /// Where nodes can be found, written by the nodes.
  Members
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
  /// Offset after the topic's last record.
  Offset End;
  /// There are more keys after the last one.
  bool HasMore = false;
};

struct StoreAppend {
  StoreOutcome Outcome = StoreOutcome::Unavailable;
  /// Offset after the topic's last record.
  Offset End;
};

/// How the store is spoken to. All functions are pure.
struct StoreProtocol {
  std::function<StoreCall(StoreTopic, Offset From, Milliseconds Wait)> Read;
  std::function<StoreRead(int Status, const std::string &Body)> ParseRead;
  /// The newest record of each key after the key \p After.
  std::function<StoreCall(StoreTopic, const std::string &After)> Newest;
  std::function<StoreRead(int Status, const std::string &Body)> ParseNewest;
  /// With \p At, only when the topic ends there.
  std::function<StoreCall(StoreTopic, const std::string &Key,
                          const std::string &Value, std::optional<Offset> At)>
      Append;
  std::function<StoreAppend(int Status, const std::string &Body)> ParseAppend;
};

/// A message of the upstream beside the node.
struct UpstreamMessage {
  enum class Kind { CheckIn, Leave, Invalid };
  Kind Is = Kind::Invalid;
  mesh::CheckIn From;
  mesh::UpstreamId Id;
  /// Why it is invalid.
  std::string Problem;
};

/// Reads the operator's records and writes those of the nodes.
struct OperatorFormat {
  /// Key of the configuration.
  std::string ConfigKey;
  /// Throws std::runtime_error for what is not a whole configuration.
  std::function<mesh::MeshConfig(const std::string &Value)> Config;
  /// The order in the record; nothing when the key is not that of an order.
  /// Throws std::runtime_error when the value is not one.
  std::function<std::optional<mesh::RolloutOrder>(const StoreItem &)> Rollout;
  std::function<std::string(const ServiceName &)> StatusKey;
  std::function<std::string(const mesh::RolloutOrder &, mesh::RolloutState)>
      Status;
  /// The end recorded for \p Order, Running, or nothing when the value speaks
  /// of another order or cannot be read.
  std::function<std::optional<mesh::RolloutState>(const mesh::RolloutOrder &,
                                                  const std::string &Value)>
      ParseStatus;
  /// Where a node can be found, as it is kept in StoreTopic::Members.
  std::function<std::string(const Endpoint &Gossip)> Member;
  std::function<std::optional<Endpoint>(const std::string &Value)> ParseMember;
};

/// Everything that a node on a platform needs to know of how it speaks.
struct PlatformProtocol {
  HeaderNames Headers;
  std::string ReadinessPath;
  std::function<MeshBounds(const std::string &Bounds)> Bounds;
  std::function<UpstreamMessage(const std::string &Method,
                                const std::string &Target,
                                const std::string &Body)>
      Upstream;
  /// Body and content type of the answer to a check-in.
  std::string CheckInAnswer;
  std::string CheckInAnswerType;
  StoreProtocol Store;
  OperatorFormat Operator;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_TYPES_PLATFORMPROTOCOL_H
