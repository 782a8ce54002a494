#include "sidecar/internal/Gossip.h"
#include "kernel/Clock.h"
#include "sidecar/internal/GossipCodec.h"

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

constexpr Milliseconds TickInterval{250};
constexpr std::size_t MaxBroadcastTargets = 40;
/// Exponential backoff for seed nodes that do not answer.
constexpr Milliseconds MinSeedBackoff{500};
constexpr Milliseconds MaxSeedBackoff{8000};
/// A report is forwarded at most this many times, plus one for each doubling of
/// the number of nodes.
constexpr int MinForwards = 3;

int forwardLimit(std::size_t Nodes) {
  int Limit = MinForwards;
  for (; Nodes > 1; Nodes /= 2)
    ++Limit;
  return Limit;
}

} // namespace

Gossip::Gossip(NodeContext &Context,
               std::function<void(mesh::NodeReport &)> FillOwnReport,
               std::function<void()> OnReports)
    : Context_(Context), FillOwnReport_(std::move(FillOwnReport)),
      OnReports_(std::move(OnReports)),
      // The incarnation of a restarted node must be higher than its previous
      // one. If the wall clock has been set back it is not; onDatagram()
      // corrects that.
      Incarnation_(kernel::wallNow().value()) {
  Socket_ = std::make_unique<reactor::UdpSocket>(
      Context_.Loop, Context_.Settings.Gossip,
      [this](std::string_view Data) { onDatagram(Data); });
  tick();
}

Gossip::~Gossip() { Context_.Loop.cancel(Timer_); }

void Gossip::addSeedEndpoints(const std::vector<Endpoint> &Found) {
  bool Added = false;
  for (const Endpoint &At : Found)
    if (!(At == Context_.Settings.Gossip))
      Added = Seeds_.emplace(At, SeedNode{}).second || Added;
  if (Added)
    contactSeeds();
}

mesh::NodeReport Gossip::ownReport() {
  mesh::NodeReport Report;
  Report.Id = Context_.Settings.Id;
  Report.IncarnationNumber = Incarnation_;
  Report.Number = Number_ = Number_.next();
  Report.At = Context_.Settings.At;
  Report.Hop = Context_.Settings.Inbound;
  Report.Gossip = Context_.Settings.Gossip;
  FillOwnReport_(Report);
  return Report;
}

/// Encodes only this node's own report, for datagrams to many nodes at once.
/// With the reports of others included, starts and configuration changes caused
/// most of the traffic between zones on a quiet day; those reports travel with
/// the regular rounds.
std::string Gossip::ownDatagram() { return encodeReports({ownReport()}); }

std::string Gossip::gossipDatagram() {
  std::vector<mesh::NodeReport> Reports{ownReport()};
  std::size_t Size = encodedSize(Reports.front());
  std::vector<const mesh::KnownNode *> Others;
  const SteadyTime Now = Context_.now();
  for (const auto &[Id, Known] : Context_.KnownNodes.Nodes)
    if (mesh::isAlive(Known, Now))
      Others.push_back(&Known);
  const auto TimesForwarded = [&](const mesh::KnownNode &Known) {
    const auto &Forwarded = ForwardCounts_[Known.LastReport.Id];
    return Forwarded.first == Known.LastReport.Number ? Forwarded.second : 0;
  };
  std::shuffle(Others.begin(), Others.end(), Context_.Random);
  std::stable_sort(Others.begin(), Others.end(), [&](auto *L, auto *R) {
    return TimesForwarded(*L) < TimesForwarded(*R);
  });
  const int Limit = forwardLimit(Others.size());
  for (const mesh::KnownNode *Known : Others) {
    if (TimesForwarded(*Known) >= Limit)
      break;
    mesh::NodeReport Item = Known->LastReport;
    // Ages count from the time of sending.
    const Milliseconds TimeSinceHeard = elapsed(Known->HeardAt, Now);
    if (Item.ConfirmedAge)
      *Item.ConfirmedAge += TimeSinceHeard;
    for (mesh::RolloutReport &Rollout : Item.Rollouts)
      Rollout.Age += TimeSinceHeard;
    Size += encodedSize(Item);
    if (Size > MaxDatagramBytes)
      break;
    ForwardCounts_[Item.Id] = {Item.Number, TimesForwarded(*Known) + 1};
    Reports.push_back(std::move(Item));
  }
  return encodeReports(Reports);
}

void Gossip::tick() {
  mesh::expireNodes(Context_.KnownNodes, Context_.now());
  const std::string Data = gossipDatagram();
  for (const Endpoint &To :
       mesh::choosePeers(Context_.KnownNodes, Context_.Settings.At,
                         TickInterval, Context_.now(), Context_.Random))
    Socket_->send(To, Data);
  contactSeeds();
  Timer_ = Context_.Loop.runAfter(TickInterval, [this] { tick(); });
}

void Gossip::contactSeeds() {
  const SteadyTime Now = Context_.now();
  std::set<Endpoint> Known;
  for (const auto &[Id, Node] : Context_.KnownNodes.Nodes)
    if (mesh::isAlive(Node, Now))
      Known.insert(Node.LastReport.Gossip);
  std::string Data;
  for (auto &[At, Item] : Seeds_) {
    if (Known.count(At) != 0) {
      Item = {};
      continue;
    }
    if (Now < Item.NextTry)
      continue;
    if (Data.empty())
      Data = ownDatagram();
    Item.Backoff = Item.Backoff == Milliseconds(0)
                       ? MinSeedBackoff
                       : std::min(MaxSeedBackoff, Item.Backoff * 2);
    Item.NextTry = after(Now, Item.Backoff);
    Socket_->send(At, Data);
  }
}

void Gossip::sendToAll() {
  sendOwnReport([](const mesh::NodeReport &) { return true; });
}

void Gossip::sendToRegion() {
  sendOwnReport([this](const mesh::NodeReport &Report) {
    return Report.At.RegionName == Context_.Settings.At.RegionName;
  });
}

void Gossip::sendOwnReport(
    const std::function<bool(const mesh::NodeReport &)> &IsTarget) {
  const std::string Data = ownDatagram();
  std::vector<Endpoint> To;
  for (const auto &[Id, Known] : Context_.KnownNodes.Nodes)
    if (mesh::isAlive(Known, Context_.now()) && IsTarget(Known.LastReport))
      To.push_back(Known.LastReport.Gossip);
  std::shuffle(To.begin(), To.end(), Context_.Random);
  To.resize(std::min(To.size(), MaxBroadcastTargets));
  for (const Endpoint &At : To)
    Socket_->send(At, Data);
}

void Gossip::onDatagram(std::string_view Data) {
  const auto Reports = decodeReports(Data);
  if (!Reports) {
    Context_.Log.write(LogClass::State, Context_.now(), "news-unreadable",
                       {{"bytes", std::to_string(Data.size())}});
    return;
  }
  bool Changed = false;
  std::string Answer;
  for (const mesh::NodeReport &Item : *Reports) {
    if (Item.Id == Context_.Settings.Id) {
      const bool IsEarlierIncarnation =
          Item.IncarnationNumber != Incarnation_ || Item.Number > Number_;
      if (IsEarlierIncarnation && Item.IncarnationNumber >= Incarnation_)
        Incarnation_ = Item.IncarnationNumber.next();
      continue;
    }
    const bool WasKnown = Context_.KnownNodes.Nodes.count(Item.Id) != 0;
    if (!mesh::mergeReport(Context_.KnownNodes, Item, Context_.now()))
      continue;
    Changed = true;
    if (!WasKnown) {
      Context_.Log.write(LogClass::State, Context_.now(), "node-found",
                         {{"node", Item.Id.str()},
                          {"zone", Item.At.Zone.str()},
                          {"service", Item.LocalUpstream.Service.str()}});
      // When many nodes start, each should learn of the others at once.
      if (Answer.empty())
        Answer = ownDatagram();
      Socket_->send(Item.Gossip, Answer);
    }
    for (const mesh::CrashSuspectReport &Crash : Item.Crashes)
      requests::recordCrashSuspect(Context_.Suspects, Crash.RequestFingerprint,
                                   Crash.Crash, Crash.Weight, Context_.now());
  }
  if (Changed)
    OnReports_();
}

} // namespace lycheethread::sidecar
