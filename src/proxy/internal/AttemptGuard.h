#ifndef LYCHEETHREAD_PROXY_INTERNAL_ATTEMPTGUARD_H
#define LYCHEETHREAD_PROXY_INTERNAL_ATTEMPTGUARD_H

#include "proxy/internal/Attempt.h"
#include "proxy/internal/Clock.h"
#include "proxy/internal/Exchange.h"

#include <optional>

namespace lycheethread::proxy {

/// Returns whether the upstream may have executed a request that failed before
/// its response. \p Out is empty if no connection was established.
inline Executed executedSoFar(const std::optional<Exchange> &Out) {
  requests::AttemptProgress Progress;
  Progress.Sent = Out && Out->hasSent();
  return requests::deduceExecuted(Progress);
}

/// Runs \p Work and converts its exceptions to results.
template <typename Function>
AttemptResult guardAttempt(std::optional<Exchange> &Out, SteadyTime Deadline,
                           Function Work) {
  try {
    return Work();
  } catch (const CallerDisconnected &Error) {
    AttemptResult Result;
    Result.End = AttemptEnd::CallerClosed;
    Result.Detail = Error.what();
    return Result;
  } catch (const CallerError &Error) {
    return refused(Error.reason(), executedSoFar(Out), Error.what());
  } catch (const ConnectionTimeout &Error) {
    if (Out)
      return refused(RefusalReason::UpstreamTimeout, executedSoFar(Out),
                     Error.what());
    if (timeLeft(Deadline) <= Milliseconds(0))
      return refused(RefusalReason::Deadline, Executed::No, Error.what());
    AttemptResult Result =
        refused(RefusalReason::UpstreamFailed, Executed::No, Error.what());
    Result.Fault = UpstreamFailure::NoConnection;
    return Result;
  } catch (const std::exception &Error) {
    AttemptResult Result = refused(RefusalReason::UpstreamFailed,
                                   executedSoFar(Out), Error.what());
    Result.Fault = UpstreamFailure::NoConnection;
    return Result;
  }
}

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_ATTEMPTGUARD_H
