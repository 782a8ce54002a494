#include "sidecar/internal/OperatorFeed.h"
#include "sidecar/internal/GossipCodec.h"

#include <Poco/Net/HTTPRequest.h>

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;

/// How long a read waits for a record. Each end without one confirms that
/// nothing was added.
constexpr Milliseconds PollWait{1000};
/// How often a node that does not read looks whether it should.
constexpr Milliseconds WatchInterval{100};
/// Pause after a failed call, doubled each time, with jitter.
constexpr Milliseconds FirstPause{100};
/// Longest pause of a start that waits for the store.
constexpr Milliseconds StartPause{1000};
constexpr Milliseconds PullTimeout{1000};
constexpr Milliseconds ConnectTimeout{250};
/// The store answers within this time to a node of its own region, which may
/// have a tenth of a core; the round trip to the other region is 60 ms, and
/// connecting takes another.
constexpr Milliseconds NearAnswer{80};
constexpr Milliseconds PatienceForNearNodes{400};
/// A node that has waited this long for the store takes what its peers hold.
constexpr Milliseconds PatienceForStore{1200};
/// How often the first reader looks for nodes that nobody knows yet.
constexpr Milliseconds MembersInterval{5000};

} // namespace

OperatorFeed::OperatorFeed(NodeContext &Context, StoreClient &Store,
                           Callbacks Used)
    : Context_(Context), Store_(Store), Used_(std::move(Used)),
      Pool_(Context.Loop), StartedAt_(Context.now()) {
  start();
}

OperatorFeed::~OperatorFeed() {
  Context_.Loop.cancel(Timer_);
  Context_.Loop.cancel(PullTimer_);
  Context_.Loop.cancel(FetchTimer_);
}

void OperatorFeed::start() {
  loadMembers();
  waitAndReload(PatienceForNearNodes);
}

// After a start of all nodes at once the configuration would cross the region
// link once for each node of the far region. A node that the store answers
// slowly waits a little for nodes near the store to hand it on.
void OperatorFeed::onListed() {
  const bool IsNear = elapsed(StartedAt_, Context_.now()) < NearAnswer;
  waitAndReload(IsNear ? Milliseconds(0) : PatienceForNearNodes);
}

void OperatorFeed::waitAndReload(Milliseconds Pause) {
  Context_.Loop.cancel(Timer_);
  Timer_ = Context_.Loop.runAfter(Pause, [this] { reload(); });
}

bool OperatorFeed::hasOrders() const {
  return Context_.Records.Items.size() >
         Context_.Records.Items.count(Context_.Platform.Operator.ConfigKey);
}

void OperatorFeed::loadStatus() {
  // Ends are recorded for orders only; later ones are told by other nodes.
  if (!hasOrders()) {
    StatusKnown_ = true;
    return;
  }
  Store_.readNewest(StoreTopic::Status, [this](const StoreRead &Read) {
    if (Read.Outcome != StoreOutcome::Done) {
      Context_.Loop.runAfter(between(FirstPause, StartPause),
                             [this] { loadStatus(); });
      return;
    }
    StatusKnown_ = true;
    Used_.OnStatus(Read.Items);
    Used_.OnProgress();
  });
}

void OperatorFeed::loadMembers() {
  MembersAt_ = Context_.now();
  Store_.readNewest(StoreTopic::Members, [this](const StoreRead &Read) {
    if (Read.Outcome == StoreOutcome::Done) {
      const bool IsFirst = !MembersKnown_;
      MembersKnown_ = true;
      Used_.OnMembers(Read.Items);
      if (IsFirst && Context_.Records.Position == Offset() && !Busy_)
        onListed();
      Used_.OnProgress();
    } else if (Context_.Fleet.Nodes.empty()) {
      Context_.Loop.runAfter(between(FirstPause, StartPause),
                             [this] { loadMembers(); });
    }
  });
}

Milliseconds OperatorFeed::between(Milliseconds Least, Milliseconds Most) {
  std::uniform_int_distribution<std::int64_t> Spread(Least.count(),
                                                     Most.count());
  return Milliseconds(Spread(Context_.Random));
}

Milliseconds OperatorFeed::nextPause() {
  const bool ReadsAlways = mesh::shouldReadStore(
      mesh::rendezvousRank(Context_.Fleet, "store", Context_.now()),
      Milliseconds(0));
  const bool Serves = Context_.Records.Position > Offset();
  const Milliseconds Longest =
      mesh::maxStoreBackoff(ReadsAlways, Serves, Context_.Fleet.Nodes.size());
  if (Serves && !ReadsAlways)
    return between(FirstPause, Longest);
  Pause_ =
      Pause_ == Milliseconds(0) ? FirstPause : std::min(Longest, Pause_ * 2);
  return between(Pause_ / 2, Pause_);
}

void OperatorFeed::waitAndWatch(Milliseconds Pause) {
  Context_.Loop.cancel(Timer_);
  Timer_ = Context_.Loop.runAfter(Pause, [this] { watch(); });
}

void OperatorFeed::watch() {
  const SteadyTime Now = Context_.now();
  const std::size_t Rank = mesh::rendezvousRank(Context_.Fleet, "store", Now);
  const Milliseconds Age = Context_.ConfirmedAt == SteadyTime()
                               ? Milliseconds::max()
                               : elapsed(Context_.ConfirmedAt, Now);
  if (Rank == 0 && elapsed(MembersAt_, Now) > MembersInterval)
    loadMembers();
  if (!mesh::shouldReadStore(Rank, Age)) {
    waitAndWatch(WatchInterval);
    return;
  }
  // An empty topic is polled like any other.
  if (ReadOnce_ || Context_.Records.Position > Offset())
    poll();
  else
    reload();
}

void OperatorFeed::poll() {
  if (Busy_)
    return;
  Busy_ = true;
  Store_.read(StoreTopic::Operator, Context_.Records.Position, PollWait,
              [this](const StoreRead &Read) {
                Busy_ = false;
                onPolled(Read);
              });
}

void OperatorFeed::onPolled(const StoreRead &Read) {
  if (Read.Outcome == StoreOutcome::Trimmed) {
    reload();
    return;
  }
  if (Read.Outcome != StoreOutcome::Done) {
    waitAndWatch(nextPause());
    return;
  }
  Pause_ = Milliseconds(0);
  OperatorRecords New;
  for (const StoreItem &Item : Read.Items) {
    New.Items[Item.Key] = {Item.Value, Item.At};
    New.Position = Item.At.next();
  }
  const Offset Before = Context_.Records.Position;
  take(New, "store");
  if (Context_.Records.Position >= Read.End)
    Context_.ConfirmedAt = Context_.now();
  if (Before != Context_.Records.Position)
    Used_.OnRead();
  waitAndWatch(Milliseconds(0));
}

void OperatorFeed::reload() {
  if (Busy_)
    return;
  Busy_ = true;
  Store_.readNewest(StoreTopic::Operator, [this](const StoreRead &Read) {
    Busy_ = false;
    if (Read.Outcome != StoreOutcome::Done) {
      waitAndWatch(nextPause());
      return;
    }
    Pause_ = Milliseconds(0);
    ReadOnce_ = true;
    OperatorRecords New;
    New.Position = Read.End;
    for (const StoreItem &Item : Read.Items)
      New.Items[Item.Key] = {Item.Value, Item.At};
    take(New, "store");
    Context_.ConfirmedAt = Context_.now();
    Used_.OnProgress();
    Used_.OnRead();
    waitAndWatch(Milliseconds(0));
  });
}

void OperatorFeed::take(const OperatorRecords &From, const char *Source) {
  const std::size_t Before = Context_.Records.Items.size();
  const Offset PositionBefore = Context_.Records.Position;
  if (!mergeRecords(Context_.Records, From))
    return;
  BehindSince_ = SteadyTime();
  if (!StatusAsked_) {
    StatusAsked_ = true;
    loadStatus();
  }
  Context_.Log.write(
      LogClass::State, Context_.now(), "records-taken",
      {{"source", Source},
       {"from", std::to_string(PositionBefore.value())},
       {"position", std::to_string(Context_.Records.Position.value())},
       {"keys_before", std::to_string(Before)},
       {"keys", std::to_string(Context_.Records.Items.size())}});
  applyConfig();
  Used_.OnRecords();
}

void OperatorFeed::applyConfig() {
  const OperatorFormat &Format = Context_.Platform.Operator;
  const auto Found = Context_.Records.Items.find(Format.ConfigKey);
  if (Found == Context_.Records.Items.end())
    return;
  try {
    auto Read =
        std::make_shared<mesh::MeshConfig>(Format.Config(Found->second.Value));
    if (Context_.Config && Read->Version <= Context_.Config->Version)
      return;
    mesh::updateLowestRanks(*Read);
    Context_.Config = Read;
    Context_.Log.write(LogClass::State, Context_.now(), "config-in-force",
                       {{"version", std::to_string(Read->Version.value())},
                        {"offset", std::to_string(Found->second.At.value())},
                        {"hosts", std::to_string(Read->Hosts.size())},
                        {"services", std::to_string(Read->Services.size())}});
  } catch (const std::exception &Error) {
    Context_.Log.write(LogClass::State, Context_.now(), "config-unreadable",
                       {{"offset", std::to_string(Found->second.At.value())},
                        {"problem", Error.what()}});
  }
}

void OperatorFeed::onReports() {
  const SteadyTime Now = Context_.now();
  bool Behind = false;
  for (const auto &[Id, Known] : Context_.Fleet.Nodes) {
    const mesh::NodeReport &News = Known.News;
    if (!mesh::isAlive(Known, Now))
      continue;
    if (News.OperatorPosition > Context_.Records.Position)
      Behind = true;
    if (News.OperatorPosition != Context_.Records.Position ||
        !News.ConfirmedAge)
      continue;
    const SteadyTime Confirmed(Known.HeardAt.value() -
                               News.ConfirmedAge->count());
    Context_.ConfirmedAt = std::max(Context_.ConfirmedAt, Confirmed);
  }
  if (Behind)
    pull();
}

void OperatorFeed::pull() {
  if (Pulling_)
    return;
  // Any of the nearest nodes: with one choice for all, a single node would have
  // to answer a whole region.
  const mesh::NodeReport *Best = nullptr;
  std::uint64_t Equal = 0;
  for (const auto &[Id, Known] : Context_.Fleet.Nodes) {
    if (!mesh::isAlive(Known, Context_.now()) ||
        Known.News.OperatorPosition <= Context_.Records.Position)
      continue;
    const auto Distance = [&](const mesh::NodeReport &News) {
      return mesh::proximityOf(Context_.Settings.At, Context_.Settings.Id,
                               News);
    };
    const bool IsNearer =
        Best == nullptr || Distance(Known.News) < Distance(*Best);
    const bool IsEqual =
        Best != nullptr && Distance(Known.News) == Distance(*Best);
    Equal = IsNearer ? 1 : Equal + (IsEqual ? 1 : 0);
    if (IsNearer || (IsEqual && Context_.Random() % Equal == 0))
      Best = &Known.News;
  }
  if (Best == nullptr)
    return;
  const SteadyTime Now = Context_.now();
  if (BehindSince_ == SteadyTime())
    BehindSince_ = Now;
  // A node without any records serves nobody, and waits for none.
  const Milliseconds Delay =
      Context_.Records.Position == Offset()
          ? Milliseconds(0)
          : mesh::fetchDelay(Context_.Fleet, Context_.Settings.At,
                             mesh::proximityOf(Context_.Settings.At,
                                               Context_.Settings.Id, *Best),
                             Now);
  const Milliseconds Waited = elapsed(BehindSince_, Now);
  if (Waited < Delay) {
    if (FetchTimer_ == reactor::TimerId())
      FetchTimer_ = Context_.Loop.runAfter(Delay - Waited, [this] {
        FetchTimer_ = reactor::TimerId();
        pull();
      });
    return;
  }
  const Endpoint From = Best->Hop;
  HTTPRequest Head(HTTPRequest::HTTP_GET,
                   "/records?from=" +
                       std::to_string(Context_.Records.Position.value()),
                   HTTPMessage::HTTP_1_1);
  Head.set(HTTPRequest::HOST, settings::toString(From));
  Pulling_ = ClientConnection::open(Context_.Loop, From, ConnectTimeout);
  const auto End = [this] {
    Context_.Loop.cancel(PullTimer_);
    const ClientConnectionPtr Used = std::move(Pulling_);
    Pulling_ = nullptr;
    if (!Used)
      return;
    Used->close();
    // Kept until its own callback has returned.
    Context_.Loop.defer([Used] {});
  };
  auto Body = std::make_shared<std::string>();
  ClientCallbacks Callbacks;
  Callbacks.OnAnswer = [Body](const ClientAnswer &Answer) {
    collectBody(Answer, Body);
  };
  Callbacks.OnComplete = [this, Body, End] {
    End();
    const auto Records = decodeRecords(*Body);
    if (Records) {
      const bool IsFirst = Context_.Records.Position == Offset();
      take(*Records, "peer");
      Used_.OnFetched();
      // The news at hand confirm the position that has just been reached.
      onReports();
      Used_.OnProgress();
      if (IsFirst && !Busy_)
        waitAndWatch(WatchInterval);
    } else {
      Context_.Log.write(LogClass::State, Context_.now(), "records-unreadable",
                         {{"bytes", std::to_string(Body->size())}});
    }
  };
  Callbacks.OnFailure = [End](ClientFailure) { End(); };
  PullTimer_ = Context_.Loop.runAfter(PullTimeout, End);
  ClientRequest Request;
  Request.Method = HTTPRequest::HTTP_GET;
  Request.Head = http::serialize(Head);
  Pulling_->start(std::move(Request), std::move(Callbacks));
}

/// Whether ready nodes tell how each order stands.
bool OperatorFeed::peersKnowOrders() const {
  const auto IsKnown = [this](Offset Order) {
    return std::any_of(
        Context_.Fleet.Nodes.begin(), Context_.Fleet.Nodes.end(),
        [&](const auto &Item) {
          const mesh::NodeReport &News = Item.second.News;
          return News.Ready && mesh::isAlive(Item.second, Context_.now()) &&
                 std::any_of(News.Rollouts.begin(), News.Rollouts.end(),
                             [Order](const mesh::RolloutReport &Told) {
                               return Told.Order == Order;
                             });
        });
  };
  return std::all_of(Context_.Records.Items.begin(),
                     Context_.Records.Items.end(), [&](const auto &Item) {
                       return Item.first ==
                                  Context_.Platform.Operator.ConfigKey ||
                              IsKnown(Item.second.At);
                     });
}

bool OperatorFeed::isCurrent() const {
  if (!Context_.Config)
    return false;
  // What the store confirmed after this node had started is as new as anything
  // that a caller was served by in an earlier life of it.
  const bool IsConfirmed = Context_.ConfirmedAt >= StartedAt_;
  const bool KnowsNodes = MembersKnown_ || !Context_.Fleet.Nodes.empty();
  if (IsConfirmed && KnowsNodes && (StatusKnown_ || peersKnowOrders()))
    return true;
  if (elapsed(StartedAt_, Context_.now()) < PatienceForStore)
    return false;
  // Without the store, what the peers hold is the newest that any caller can
  // have been served by.
  bool HasPeer = false;
  for (const auto &[Id, Known] : Context_.Fleet.Nodes) {
    if (!mesh::isAlive(Known, Context_.now()))
      continue;
    HasPeer = true;
    if (Known.News.OperatorPosition > Context_.Records.Position)
      return false;
  }
  return HasPeer || ReadOnce_;
}

} // namespace lycheethread::sidecar
