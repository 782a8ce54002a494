#include "sidecar/internal/OperatorFeed.h"
#include "sidecar/internal/EvacuatedZones.h"
#include "sidecar/internal/GossipCodec.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/NumberFormatter.h>

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;

/// How often a node that does not read the store checks whether it should.
constexpr Milliseconds ReaderCheckInterval{100};
/// First backoff after a failed call; doubles with each further failure, with
/// jitter.
constexpr Milliseconds InitialStoreBackoff{100};
/// Maximum backoff of a starting node that waits for the store.
constexpr Milliseconds MaxStartBackoff{1000};
constexpr Milliseconds FetchTimeout{1000};
constexpr Milliseconds ConnectTimeout{250};
/// A starting node whose list of nodes has not come by now reads the records.
constexpr Milliseconds MembersWaitTime{400};
/// Time for ready nodes to report how the rollouts stand.
constexpr Milliseconds StatusWaitTime{300};
/// A starting node that has waited this long for the store uses the records of
/// its peers.
constexpr Milliseconds StoreWaitTimeout{1200};
/// How often the first reader checks the member list for nodes that are not
/// known yet.
constexpr Milliseconds MembersInterval{5000};
/// Pause between two requests for records that only other nodes keep.
constexpr Milliseconds KeptAskInterval{500};

organisations::DigestSecret makeSecret() {
  std::random_device Source;
  std::string Text;
  for (int Part = 0; Part < 4; ++Part)
    Text += Poco::NumberFormatter::formatHex(
        (static_cast<Poco::UInt64>(Source()) << 32U) | Source(), 16);
  return organisations::DigestSecret(Text);
}

} // namespace

OperatorFeed::OperatorFeed(NodeContext &Context, StoreClient &Store,
                           Callbacks Handlers)
    : Context_(Context), Store_(Store), Callbacks_(std::move(Handlers)),
      Pool_(Context.Loop), StartedAt_(Context.now()), KeySecret_(makeSecret()) {
  start();
}

OperatorFeed::~OperatorFeed() {
  Context_.Loop.cancel(Timer_);
  Context_.Loop.cancel(FetchTimeoutTimer_);
  Context_.Loop.cancel(FetchDelayTimer_);
}

void OperatorFeed::start() {
  loadMembers();
  scheduleReload(MembersWaitTime);
}

void OperatorFeed::onFirstMembers(std::size_t Listed) {
  const mesh::FirstReadDelay Delay =
      mesh::firstReadDelay(Listed, elapsed(StartedAt_, Context_.now()));
  scheduleReload(randomBetween(Delay.Least, Delay.Most));
}

void OperatorFeed::scheduleReload(Milliseconds Pause) {
  Context_.Loop.cancel(Timer_);
  Timer_ = Context_.Loop.runAfter(Pause, [this] { reload(); });
}

/// Whether ends may be recorded for the record.
bool OperatorFeed::isOrder(const std::string &Key,
                           const OperatorRecord &Record) const {
  const OperatorFormat &Format = Context_.Platform.Operator;
  return Key != Format.ConfigKey && !isRemoval(Record) &&
         !Format.Evacuation({Key, Record.Value, Record.At});
}

bool OperatorFeed::hasOrders() const {
  const auto &Items = Context_.Records.Items;
  return std::any_of(Items.begin(), Items.end(), [this](const auto &Item) {
    return isOrder(Item.first, Item.second);
  });
}

void OperatorFeed::loadStatus() {
  // Ends are recorded for orders only; other nodes report later ends.
  if (!hasOrders()) {
    StatusKnown_ = true;
    return;
  }
  if (peersKnowOrders()) {
    // Their reports carry each end; the store is not needed.
    StatusKnown_ = true;
    return;
  }
  if (!StatusAwaited_ && hasReadyPeer()) {
    StatusAwaited_ = true;
    Context_.Loop.runAfter(StatusWaitTime, [this] { loadStatus(); });
    return;
  }
  Store_.readNewest(StoreTopic::Status, [this](const StoreRead &Read) {
    if (Read.Outcome != StoreOutcome::Done) {
      Context_.Loop.runAfter(
          randomBetween(InitialStoreBackoff, MaxStartBackoff),
          [this] { loadStatus(); });
      return;
    }
    StatusKnown_ = true;
    Callbacks_.OnStatus(Read.Items);
    Callbacks_.OnProgress();
  });
}

void OperatorFeed::loadMembers() {
  MembersReadAt_ = Context_.now();
  Store_.readNewest(StoreTopic::Members, [this](const StoreRead &Read) {
    if (Read.Outcome == StoreOutcome::Done) {
      const bool IsFirst = !MembersKnown_;
      MembersKnown_ = true;
      Callbacks_.OnMembers(Read);
      if (IsFirst && Context_.Records.Position == Offset() && !Busy_)
        onFirstMembers(Read.Items.size());
      Callbacks_.OnProgress();
    } else if (Context_.KnownNodes.Nodes.empty()) {
      Context_.Loop.runAfter(
          randomBetween(InitialStoreBackoff, MaxStartBackoff),
          [this] { loadMembers(); });
    }
  });
}

Milliseconds OperatorFeed::randomBetween(Milliseconds Least,
                                         Milliseconds Most) {
  std::uniform_int_distribution<std::int64_t> Distribution(Least.count(),
                                                           Most.count());
  return Milliseconds(Distribution(Context_.Random));
}

Milliseconds OperatorFeed::nextBackoff() {
  const bool ReadsAlways = mesh::shouldReadStore(
      mesh::rendezvousRank(Context_.KnownNodes, "store", Context_.now()),
      Milliseconds(0), Context_.Bounds);
  const bool Serves = Context_.Records.Position > Offset();
  const Milliseconds Longest = mesh::maxStoreBackoff(
      ReadsAlways, Serves, Context_.KnownNodes.Nodes.size());
  if (Serves && !ReadsAlways)
    return randomBetween(InitialStoreBackoff, Longest);
  Backoff_ = Backoff_ == Milliseconds(0) ? InitialStoreBackoff
                                         : std::min(Longest, Backoff_ * 2);
  return randomBetween(Backoff_ / 2, Backoff_);
}

void OperatorFeed::scheduleReaderCheck(Milliseconds Pause) {
  Context_.Loop.cancel(Timer_);
  Timer_ = Context_.Loop.runAfter(Pause, [this] { checkReader(); });
}

void OperatorFeed::checkReader() {
  const SteadyTime Now = Context_.now();
  const std::size_t Rank =
      mesh::rendezvousRank(Context_.KnownNodes, "store", Now);
  const Milliseconds Age = Context_.ConfirmedAt == SteadyTime()
                               ? Milliseconds::max()
                               : elapsed(Context_.ConfirmedAt, Now);
  if (Rank == 0 && elapsed(MembersReadAt_, Now) > MembersInterval)
    loadMembers();
  if (!mesh::shouldReadStore(Rank, Age, Context_.Bounds)) {
    scheduleReaderCheck(ReaderCheckInterval);
    return;
  }
  // An empty topic is polled like any other.
  if (HasReadStore_ || Context_.Records.Position > Offset())
    poll();
  else
    reload();
}

void OperatorFeed::poll() {
  if (Busy_)
    return;
  Busy_ = true;
  const Milliseconds Wait = mesh::storeReadWait(Context_.Bounds);
  Store_.read(StoreTopic::Operator, Context_.Records.Position, Wait,
              [this, SentAt = Context_.now(), Wait](const StoreRead &Read) {
                Busy_ = false;
                onPolled(Read, SentAt, Wait);
              });
}

void OperatorFeed::onPolled(const StoreRead &Read, SteadyTime SentAt,
                            Milliseconds Wait) {
  if (Read.Outcome == StoreOutcome::Trimmed) {
    reload();
    return;
  }
  if (Read.Outcome != StoreOutcome::Done) {
    scheduleReaderCheck(nextBackoff());
    return;
  }
  Backoff_ = Milliseconds(0);
  OperatorRecords New;
  for (const StoreItem &Item : Read.Items) {
    New.Items[Item.Key] = {Item.Value, Item.At};
    New.Position = Item.At.next();
  }
  const Offset Before = Context_.Records.Position;
  applyRecords(New, "store");
  // The answer may have been on its way for long. Without records it was sent
  // after the whole wait.
  const bool HasWaited =
      Read.Items.empty() && elapsed(SentAt, Context_.now()) >= Wait;
  if (Context_.Records.Position >= Read.End)
    Context_.ConfirmedAt = std::max(Context_.ConfirmedAt,
                                    HasWaited ? after(SentAt, Wait) : SentAt);
  if (Before != Context_.Records.Position)
    Callbacks_.OnRead();
  scheduleReaderCheck(Milliseconds(0));
}

void OperatorFeed::reload() {
  if (Busy_)
    return;
  Busy_ = true;
  Store_.readNewest(StoreTopic::Operator, [this, SentAt = Context_.now()](
                                              const StoreRead &Read) {
    Busy_ = false;
    if (Read.Outcome != StoreOutcome::Done) {
      scheduleReaderCheck(nextBackoff());
      return;
    }
    Backoff_ = Milliseconds(0);
    HasReadStore_ = true;
    OperatorRecords New;
    New.Position = Read.End;
    for (const StoreItem &Item : Read.Items)
      New.Items[Item.Key] = {Item.Value, Item.At};
    addRemovals(New, Context_.Records, Context_.Platform.Operator.ConfigKey);
    applyRecords(New, "store");
    if (Context_.Records.Position > Read.End) {
      // Also a store that states no era may have lost its newest records, and
      // an answer may be from before it did.
      Context_.Log.write(
          LogClass::State, Context_.now(), "store-behind",
          {{"end", std::to_string(plainOffset(Read.End).value())},
           {"era", std::to_string(eraOf(Read.End).value())}});
      scheduleReaderCheck(nextBackoff());
      return;
    }
    Context_.ConfirmedAt = std::max(Context_.ConfirmedAt, SentAt);
    Callbacks_.OnProgress();
    Callbacks_.OnRead();
    scheduleReaderCheck(Milliseconds(0));
  });
}

void OperatorFeed::applyRecords(const OperatorRecords &From,
                                const char *Source) {
  const std::size_t Before = Context_.Records.Items.size();
  const Offset PositionBefore = Context_.Records.Position;
  if (!mergeRecords(Context_.Records, From,
                    Context_.Platform.Operator.Replaces))
    return;
  if (eraOf(PositionBefore) < eraOf(Context_.Records.Position))
    EarlierPosition_ = std::max(EarlierPosition_, PositionBefore);
  BehindSince_ = SteadyTime();
  if (!StatusRequested_) {
    StatusRequested_ = true;
    loadStatus();
  }
  Context_.Log.write(
      LogClass::State, Context_.now(), "records-taken",
      {{"source", Source},
       {"from", std::to_string(plainOffset(PositionBefore).value())},
       {"position",
        std::to_string(plainOffset(Context_.Records.Position).value())},
       {"era", std::to_string(eraOf(Context_.Records.Position).value())},
       {"kept", std::to_string(countKept(Context_.Records))},
       {"keys_before", std::to_string(Before)},
       {"keys", std::to_string(Context_.Records.Items.size())}});
  applyConfig();
  updateEvacuation(Context_);
  Callbacks_.OnRecords();
}

void OperatorFeed::applyConfig() {
  const OperatorFormat &Format = Context_.Platform.Operator;
  const auto Found = Context_.Records.Items.find(Format.ConfigKey);
  // A configuration is only replaced.
  if (Found == Context_.Records.Items.end() || isRemoval(Found->second))
    return;
  try {
    auto Read =
        std::make_shared<mesh::MeshConfig>(Format.Config(Found->second.Value));
    Context_.IsConfigUnreadable = false;
    if (Context_.Config && Read->Version <= Context_.Config->Version)
      return;
    mesh::updateLeastUrgent(*Read);
    Read->Keys = organisations::makeKeyTable(Read->StatedKeys, KeySecret_);
    Read->StatedKeys.clear();
    Context_.Config = Read;
    Context_.Log.write(
        LogClass::State, Context_.now(), "config-in-force",
        {{"version", std::to_string(Read->Version.value())},
         {"offset", std::to_string(plainOffset(Found->second.At).value())},
         {"hosts", std::to_string(Read->Hosts.size())},
         {"services", std::to_string(Read->Services.size())},
         {"organisations", std::to_string(Read->Organisations.size())},
         {"keys", std::to_string(Read->Keys.Holders.size())}});
  } catch (const std::exception &Error) {
    Context_.IsConfigUnreadable = true;
    Context_.Log.write(
        LogClass::State, Context_.now(), "config-unreadable",
        {{"offset", std::to_string(plainOffset(Found->second.At).value())},
         {"problem", Error.what()}});
  }
}

void OperatorFeed::onReports() {
  const SteadyTime Now = Context_.now();
  bool Behind = false;
  for (const auto &[Id, Known] : Context_.KnownNodes.Nodes) {
    const mesh::NodeReport &Report = Known.LastReport;
    if (!mesh::isAlive(Context_.KnownNodes, Known, Now))
      continue;
    if (lacksRecordsOf(Report))
      Behind = true;
    if (Report.OperatorPosition != Context_.Records.Position ||
        !Report.ConfirmedAge)
      continue;
    const SteadyTime Confirmed = after(Known.ReportedAt, -*Report.ConfirmedAge);
    Context_.ConfirmedAt = std::max(Context_.ConfirmedAt, Confirmed);
  }
  if (Behind)
    fetchFromPeer();
}

/// Whether the node holds records that this one lacks: later ones, or such as
/// the store has lost and the operator has not written again.
bool OperatorFeed::lacksRecordsOf(const mesh::NodeReport &Report) const {
  const Offset Own = Context_.Records.Position;
  if (Report.OperatorPosition > Own)
    return true;
  // A node that was asked just now reports later what it has told.
  const bool MayAsk = KeptAskedAt_ == SteadyTime() ||
                      elapsed(KeptAskedAt_, Context_.now()) > KeptAskInterval;
  if (!MayAsk)
    return false;
  if (Report.OperatorPosition == Own)
    return Report.KeptRecords > countKept(Context_.Records);
  return eraOf(Report.OperatorPosition) < eraOf(Own) &&
         Report.OperatorPosition > EarlierPosition_;
}

void OperatorFeed::fetchFromPeer() {
  if (FetchConnection_)
    return;
  // Picks a random node among the nearest: if all nodes chose the same, it
  // would have to serve a whole region.
  const mesh::NodeReport *Best = nullptr;
  std::uint64_t Equal = 0;
  for (const auto &[Id, Known] : Context_.KnownNodes.Nodes) {
    if (!mesh::isAlive(Context_.KnownNodes, Known, Context_.now()) ||
        !lacksRecordsOf(Known.LastReport))
      continue;
    const auto Distance = [&](const mesh::NodeReport &Report) {
      return mesh::proximityOf(Context_.Settings.At, Context_.Settings.Id,
                               Report);
    };
    const bool IsNearer =
        Best == nullptr || Distance(Known.LastReport) < Distance(*Best);
    const bool IsEqual =
        Best != nullptr && Distance(Known.LastReport) == Distance(*Best);
    Equal = IsNearer ? 1 : Equal + (IsEqual ? 1 : 0);
    if (IsNearer || (IsEqual && Context_.Random() % Equal == 0))
      Best = &Known.LastReport;
  }
  if (Best == nullptr)
    return;
  const SteadyTime Now = Context_.now();
  if (BehindSince_ == SteadyTime())
    BehindSince_ = Now;
  // A node without any records serves no requests and fetches at once.
  const Milliseconds Delay =
      Context_.Records.Position == Offset()
          ? Milliseconds(0)
          : mesh::fetchDelay(Context_.KnownNodes, Context_.Settings.At,
                             mesh::proximityOf(Context_.Settings.At,
                                               Context_.Settings.Id, *Best),
                             Now);
  const Milliseconds Waited = elapsed(BehindSince_, Now);
  if (Waited < Delay) {
    if (FetchDelayTimer_ == reactor::TimerId())
      FetchDelayTimer_ = Context_.Loop.runAfter(Delay - Waited, [this] {
        FetchDelayTimer_ = reactor::TimerId();
        fetchFromPeer();
      });
    return;
  }
  const Endpoint From = Best->Hop;
  // Kept records may have any position.
  const bool IsOnlyKept = Best->OperatorPosition <= Context_.Records.Position;
  // The node asked may have found a zone's evacuation removed by its first read
  // of the store, which leaves no record; what it lacks then tells so.
  const bool IsWhole = IsOnlyKept || !evacuatedZones(Context_).empty();
  const Offset First = IsWhole ? Offset() : Context_.Records.Position;
  if (IsOnlyKept)
    KeptAskedAt_ = Now;
  HTTPRequest Head(HTTPRequest::HTTP_GET,
                   "/records?from=" + std::to_string(First.value()),
                   HTTPMessage::HTTP_1_1);
  Head.set(HTTPRequest::HOST, settings::toString(From));
  FetchConnection_ =
      ClientConnection::open(Context_.Loop, From, ConnectTimeout);
  const auto End = [this] {
    Context_.Loop.cancel(FetchTimeoutTimer_);
    const ClientConnectionPtr Used = std::move(FetchConnection_);
    FetchConnection_ = nullptr;
    if (!Used)
      return;
    Used->close();
    // Stays alive until its own callback has returned.
    Context_.Loop.defer([Used] {});
  };
  auto Body = std::make_shared<std::string>();
  ClientCallbacks Callbacks;
  Callbacks.OnAnswer = [Body](const ClientAnswer &Answer) {
    collectBody(Answer, Body);
  };
  Callbacks.OnComplete = [this, Body, End, IsWhole] {
    End();
    auto Records = decodeRecords(*Body);
    if (Records) {
      if (IsWhole)
        addRemovals(*Records, Context_.Records,
                    Context_.Platform.Operator.ConfigKey);
      const bool IsFirst = Context_.Records.Position == Offset();
      if (eraOf(Records->Position) < eraOf(Context_.Records.Position))
        EarlierPosition_ = std::max(EarlierPosition_, Records->Position);
      applyRecords(*Records, "peer");
      Callbacks_.OnFetched();
      // The known reports may confirm the position that has just been reached.
      onReports();
      Callbacks_.OnProgress();
      if (IsFirst && !Busy_)
        scheduleReaderCheck(ReaderCheckInterval);
    } else {
      Context_.Log.write(LogClass::State, Context_.now(), "records-unreadable",
                         {{"bytes", std::to_string(Body->size())}});
    }
  };
  Callbacks.OnFailure = [End](ClientFailure) { End(); };
  FetchTimeoutTimer_ = Context_.Loop.runAfter(FetchTimeout, End);
  ClientRequest Request;
  Request.Method = HTTPRequest::HTTP_GET;
  Request.Head = http::serialize(Head);
  FetchConnection_->start(std::move(Request), std::move(Callbacks));
}

bool OperatorFeed::hasReadyPeer() const {
  return std::any_of(Context_.KnownNodes.Nodes.begin(),
                     Context_.KnownNodes.Nodes.end(), [&](const auto &Item) {
                       return Item.second.LastReport.Ready &&
                              mesh::isAlive(Context_.KnownNodes, Item.second,
                                            Context_.now());
                     });
}

/// Whether ready nodes report the state of every order.
bool OperatorFeed::peersKnowOrders() const {
  const auto IsKnown = [this](Offset Order) {
    return std::any_of(
        Context_.KnownNodes.Nodes.begin(), Context_.KnownNodes.Nodes.end(),
        [&](const auto &Item) {
          const mesh::NodeReport &Report = Item.second.LastReport;
          return Report.Ready &&
                 mesh::isAlive(Context_.KnownNodes, Item.second,
                               Context_.now()) &&
                 std::any_of(Report.Rollouts.begin(), Report.Rollouts.end(),
                             [Order](const mesh::RolloutReport &Reported) {
                               return Reported.Order == Order;
                             });
        });
  };
  return std::all_of(Context_.Records.Items.begin(),
                     Context_.Records.Items.end(), [&](const auto &Item) {
                       return !isOrder(Item.first, Item.second) ||
                              IsKnown(Item.second.At);
                     });
}

/// Whether a node keeps records which the store has lost and this one has not
/// got; not for longer than a change may take.
bool OperatorFeed::lacksKeptRecords() const {
  const SteadyTime Now = Context_.now();
  if (elapsed(StartedAt_, Now) > Context_.Bounds.ConfigApplyTime)
    return false;
  const Offset Own = Context_.Records.Position;
  return std::any_of(
      Context_.KnownNodes.Nodes.begin(), Context_.KnownNodes.Nodes.end(),
      [&](const auto &Item) {
        const mesh::NodeReport &Report = Item.second.LastReport;
        const bool IsOfEarlierEra =
            Report.OperatorPosition > EarlierPosition_ &&
            eraOf(Report.OperatorPosition) < eraOf(Own);
        return Report.Ready &&
               mesh::isAlive(Context_.KnownNodes, Item.second, Now) &&
               (IsOfEarlierEra ||
                Report.KeptRecords > countKept(Context_.Records));
      });
}

bool OperatorFeed::isCurrent() const {
  if (!Context_.Config)
    return false;
  // A confirmation given after this node started is at least as new as any
  // configuration that the node served before its restart, unless the store has
  // lost that one.
  const bool IsConfirmed =
      Context_.ConfirmedAt >= StartedAt_ && !lacksKeptRecords();
  const bool KnowsNodes = mesh::hasJoined(Context_.Join, Context_.KnownNodes,
                                          elapsed(StartedAt_, Context_.now()));
  if (IsConfirmed && KnowsNodes && (StatusKnown_ || peersKnowOrders()))
    return true;
  if (elapsed(StartedAt_, Context_.now()) < StoreWaitTimeout)
    return false;
  // Without the store, the records of the peers are the newest that any caller
  // can have been served with.
  bool HasPeer = false;
  for (const auto &[Id, Known] : Context_.KnownNodes.Nodes) {
    if (!mesh::isAlive(Context_.KnownNodes, Known, Context_.now()))
      continue;
    HasPeer = true;
    if (Known.LastReport.OperatorPosition > Context_.Records.Position)
      return false;
  }
  return HasPeer || HasReadStore_;
}

} // namespace lycheethread::sidecar
