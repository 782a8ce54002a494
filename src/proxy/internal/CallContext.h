#ifndef LYCHEETHREAD_PROXY_INTERNAL_CALLCONTEXT_H
#define LYCHEETHREAD_PROXY_INTERNAL_CALLCONTEXT_H

#include "proxy/internal/HttpConnection.h"
#include "requests/Requests.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lycheethread::proxy {

namespace headers {

inline const std::string RequestIdName = "lt-request-id";
inline const std::string DeadlineName = "lt-deadline-ms";
inline const std::string DepthName = "lt-depth";
inline const std::string CallerName = "lt-caller";
inline const std::string ClassName = "lt-class";
inline const std::string AttemptName = "lt-attempt";
inline const std::string KeyName = "idempotency-key";
inline const std::string PathName = "lt-path";
inline const std::string RefusalIdName = "lt-refusal-id";
inline const std::string ReasonName = "lt-reason";
inline const std::string ExecutedName = "lt-executed";
inline const std::string RetryAfterName = "retry-after";
inline const std::string ShedName = "lt-shed";
/// In the answers of an upstream in need: the requests a second that it takes.
inline const std::string LimitName = "lt-limit";
/// "1" in the answers of an upstream that is about to end.
inline const std::string LeavingName = "lt-leaving";
/// Used only between nodes: upstream failure that the last hop detected.
inline const std::string UpstreamName = "lt-upstream";

} // namespace headers

/// The first call of a chain has depth 1.
inline constexpr std::int32_t MaxDepth = 16;

/// Request properties that are passed from hop to hop, and the route.
struct CallContext {
  RequestId Id;
  CallerId Caller;
  IdempotencyKey Key;
  RequestClass Class = RequestClass::Repeatable;
  std::int32_t Depth = 0;
  std::int32_t Attempt = 1;
  SteadyTime ReceivedAt;
  SteadyTime Deadline;
  /// View at admission; the request uses it until its end.
  std::shared_ptr<const requests::RoutingView> View;
  requests::RouteMatch Match;

  ServiceName service() const;
  RouteName route() const;
};

/// Reads the request headers. Without a deadline header the deadline is
/// \p MaxDuration after \p ReceivedAt. Throws BadMessage for invalid values.
CallContext readContext(const Poco::Net::HTTPRequest &Request,
                        SteadyTime ReceivedAt, Milliseconds MaxDuration);

/// Finds the route and limits the deadline to the timeout of the route.
void applyRoute(CallContext &Call, const Poco::Net::HTTPRequest &Request,
                std::shared_ptr<const requests::RoutingView> View);

/// Returns the request for the next hop, with \p Call in its headers.
Poco::Net::HTTPRequest
makeForwardedRequest(const Poco::Net::HTTPRequest &Request,
                     const CallContext &Call);

/// Returns the maximum body size of the route.
ByteCount bodyLimit(const CallContext &Call);

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_CALLCONTEXT_H
