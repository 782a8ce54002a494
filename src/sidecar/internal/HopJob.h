#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_HOPJOB_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_HOPJOB_H

#include "mesh/Mesh.h"
#include "sidecar/internal/ClientConnection.h"

#include <Poco/Net/HTTPRequest.h>

namespace lycheethread::sidecar {

/// How an attempt at one upstream ended.
enum class HopResult {
  /// The upstream answered; the answer is whole or arriving.
  Answered,
  /// It has not run and never will.
  NotRun,
  /// It may have run, and there is no answer.
  Failed
};

struct HopOutcome {
  HopResult End = HopResult::NotRun;
  ClientAnswer Answer;
  RefusalReason Reason = RefusalReason::NoUpstream;
  /// Whether the upstream itself got the request.
  bool Reached = false;
  /// With NotRun: time after which room is expected.
  Milliseconds RetryDelay{0};
  /// What the last hop held afterwards, if it said so.
  std::optional<mesh::LoadReport> Load;
};

/// What the last hop needs to know of a request besides the message.
struct HopInfo {
  ServiceName Service;
  /// Empty when any version will do.
  VersionName Version;
  RouteName Route;
  RequestClass Class = RequestClass::Repeatable;
  std::int32_t Rank = 0;
  Milliseconds Objective{0};
  SteadyTime ObjectiveAt;
  SteadyTime DeadlineAt;
  /// Service on the instance where the request began.
  ServiceName Caller;
  requests::Fingerprint RequestFingerprint;
};

/// A request on its way to an upstream.
struct HopJob {
  HopInfo Info;
  RequestId Id;
  /// As received; hop-by-hop fields are not passed on.
  Poco::Net::HTTPRequest Head;
  http::Framing Framing;
  BodyPipePtr Body;
  /// The upstream has a slot for it, and its body is wanted.
  std::function<void()> OnGranted;
  std::function<void(HopOutcome)> OnEnd;
  /// The body has left for another node, in this time.
  std::function<void(Milliseconds)> OnBodySent;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_HOPJOB_H
