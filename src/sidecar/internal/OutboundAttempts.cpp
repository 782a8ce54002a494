#include "sidecar/internal/OutboundCall.h"
#include "sidecar/internal/UpstreamStatement.h"

#include <algorithm>
#include <utility>

namespace lycheethread::sidecar {

void OutboundProxy::scheduleHedge(const CallPtr &Item) {
  // The attempt may have ended at once.
  if (Item->Ended || Item->InFlight.size() != 1 || Item->HedgedAttempt != 0)
    return;
  mesh::HedgeRequest Request;
  Request.HasWholeBody = Item->BufferedBody.has_value();
  Request.Sent = Item->Runs + 1;
  Request.MaxAttempts = Item->Route->MaxAttempts;
  const auto Delay = Hedger_.delay(Item->Info, Request);
  if (!Delay)
    return;
  const std::int32_t Attempt = Item->InFlight.front().Number;
  Context_.Loop.cancel(Item->HedgeTimer);
  Item->HedgeTimer = Context_.Loop.runAfter(
      *Delay, [this, Weak = std::weak_ptr<Call>(Item), Attempt] {
        const auto Found = Weak.lock();
        if (Found && !Found->Ended && Found->InFlight.size() == 1 &&
            Found->InFlight.front().Number == Attempt)
          hedge(Found);
      });
}

/// Sends the request to a second upstream while the first one runs it.
void OutboundProxy::hedge(const CallPtr &Item) {
  mesh::HedgeMoment Moment;
  Moment.First = Item->InFlight.front().Node;
  Moment.FirstZone = Item->InFlight.front().Zone;
  Moment.Excluded = Item->Excluded;
  const auto Chosen = Hedger_.choose(Item->Info, Item->Allowed, Moment,
                                     Budgets_[Item->Info.Service]);
  if (!Chosen)
    return;
  Item->HedgedAttempt = Item->Attempt + 1;
  send(Item, *Chosen);
}

void OutboundProxy::onOutcome(const CallPtr &Item, std::int32_t Attempt,
                              HopOutcome Outcome) {
  const auto Found = std::find_if(
      Item->InFlight.begin(), Item->InFlight.end(),
      [&](const Offer &Running) { return Running.Number == Attempt; });
  if (Found == Item->InFlight.end())
    return;
  const Offer Done = *Found;
  Item->InFlight.erase(Found);
  Directory_.onOutcome(Done.Node, Outcome);
  if (Outcome.End == HopResult::Answered)
    Directory_.onStatement(
        Done.Node, Done.Instance,
        readStatement(Outcome.Answer.Head, Context_.Platform.Headers));
  if (Outcome.End == HopResult::NotRun)
    recordRefusal(Item, Done, Outcome);
  else
    ++Item->Runs;
  if (Outcome.End == HopResult::Answered &&
      !http::isServerError(Outcome.Answer.Head.getStatus())) {
    recordWin(Item, Done);
    deliver(Item, Done, std::move(Outcome));
    return;
  }
  if (!Item->InFlight.empty()) {
    // The other attempt may still bring an answer.
    Item->Excluded.insert(Done.Node);
    keepFailure(Item, Done, std::move(Outcome));
    return;
  }
  if (mayRetry(Item, Outcome)) {
    Item->Excluded.insert(Done.Node);
    keepFailure(Item, Done, std::move(Outcome));
    Context_.Loop.defer([this, Weak = std::weak_ptr<Call>(Item)] {
      const auto Waiting = Weak.lock();
      if (Waiting && !Waiting->Ended)
        dispatch(Waiting);
    });
    return;
  }
  if (Outcome.End == HopResult::Answered)
    deliver(Item, Done, std::move(Outcome));
  else
    endUnanswered(Item, Outcome.Reason, Outcome.RetryDelay);
}

void OutboundProxy::recordWin(const CallPtr &Item, const Offer &Winner) {
  Item->HedgeWon = Winner.Number == Item->HedgedAttempt;
  const SteadyTime Now = Context_.now();
  Hedger_.onLatency(Item->Info.Route, elapsed(Winner.SentAt, Now));
  // Without the time that the slower first attempt has taken so far, the
  // estimate would only see fast answers and fall. The second attempt has only
  // just begun when the first one wins, so its time says nothing.
  for (const Offer &Loser : Item->InFlight)
    if (Loser.Number < Winner.Number)
      Hedger_.onLatency(Item->Info.Route, elapsed(Loser.SentAt, Now));
  cancelAttempts(Item);
}

/// Keeps an error answer for the case that no attempt brings a better one.
void OutboundProxy::keepFailure(const CallPtr &Item, const Offer &From,
                                HopOutcome Outcome) {
  if (Outcome.End != HopResult::Answered)
    return;
  if (Outcome.Answer.Body->isEnded())
    Item->Failure = std::move(Outcome);
  else
    // Its connection is being read.
    Context_.Loop.defer([this, From] { cancel(From); });
}

void OutboundProxy::cancel(const Offer &Running) {
  if (Running.IsLocal)
    LocalHop_.cancel(Running.Job);
  else
    RemoteHop_.cancel(Running.Job);
}

void OutboundProxy::cancelAttempts(const CallPtr &Item) {
  for (const Offer &Running : std::exchange(Item->InFlight, {})) {
    cancel(Running);
    if (Item->Ended)
      continue;
    Directory_.onCancelled(Running.Node);
    ++Item->Runs;
  }
}

} // namespace lycheethread::sidecar
