#include "sidecar/internal/OutboundCall.h"

namespace lycheethread::sidecar {

namespace {

using Poco::Net::HTTPRequest;

/// A node that has lost touch with the store hears of it again within about
/// this time once the store can be reached.
constexpr Milliseconds ConfirmationRetryDelay{400};

} // namespace

/// Finds the organisation of the request, or refuses it.
bool OutboundProxy::identifyCaller(const CallPtr &Item) {
  const mesh::MeshConfig &Config = *Item->Config;
  Item->Info.HasOrganisations = !Config.Organisations.empty();
  if (Item->Info.HasOrganisations && !Item->Route->IsPublic) {
    if (!Context_.mayTrustKeys()) {
      endUnanswered(Item, RefusalReason::KeysUnconfirmed,
                    ConfirmationRetryDelay);
      return false;
    }
    const HTTPRequest &Head = Item->Request->head();
    const std::string &Name = Context_.Platform.Headers.Key;
    const auto Holder =
        http::countOf(Head, Name) == 1
            ? organisations::findHolder(Config.Keys, Head.get(Name))
            : std::nullopt;
    if (!Holder) {
      endUnanswered(Item, RefusalReason::UnknownKey, Milliseconds(0));
      return false;
    }
    Item->Holder = &Config.Organisations[*Holder];
    Item->Info.Organisation = Item->Holder->Name;
  }
  Item->Allowed =
      organisations::servingRegions(Item->Route->AllowedRegions, Item->Holder);
  return true;
}

/// Waits until the quota of the organisation permits the request. One permit
/// covers all upstreams to which it is sent.
void OutboundProxy::acquirePermit(const CallPtr &Item) {
  if (Item->Holder == nullptr || !Item->Holder->Limit) {
    waitForBody(Item);
    return;
  }
  Permits_.acquire(
      *Item->Holder, Item->Info, Item->TimeSinceFirstAttempt,
      [this, Item](const PermitResult &Result) { onPermit(Item, Result); });
}

void OutboundProxy::onPermit(const CallPtr &Item, const PermitResult &Result) {
  if (Result.Granted)
    Item->PermitExpiresAt = Result.ExpiresAt;
  if (Item->Ended)
    releasePermit(Item);
  else if (Result.Granted)
    waitForBody(Item);
  else
    endUnanswered(Item, RefusalReason::OverQuota, Result.RetryDelay);
}

void OutboundProxy::releasePermit(const CallPtr &Item) {
  if (Item->PermitExpiresAt)
    Permits_.release(*Item->Holder, *Item->PermitExpiresAt);
  Item->PermitExpiresAt.reset();
}

/// An upstream that waits no longer closes the connection at the deadline of
/// its call. Earlier than that its own request has ended.
void OutboundProxy::recordAbandonedCall(const CallPtr &Item) {
  if (Item->IsNestedCall && !Item->Ended &&
      elapsed(Context_.now(), Item->Info.DeadlineAt) <= Milliseconds(0))
    LocalHop_.callees().onRefused(Item->Info.Service, Item->ArrivedAt,
                                  RefusalReason::UpstreamTimeout,
                                  Milliseconds(0));
}

} // namespace lycheethread::sidecar
