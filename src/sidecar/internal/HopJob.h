#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_HOPJOB_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_HOPJOB_H

#include "mesh/Mesh.h"
#include "sidecar/internal/ClientConnection.h"

#include <Poco/Net/HTTPRequest.h>

namespace lycheethread::sidecar {

/// Result of an attempt at one upstream.
enum class HopResult {
  /// The upstream answered; the body may still be arriving.
  Answered,
  /// The request has not run and will not run.
  NotRun,
  /// The request may have run, and there is no answer.
  Failed
};

struct HopOutcome {
  HopResult End = HopResult::NotRun;
  ClientAnswer Answer;
  RefusalReason Reason = RefusalReason::NoUpstream;
  /// Whether the request reached the upstream itself.
  bool Reached = false;
  /// With NotRun: the time after which a retry is expected to be admitted.
  Milliseconds RetryDelay{0};
  /// Load of the last hop after the attempt, if it was reported.
  std::optional<mesh::LoadReport> Load;
};

/// An attempt that has not run and will not run.
HopOutcome notRun(RefusalReason Reason, Milliseconds RetryDelay = {});

/// An attempt that reached the upstream and brought no usable answer.
HopOutcome failed(RefusalReason Reason);

/// Properties of a request that the last hop needs in addition to the message.
struct HopInfo {
  ServiceName Service;
  /// Empty if any version is acceptable.
  VersionName Version;
  RouteName Route;
  RequestClass Class = RequestClass::Repeatable;
  std::int32_t Rank = 0;
  Milliseconds Objective{0};
  SteadyTime ObjectiveAt;
  SteadyTime DeadlineAt;
  /// Service on the instance where the request originated.
  ServiceName Caller;
  requests::Fingerprint RequestFingerprint;
  /// The configuration has organisations, so that callers may not name one.
  bool HasOrganisations = false;
  /// Empty for a request without a key.
  organisations::OrganisationId Organisation;
};

/// The limit that an upstream process stated in an answer.
struct StatedLimit {
  mesh::UpstreamId By;
  std::int64_t StartedAtUnixMs = 0;
  /// Requests a second.
  double PerSecond = 0;
};

/// A request on its way to an upstream.
struct HopJob {
  HopInfo Info;
  /// What the entry knows of the upstream's limit.
  std::optional<StatedLimit> KnownLimit;
  RequestId Id;
  /// As received; hop-by-hop headers are not forwarded.
  Poco::Net::HTTPRequest Head;
  http::Framing Framing;
  BodyPipePtr Body;
  /// Called when the body is wanted: the request has a slot at the upstream or
  /// its long body may be received.
  std::function<void()> OnGranted;
  std::function<void(HopOutcome)> OnEnd;
  /// Called when the body has been sent to another node, with the time that
  /// took.
  std::function<void(Milliseconds)> OnBodySent;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_HOPJOB_H
