#include "proxy/internal/Attempt.h"
#include "http/Http.h"

#include <Poco/Net/HTTPResponse.h>

namespace lycheethread::proxy {

namespace {

constexpr int OverloadRetrySeconds = 1;
constexpr int QuarantineSeconds = 600;
constexpr int StatusLoopDetected = 508;

} // namespace

AttemptResult refused(RefusalReason Reason, Executed ExecutionStatus,
                      std::string Detail) {
  AttemptResult Result;
  Result.End = AttemptEnd::Refused;
  Result.Reason = Reason;
  Result.ExecutionStatus = ExecutionStatus;
  Result.Detail = std::move(Detail);
  return Result;
}

bool isUpstreamFailure(const AttemptResult &Result) {
  if (Result.End == AttemptEnd::Delivered)
    return http::isServerError(Result.Status);
  return Result.Reason == RefusalReason::UpstreamFailed ||
         Result.Reason == RefusalReason::UpstreamTimeout;
}

int statusOf(RefusalReason Reason) {
  using Poco::Net::HTTPResponse;
  switch (Reason) {
  case RefusalReason::NoRoute:
    return HTTPResponse::HTTP_NOT_FOUND;
  case RefusalReason::CallerLimit:
    return HTTPResponse::HTTP_TOO_MANY_REQUESTS;
  case RefusalReason::Deadline:
  case RefusalReason::UpstreamTimeout:
    return HTTPResponse::HTTP_GATEWAY_TIMEOUT;
  case RefusalReason::TooDeep:
    return StatusLoopDetected;
  case RefusalReason::BodyTooLarge:
    return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
  case RefusalReason::BadRequest:
    return HTTPResponse::HTTP_BAD_REQUEST;
  case RefusalReason::UpstreamFailed:
    return HTTPResponse::HTTP_BAD_GATEWAY;
  case RefusalReason::AlreadyAccepted:
    return HTTPResponse::HTTP_CONFLICT;
  default:
    return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
  }
}

int retryAfterSeconds(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::NoUpstream:
  case RefusalReason::Draining:
  case RefusalReason::SlotsFull:
  case RefusalReason::ConnectionsFull:
  case RefusalReason::CallerLimit:
  case RefusalReason::QueueFull:
  case RefusalReason::RateLimited:
  case RefusalReason::Shed:
  case RefusalReason::LogUnavailable:
  case RefusalReason::NotReady:
    return OverloadRetrySeconds;
  case RefusalReason::CrashSuspect:
    return QuarantineSeconds;
  default:
    return 0;
  }
}

} // namespace lycheethread::proxy
