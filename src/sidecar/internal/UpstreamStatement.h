#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMSTATEMENT_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMSTATEMENT_H

#include "sidecar/types/PlatformProtocol.h"

#include <Poco/Net/HTTPResponse.h>

#include <optional>

namespace lycheethread::sidecar {

/// What an upstream says of itself in an answer, apart from the answer.
struct UpstreamStatement {
  /// Requests a second that it takes from all nodes together; empty if it
  /// states no limit.
  std::optional<double> PerSecond;
  /// It states a limit that is not a number.
  bool IsUnreadable = false;
  /// It is about to end and takes no new work.
  bool IsLeaving = false;
};

/// Returns a number of requests a second, or "none", for log lines.
std::string rateText(const std::optional<double> &PerSecond);

UpstreamStatement readStatement(const Poco::Net::HTTPResponse &Head,
                                const HeaderNames &Names);

/// Parses how long an upstream stays cold, in ms, at most an hour; empty if
/// that is not a number from 0 on.
std::optional<Milliseconds> readColdTime(const std::string &Text);

/// Whether the answer is that to the request \p Id. \p WasUsedBefore says that
/// its connection has carried an earlier request.
bool isAnswerTo(const Poco::Net::HTTPResponse &Head, const HeaderNames &Names,
                const RequestId &Id, bool WasUsedBefore);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMSTATEMENT_H
