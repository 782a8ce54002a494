#include "sidecar/internal/OutboundCall.h"

namespace lycheethread::sidecar {

void OutboundProxy::recordSample(const CallPtr &Item, const EntryEnd &End,
                                 Milliseconds Took) {
  const std::string &Caller = Context_.Settings.Service.str();
  if (Sample_.Caller.str() != Caller)
    Sample_.Caller = CallerId(Caller);
  // A refused key ends the request before its class is copied from the route.
  Sample_.Class =
      Item->Route == nullptr ? Item->Info.Class : Item->Route->Class;
  Sample_.Latency = Took;
  Sample_.Organisation = Item->Info.Organisation;
  Sample_.Outcome = outcomeOf(End);
  Sample_.IsNestedCall = Item->IsNestedCall;
  Sample_.IsPipelined = Item->Request->isPipelined();
  Context_.Metrics->Record(Sample_);
}

} // namespace lycheethread::sidecar
