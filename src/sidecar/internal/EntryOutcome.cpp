#include "sidecar/internal/EntryOutcome.h"
#include "http/Http.h"

namespace lycheethread::sidecar {

metrics::RequestOutcome outcomeOf(const EntryEnd &End) {
  if (End.Status == 0)
    return {metrics::RequestEnd::CallerLeft, {}};
  if (End.Reason && !End.MayHaveRun)
    return {metrics::RequestEnd::Refused, *End.Reason};
  // The 429 or 503 of an upstream is not the node's promise that the request
  // has not run.
  if (End.Reason || http::isServerError(End.Status))
    return {metrics::RequestEnd::Failed, {}};
  return {metrics::RequestEnd::Answered, {}};
}

} // namespace lycheethread::sidecar
