#include "sidecar/internal/Gossip.h"
#include "kernel/Clock.h"
#include "sidecar/internal/GossipCodec.h"

#include <algorithm>
#include <iterator>

namespace lycheethread::sidecar {

namespace {

constexpr Milliseconds TickInterval{250};
constexpr std::size_t MaxBroadcastTargets = 40;
constexpr Milliseconds RelayDelay{60};
constexpr Milliseconds SeedCheckInterval{1000};
/// A report that was asked for is not asked for again within this time.
constexpr Milliseconds AskInterval{500};
constexpr std::size_t MaxAsked = 16;
constexpr std::size_t MaxAskedAt = 4096;
/// Bytes of an evidence report around its node id and its routes.
constexpr std::size_t EvidenceFrameBytes = 48;
/// Datagrams with evidence that one node sends to another at a time.
constexpr std::size_t MaxEvidenceReports = 4;

/// The parts of a report that other nodes must learn of soon. Positions and
/// judgements change all the time; every node passes its own on by itself.
std::string stateText(mesh::NodeReport Report) {
  Report.Number = Sequence();
  Report.State = Sequence();
  Report.Load = {};
  Report.ConfirmedAge = std::nullopt;
  Report.OperatorPosition = Offset();
  Milliseconds &Cold = Report.LocalUpstream.ColdRemaining;
  Cold = std::min(Cold, Milliseconds(1));
  for (mesh::RolloutReport &Item : Report.Rollouts) {
    Item.Age = Milliseconds(0);
    Item.Judged = std::nullopt;
  }
  return encodeGossip({{Report}, {}, {}});
}

bool knowsLimit(const mesh::NodeTable &Known) {
  return std::any_of(
      Known.Nodes.begin(), Known.Nodes.end(), [](const auto &Item) {
        return Item.second.LastReport.Load.LimitPerSecond.has_value();
      });
}

} // namespace

Gossip::Gossip(NodeContext &Context,
               std::function<void(mesh::NodeReport &)> FillOwnReport,
               std::function<void()> OnReports,
               std::function<void(const mesh::Upstream &)> OnOwnPast)
    : Context_(Context), FillOwnReport_(std::move(FillOwnReport)),
      OnReports_(std::move(OnReports)), OnOwnPast_(std::move(OnOwnPast)),
      // The incarnation of a restarted node must be higher than its previous
      // one. If the wall clock has been set back it is not; onReport()
      // corrects that.
      Incarnation_(kernel::wallNow().value()) {
  Socket_ = std::make_unique<reactor::UdpSocket>(
      Context_.Loop, Context_.Settings.Gossip,
      [this](std::string_view Data) { onDatagram(Data); });
  tick();
}

Gossip::~Gossip() {
  Context_.Loop.cancel(Timer_);
  Context_.Loop.cancel(RelayTimer_);
}

void Gossip::addSeeds(const std::vector<mesh::ListedNode> &Found) {
  bool Added = false;
  for (const mesh::ListedNode &Node : Found) {
    if (Node.Gossip == Context_.Settings.Gossip)
      continue;
    const auto [Place, IsNew] = Seeds_.try_emplace(Node.Gossip);
    Place->second.Zone = Node.Zone;
    Added = Added || IsNew;
  }
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
  countState(Report);
  shorten(Report);
  return Report;
}

void Gossip::countState(mesh::NodeReport &Report) {
  std::string Text = stateText(Report);
  if (Text != StateText_) {
    StateText_ = std::move(Text);
    State_ = State_.next();
  }
  Report.State = State_;
}

/// A report that its receivers refuse would make this node look gone. The state
/// is that of the whole report.
void Gossip::shorten(mesh::NodeReport &Report) {
  const std::size_t LeftOut =
      mesh::fitReport(Report, {MaxReportBytes, encodedSize}, Context_.Random());
  if ((LeftOut > 0) != IsShortened_)
    Context_.Log.write(LogClass::State, Context_.now(), "report-shortened",
                       {{"left_out", std::to_string(LeftOut)}});
  IsShortened_ = LeftOut > 0;
}

/// Encodes only this node's own report, for datagrams to many nodes at once.
/// With the reports of others included, starts and configuration changes caused
/// most of the traffic between zones on a quiet day; those reports travel with
/// the regular rounds.
std::string Gossip::ownDatagram() {
  return encodeGossip({{ownReport()}, {}, {}});
}

void Gossip::sendRound(const std::vector<Endpoint> &To, mesh::BeatScope Scope) {
  if (To.empty())
    return;
  GossipMessage Message;
  Message.Reports.push_back(ownReport());
  mesh::GossipPlan Plan;
  Plan.At = Context_.Settings.At;
  Plan.Scope = Scope;
  const std::size_t Own = encodedSize(Message.Reports.front()) + FrameBytes;
  Plan.Bytes = Own < MaxDatagramBytes ? MaxDatagramBytes - Own : 0;
  Plan.BeatBytes =
      knowsLimit(Context_.KnownNodes) ? LimitedBeatBytes : UsualBeatBytes;
  Plan.ReportBytes = encodedSize;
  mesh::GossipContent Others =
      mesh::composeGossip(Context_.KnownNodes, Plan, Context_.now());
  std::move(Others.Reports.begin(), Others.Reports.end(),
            std::back_inserter(Message.Reports));
  Message.Beats = std::move(Others.Beats);
  const std::string Data = encodeGossip(Message);
  for (const Endpoint &At : To)
    sendDatagram(At, Data);
}

void Gossip::tick() {
  mesh::expireNodes(Context_.KnownNodes, Context_.now());
  const mesh::GossipTargets Targets =
      mesh::choosePeers(Context_.KnownNodes, Context_.Settings.At, TickInterval,
                        Context_.now(), Context_.Random);
  sendRound(Targets.InZone, mesh::BeatScope::All);
  sendRound(Targets.InRegion, mesh::BeatScope::Zone);
  sendRound(Targets.OtherRegions, mesh::BeatScope::Zone);
  if (elapsed(SeedsCheckedAt_, Context_.now()) >= SeedCheckInterval)
    contactSeeds();
  Timer_ = Context_.Loop.runAfter(TickInterval, [this] { tick(); });
}

/// Passes changed states on in the own zone, several at a time.
void Gossip::relay() {
  RelayTimer_ = reactor::TimerId();
  sendRound(mesh::choosePeers(Context_.KnownNodes, Context_.Settings.At,
                              TickInterval, Context_.now(), Context_.Random)
                .InZone,
            mesh::BeatScope::All);
}

void Gossip::contactSeeds() {
  SeedsCheckedAt_ = Context_.now();
  std::string Data;
  for (const Endpoint &At :
       mesh::chooseSeeds(Seeds_, Context_.KnownNodes, Context_.Settings.At.Zone,
                         Context_.now(), Context_.Random)) {
    if (Data.empty())
      Data = encodeGossip({{ownReport()}, {}, {mesh::ReceiverKey}});
    sendDatagram(At, Data);
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

void Gossip::sendEvidence(Offset Order, const mesh::EvidenceByRoute &Own,
                          const std::vector<NodeId> &Targets) {
  const mesh::EvidencePlan Plan{MaxDatagramBytes - EvidenceFrameBytes -
                                    Context_.Settings.Id.str().size(),
                                MaxEvidenceReports, encodedRouteSize};
  for (mesh::EvidenceReport &Part :
       mesh::composeEvidence(Order, Own, Plan, EvidenceSent_)) {
    Part.Node = Context_.Settings.Id;
    Part.IncarnationNumber = Incarnation_;
    GossipMessage Message;
    Message.Evidence = std::move(Part);
    const std::string Data = encodeGossip(Message);
    for (const NodeId &Id : Targets) {
      const auto Found = Context_.KnownNodes.Nodes.find(Id);
      if (Found != Context_.KnownNodes.Nodes.end())
        sendDatagram(Found->second.LastReport.Gossip, Data);
    }
  }
}

void Gossip::send(const Endpoint &To, const GossipMessage &Message) {
  sendDatagram(To, encodeGossip(Message));
}

void Gossip::sendDatagram(const Endpoint &To, const std::string &Data) {
  if (Data.size() > MaxReadableBytes) {
    Context_.Log.write(LogClass::State, Context_.now(), "datagram-too-long",
                       {{"bytes", std::to_string(Data.size())}});
    return;
  }
  Socket_->send(To, Data);
}

void Gossip::sendOwnReport(
    const std::function<bool(const mesh::NodeReport &)> &IsTarget) {
  const std::string Data = ownDatagram();
  std::vector<Endpoint> To;
  for (const auto &[Id, Known] : Context_.KnownNodes.Nodes)
    if (mesh::isAlive(Context_.KnownNodes, Known, Context_.now()) &&
        IsTarget(Known.LastReport))
      To.push_back(Known.LastReport.Gossip);
  std::shuffle(To.begin(), To.end(), Context_.Random);
  // The nodes that get it pass it on with their next rounds.
  To.resize(std::min(To.size(), MaxBroadcastTargets));
  for (const Endpoint &At : To)
    sendDatagram(At, Data);
}

/// Answers a node that this one did not know, that has been restarted or that
/// asks for it, so that it learns of the others at once, and of what it knew
/// before.
void Gossip::greet(const mesh::NodeReport &Sender) {
  GossipMessage Message;
  Message.Reports.push_back(ownReport());
  const auto Found = Context_.KnownNodes.Nodes.find(Sender.Id);
  if (Found != Context_.KnownNodes.Nodes.end() && Found->second.Left) {
    mesh::NodeReport Past;
    Past.Id = Sender.Id;
    Past.LocalUpstream = *Found->second.Left;
    Message.Reports.push_back(std::move(Past));
  }
  sendDatagram(Sender.Gossip, encodeGossip(Message));
}

/// Takes a report; returns whether it told something new.
bool Gossip::onReport(const mesh::NodeReport &Item) {
  if (Item.Id == Context_.Settings.Id) {
    const bool IsEarlierIncarnation =
        Item.IncarnationNumber != Incarnation_ || Item.Number > Number_;
    if (IsEarlierIncarnation && Item.IncarnationNumber >= Incarnation_)
      Incarnation_ = Item.IncarnationNumber.next();
    if (IsEarlierIncarnation && mesh::isLeaving(Item.LocalUpstream))
      OnOwnPast_(Item.LocalUpstream);
    return false;
  }
  const bool WasKnown = Context_.KnownNodes.Nodes.count(Item.Id) != 0;
  if (!mesh::mergeReport(Context_.KnownNodes, Item, Context_.now()))
    return false;
  if (!WasKnown)
    Context_.Log.write(LogClass::State, Context_.now(), "node-found",
                       {{"node", Item.Id.str()},
                        {"zone", Item.At.Zone.str()},
                        {"service", Item.LocalUpstream.Service.str()}});
  for (const mesh::CrashSuspectReport &Crash : Item.Crashes)
    requests::recordCrashSuspect(Context_.Suspects, Crash.RequestFingerprint,
                                 Crash.Crash, Crash.Weight, Context_.now());
  return true;
}

/// Asks the sender of loads for the reports that this node lacks.
void Gossip::ask(const mesh::NodeReport &Sender,
                 const std::vector<mesh::LoadBeat> &Missing) {
  const SteadyTime Now = Context_.now();
  GossipMessage Message;
  for (const mesh::LoadBeat &Beat : Missing) {
    SteadyTime &Last = AskedAt_[Beat.Node.value()];
    if (Message.Wanted.size() >= MaxAsked || elapsed(Last, Now) < AskInterval)
      continue;
    Last = Now;
    Message.Wanted.push_back(Beat.Node);
  }
  // Keys of nodes that have ended stay otherwise.
  if (AskedAt_.size() > MaxAskedAt)
    AskedAt_.clear();
  if (Message.Wanted.empty())
    return;
  Message.Reports.push_back(ownReport());
  sendDatagram(Sender.Gossip, encodeGossip(Message));
}

void Gossip::answer(const Endpoint &To,
                    const std::vector<mesh::NodeKey> &Wanted) {
  GossipMessage Message;
  std::size_t Size = 0;
  const auto Flush = [&] {
    if (Message.Reports.size() > 1)
      sendDatagram(To, encodeGossip(Message));
    Message.Reports.clear();
  };
  for (const mesh::NodeKey Key : Wanted) {
    const auto Id = Context_.KnownNodes.ByKey.find(Key.value());
    if (Id == Context_.KnownNodes.ByKey.end())
      continue;
    const auto Found = Context_.KnownNodes.Nodes.find(Id->second);
    if (Found == Context_.KnownNodes.Nodes.end())
      continue;
    mesh::NodeReport Report =
        mesh::forwardedReport(Found->second, Context_.now());
    const std::size_t Bytes = encodedSize(Report);
    if (!Message.Reports.empty() && Size + Bytes > MaxDatagramBytes)
      Flush();
    if (Message.Reports.empty()) {
      Message.Reports.push_back(ownReport());
      Size = encodedSize(Message.Reports.front()) + FrameBytes;
    }
    Message.Reports.push_back(std::move(Report));
    Size += Bytes;
  }
  Flush();
}

/// A datagram may have waited in the socket during a suspension. A confirmation
/// that looks too new would keep revoked keys in use, a judgement the share of
/// a version that nobody judges.
void Gossip::addTimeInSocket(mesh::NodeReport &Report) const {
  const Milliseconds Waited =
      elapsed(Context_.sentBy(Context_.now()), Context_.now());
  if (Report.ConfirmedAge)
    *Report.ConfirmedAge += Waited;
  for (mesh::RolloutReport &Item : Report.Rollouts)
    if (Item.Judged)
      Item.Judged->Age += Waited;
}

void Gossip::onDatagram(std::string_view Data) {
  auto Message = decodeGossip(Data);
  if (Message && OnQuota_ &&
      (!Message->Asks.empty() || !Message->Grants.empty())) {
    OnQuota_(*Message);
    return;
  }
  if (Message && Message->Evidence) {
    OnEvidence_(*Message->Evidence, Context_.sentBy(Context_.now()));
    return;
  }
  if (!Message || Message->Reports.empty()) {
    Context_.Log.write(LogClass::State, Context_.now(), "news-unreadable",
                       {{"bytes", std::to_string(Data.size())}});
    return;
  }
  const mesh::NodeReport &Sender = Message->Reports.front();
  const auto Known = Context_.KnownNodes.Nodes.find(Sender.Id);
  const bool IsNewLife =
      Known == Context_.KnownNodes.Nodes.end() ||
      Known->second.LastReport.IncarnationNumber < Sender.IncarnationNumber;
  bool Changed = false;
  for (mesh::NodeReport &Item : Message->Reports) {
    addTimeInSocket(Item);
    Changed = onReport(Item) || Changed;
  }
  std::vector<mesh::LoadBeat> Missing;
  for (const mesh::LoadBeat &Beat : Message->Beats)
    if (Beat.Node != mesh::nodeKey(Context_.Settings.Id, Incarnation_) &&
        !mesh::mergeBeat(Context_.KnownNodes, Beat, Context_.now()))
      Missing.push_back(Beat);
  const auto &Wanted = Message->Wanted;
  const bool IsContact = std::find(Wanted.begin(), Wanted.end(),
                                   mesh::ReceiverKey) != Wanted.end();
  if ((IsNewLife || IsContact) && Sender.Id != Context_.Settings.Id)
    greet(Sender);
  ask(Sender, Missing);
  answer(Sender.Gossip, Wanted);
  if (RelayTimer_ == reactor::TimerId() &&
      mesh::hasUrgentState(Context_.KnownNodes))
    RelayTimer_ = Context_.Loop.runAfter(RelayDelay, [this] { relay(); });
  if (Changed)
    OnReports_();
}

} // namespace lycheethread::sidecar
