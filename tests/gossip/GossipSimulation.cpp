#include "GossipSimulation.h"

#include <algorithm>
#include <chrono>
#include <queue>
#include <sstream>

namespace lycheethread::gossiptest {

namespace {

using namespace mesh;

constexpr Milliseconds TickInterval{250};
constexpr Milliseconds SampleInterval{500};
constexpr Milliseconds SeedInterval{1000};
/// Callers come 10 s after the start of the nodes.
constexpr Milliseconds Warmup{10000};
constexpr std::size_t DatagramBytes = 1200;
constexpr std::size_t FrameBytes = 16;
/// Sizes of a real deployment's messages.
constexpr std::size_t ReportBytes = 170;
constexpr std::size_t BeatBytes = 20;
constexpr std::size_t BroadcastTargets = 40;
constexpr Milliseconds RelayDelay{60};
constexpr std::int64_t ZoneDelayMs = 1;
constexpr std::int64_t RegionDelayMs = 31;
/// Limits of the earlier design.
constexpr Milliseconds OldAliveTimeout{6000};
constexpr int OldMinForwards = 3;

struct Datagram {
  std::vector<NodeReport> Reports;
  std::vector<LoadBeat> Beats;
  std::vector<NodeKey> Wanted;

  std::size_t bytes() const {
    return FrameBytes + Reports.size() * ReportBytes +
           Beats.size() * BeatBytes + Wanted.size() * sizeof(NodeKey);
  }
};

struct SimulatedNode {
  NodeReport Own;
  NodeTable Known;
  std::mt19937_64 Random;
  /// Sending time of each own message number.
  std::vector<std::int64_t> SentAt{0};
  std::map<NodeId, std::pair<Sequence, int>> OldForwards;
  bool RelayIsDue = false;
  SeedNodes Seeds;
  std::int64_t SeedsCheckedAt = 0;
};

struct Event {
  std::int64_t At = 0;
  std::int64_t Order = 0;
  std::size_t Node = 0;
  /// Null for a tick.
  std::shared_ptr<const Datagram> Data;
  bool IsRelay = false;
  friend bool operator<(const Event &L, const Event &R) {
    return L.At != R.At ? L.At > R.At : L.Order > R.Order;
  }
};

class Simulation {
public:
  explicit Simulation(const SimulationPlan &Plan);
  SimulationResult run();

private:
  SteadyTime now() const { return SteadyTime(Now_ + 1'000'000); }
  bool isAlive(const KnownNode &Item, const NodeTable &Known) const;
  NodeReport ownReport(SimulatedNode &From);
  void contactOthers(std::size_t Index);
  void tick(std::size_t Index);
  void relay(std::size_t Index);
  void tickOfReports(std::size_t Index);
  void sendRound(std::size_t From, const std::vector<Endpoint> &To,
                 BeatScope Scope);
  void send(std::size_t From, std::size_t To,
            const std::shared_ptr<const Datagram> &Data);
  void receive(std::size_t Index, const Datagram &Data);
  void changeState();
  bool hasSpread() const;
  void sample();
  std::size_t indexOf(const Endpoint &At) const { return At.Port; }

  SimulationPlan Plan_;
  std::mt19937_64 Random_;
  std::vector<SimulatedNode> Nodes_;
  std::priority_queue<Event> Events_;
  std::int64_t Now_ = 0;
  std::int64_t Order_ = 0;
  std::int64_t ChangedAt_ = -1;
  double Bytes_ = 0;
  double ZoneLinkBytes_ = 0;
  double RegionLinkBytes_ = 0;
  double TickTime_ = 0;
  std::int64_t Ticks_ = 0;
  std::vector<double> Ages_;
  double ZoneAge_ = 0;
  std::int64_t ZoneSamples_ = 0;
  std::int64_t Gone_ = 0;
  std::int64_t Unknown_ = 0;
  std::int64_t Pairs_ = 0;
  double SpreadMs_ = -1;
};

Simulation::Simulation(const SimulationPlan &Plan)
    : Plan_(Plan), Random_(Plan.Seed),
      Nodes_(static_cast<std::size_t>(Plan.Nodes)) {
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
    SimulatedNode &Node = Nodes_[Index];
    const auto Zone = Index % static_cast<std::size_t>(Plan.Zones);
    Node.Own.Id = NodeId("10.0.0." + std::to_string(Index));
    Node.Own.IncarnationNumber = Incarnation(1);
    Node.Own.At = {Region(Zone % 2 == 0 ? "east" : "west"),
                   AvailabilityZone("zone-" + std::to_string(Zone))};
    Node.Own.Gossip = {"n", static_cast<std::uint16_t>(Index)};
    Node.Own.State =
        Plan.Used == Design::StatesAndLoads ? Sequence(1) : Sequence();
    Node.Known.Self = Node.Own.Id;
    Node.Random.seed(Random_());
    Events_.push({static_cast<std::int64_t>(Random_() % 250), ++Order_, Index,
                  nullptr, false});
  }
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
    contactOthers(Index);
}

/// A start of all nodes: the earlier design contacted every listed node.
void Simulation::contactOthers(std::size_t Index) {
  SimulatedNode &Node = Nodes_[Index];
  auto Data = std::make_shared<Datagram>();
  Data->Reports.push_back(ownReport(Node));
  Node.SeedsCheckedAt = Now_;
  SeedNodes &Seeds = Node.Seeds;
  for (const SimulatedNode &Other : Nodes_)
    if (Seeds.size() + 1 < Nodes_.size() && Other.Own.Id != Node.Own.Id)
      Seeds[Other.Own.Gossip].Zone = Other.Own.At.Zone;
  Data->Wanted.push_back(ReceiverKey);
  if (Plan_.Used == Design::WholeReports) {
    for (const auto &[At, Seed] : Seeds)
      send(Index, indexOf(At), Data);
    return;
  }
  for (const Endpoint &At :
       chooseSeeds(Seeds, Node.Known, Node.Own.At.Zone, now(), Node.Random))
    send(Index, indexOf(At), Data);
}

bool Simulation::isAlive(const KnownNode &Item, const NodeTable &Known) const {
  return Plan_.Used == Design::StatesAndLoads
             ? mesh::isAlive(Known, Item, now())
             : elapsed(Item.HeardAt, now()) < OldAliveTimeout;
}

NodeReport Simulation::ownReport(SimulatedNode &From) {
  From.Own.Number = From.Own.Number.next();
  From.Own.Load.Running = static_cast<std::int32_t>(From.Random() % 14);
  From.SentAt.push_back(Now_);
  return From.Own;
}

void Simulation::send(std::size_t From, std::size_t To,
                      const std::shared_ptr<const Datagram> &Data) {
  const Location &Here = Nodes_[From].Own.At;
  const Location &There = Nodes_[To].Own.At;
  const bool CrossesRegion = Here.RegionName != There.RegionName;
  if (Now_ >= Warmup.count()) {
    const auto Size = static_cast<double>(Data->bytes());
    Bytes_ += Size;
    if (CrossesRegion)
      RegionLinkBytes_ += Size;
    else if (Here.Zone != There.Zone)
      ZoneLinkBytes_ += Size;
  }
  if (std::uniform_real_distribution<double>(0, 1)(Random_) < Plan_.Loss)
    return;
  Events_.push({Now_ + (CrossesRegion ? RegionDelayMs : ZoneDelayMs), ++Order_,
                To, Data, false});
}

void Simulation::sendRound(std::size_t From, const std::vector<Endpoint> &To,
                           BeatScope Scope) {
  if (To.empty())
    return;
  SimulatedNode &Node = Nodes_[From];
  auto Data = std::make_shared<Datagram>();
  Data->Reports.push_back(ownReport(Node));
  GossipPlan Plan;
  Plan.At = Node.Own.At;
  Plan.Scope = Scope;
  Plan.Bytes = DatagramBytes - ReportBytes - FrameBytes;
  Plan.BeatBytes = BeatBytes;
  Plan.ReportBytes = [](const NodeReport &) { return ReportBytes; };
  GossipContent Others = composeGossip(Node.Known, Plan, now());
  Data->Reports.insert(Data->Reports.end(), Others.Reports.begin(),
                       Others.Reports.end());
  Data->Beats = std::move(Others.Beats);
  for (const Endpoint &At : To)
    send(From, indexOf(At), Data);
}

/// The earlier design: reports of a random choice of nodes, those forwarded
/// least first, in one datagram for all peers.
void Simulation::tickOfReports(std::size_t Index) {
  SimulatedNode &Node = Nodes_[Index];
  auto Data = std::make_shared<Datagram>();
  Data->Reports.push_back(ownReport(Node));
  std::vector<const KnownNode *> Others;
  for (const auto &[Id, Item] : Node.Known.Nodes)
    if (isAlive(Item, Node.Known))
      Others.push_back(&Item);
  const auto Forwards = [&](const KnownNode &Item) {
    const auto &Seen = Node.OldForwards[Item.LastReport.Id];
    return Seen.first == Item.LastReport.Number ? Seen.second : 0;
  };
  std::shuffle(Others.begin(), Others.end(), Node.Random);
  std::stable_sort(Others.begin(), Others.end(), [&](auto *L, auto *R) {
    return Forwards(*L) < Forwards(*R);
  });
  int Limit = OldMinForwards;
  for (std::size_t Count = Others.size(); Count > 1; Count /= 2)
    ++Limit;
  for (const KnownNode *Item : Others) {
    if (Data->bytes() + ReportBytes > DatagramBytes || Forwards(*Item) >= Limit)
      break;
    Node.OldForwards[Item->LastReport.Id] = {Item->LastReport.Number,
                                             Forwards(*Item) + 1};
    Data->Reports.push_back(Item->LastReport);
  }
  const GossipTargets Targets =
      choosePeers(Node.Known, Node.Own.At, TickInterval, now(), Node.Random);
  for (const auto *List :
       {&Targets.InZone, &Targets.InRegion, &Targets.OtherRegions})
    for (const Endpoint &At : *List)
      send(Index, indexOf(At), Data);
}

void Simulation::tick(std::size_t Index) {
  SimulatedNode &Node = Nodes_[Index];
  const auto Start = std::chrono::steady_clock::now();
  expireNodes(Node.Known, now());
  if (Plan_.Used == Design::WholeReports) {
    tickOfReports(Index);
  } else {
    const GossipTargets Targets =
        choosePeers(Node.Known, Node.Own.At, TickInterval, now(), Node.Random);
    sendRound(Index, Targets.InZone, BeatScope::All);
    sendRound(Index, Targets.InRegion, BeatScope::Zone);
    sendRound(Index, Targets.OtherRegions, BeatScope::Zone);
    if (Now_ - Node.SeedsCheckedAt >= SeedInterval.count())
      contactOthers(Index);
  }
  TickTime_ += std::chrono::duration<double, std::micro>(
                   std::chrono::steady_clock::now() - Start)
                   .count();
  ++Ticks_;
  Events_.push({Now_ + TickInterval.count(), ++Order_, Index, nullptr, false});
}

void Simulation::relay(std::size_t Index) {
  SimulatedNode &Node = Nodes_[Index];
  Node.RelayIsDue = false;
  sendRound(
      Index,
      choosePeers(Node.Known, Node.Own.At, TickInterval, now(), Node.Random)
          .InZone,
      BeatScope::All);
}

void Simulation::receive(std::size_t Index, const Datagram &Data) {
  SimulatedNode &Node = Nodes_[Index];
  const NodeReport &Sender = Data.Reports.front();
  const std::size_t From = indexOf(Sender.Gossip);
  const bool IsNew = Node.Known.Nodes.count(Sender.Id) == 0;
  for (const NodeReport &Item : Data.Reports)
    mergeReport(Node.Known, Item, now());
  auto Asked = std::make_shared<Datagram>();
  for (const LoadBeat &Beat : Data.Beats)
    if (Beat.Node != nodeKey(Node.Own.Id, Node.Own.IncarnationNumber) &&
        !mergeBeat(Node.Known, Beat, now()) && Asked->Wanted.size() < 16)
      Asked->Wanted.push_back(Beat.Node);
  const bool IsContact = std::find(Data.Wanted.begin(), Data.Wanted.end(),
                                   ReceiverKey) != Data.Wanted.end();
  if (IsNew || IsContact || !Asked->Wanted.empty()) {
    Asked->Reports.push_back(ownReport(Node));
    send(Index, From, Asked);
  }
  if (Plan_.Used == Design::StatesAndLoads && !Node.RelayIsDue &&
      hasUrgentState(Node.Known)) {
    Node.RelayIsDue = true;
    Events_.push({Now_ + RelayDelay.count(), ++Order_, Index, nullptr, true});
  }
  if (Data.Wanted.empty())
    return;
  auto Answer = std::make_shared<Datagram>();
  for (const NodeKey Key : Data.Wanted) {
    const auto Id = Node.Known.ByKey.find(Key.value());
    if (Id == Node.Known.ByKey.end())
      continue;
    if (!Answer->Reports.empty() &&
        Answer->bytes() + ReportBytes > DatagramBytes) {
      send(Index, From, Answer);
      Answer = std::make_shared<Datagram>();
    }
    if (Answer->Reports.empty())
      Answer->Reports.push_back(ownReport(Node));
    Answer->Reports.push_back(
        forwardedReport(Node.Known.Nodes.at(Id->second), now()));
  }
  if (!Answer->Reports.empty())
    send(Index, From, Answer);
}

void Simulation::changeState() {
  ChangedAt_ = Now_;
  SimulatedNode &Node = Nodes_.front();
  Node.Own.LocalUpstream.Id = UpstreamId("changed");
  if (Plan_.Used == Design::StatesAndLoads)
    Node.Own.State = Node.Own.State.next();
  auto Data = std::make_shared<Datagram>();
  Data->Reports.push_back(ownReport(Node));
  std::vector<std::size_t> To;
  for (const auto &[Id, Item] : Node.Known.Nodes)
    if (isAlive(Item, Node.Known))
      To.push_back(indexOf(Item.LastReport.Gossip));
  std::shuffle(To.begin(), To.end(), Random_);
  To.resize(std::min(To.size(), BroadcastTargets));
  for (const std::size_t Index : To)
    send(0, Index, Data);
}

bool Simulation::hasSpread() const {
  const NodeId &Changed = Nodes_.front().Own.Id;
  return std::all_of(
      Nodes_.begin() + 1, Nodes_.end(), [&](const SimulatedNode &Node) {
        const auto Found = Node.Known.Nodes.find(Changed);
        return Found != Node.Known.Nodes.end() &&
               !Found->second.LastReport.LocalUpstream.Id.empty();
      });
}

void Simulation::sample() {
  const auto Others = static_cast<std::int64_t>(Nodes_.size()) - 1;
  for (std::size_t Index = 0; Index < Nodes_.size(); Index += 7) {
    const SimulatedNode &Node = Nodes_[Index];
    Pairs_ += Others;
    Unknown_ += Others - static_cast<std::int64_t>(Node.Known.Nodes.size());
    for (const auto &[Id, Item] : Node.Known.Nodes) {
      const NodeReport &Report = Item.LastReport;
      const auto Sent = Nodes_[indexOf(Report.Gossip)].SentAt.at(
          static_cast<std::size_t>(Report.Number.value()));
      const auto Age = static_cast<double>(Now_ - Sent);
      Gone_ += isAlive(Item, Node.Known) ? 0 : 1;
      Ages_.push_back(Age);
      if (Report.At.Zone != Node.Own.At.Zone)
        continue;
      ZoneAge_ += Age;
      ++ZoneSamples_;
    }
  }
}

SimulationResult Simulation::run() {
  const std::int64_t End = Plan_.Seconds * 1000LL;
  std::int64_t NextSample = Warmup.count();
  std::int64_t NextCheck = 0;
  while (!Events_.empty() && Events_.top().At < End) {
    const Event Next = Events_.top();
    Events_.pop();
    Now_ = Next.At;
    if (ChangedAt_ < 0 && Now_ >= End / 2)
      changeState();
    if (Next.IsRelay)
      relay(Next.Node);
    else if (Next.Data)
      receive(Next.Node, *Next.Data);
    else
      tick(Next.Node);
    if (Now_ >= NextSample) {
      NextSample = Now_ + SampleInterval.count();
      sample();
    }
    if (ChangedAt_ >= 0 && SpreadMs_ < 0 && Now_ >= NextCheck) {
      NextCheck = Now_ + 10;
      if (hasSpread())
        SpreadMs_ = static_cast<double>(Now_ - ChangedAt_);
    }
  }
  const double Seconds = static_cast<double>(End - Warmup.count()) / 1000;
  SimulationResult Result;
  std::sort(Ages_.begin(), Ages_.end());
  for (const double Age : Ages_)
    Result.AgeMs += Age / static_cast<double>(Ages_.size());
  Result.AgeMs99 = Ages_.at(Ages_.size() * 99 / 100);
  Result.ZoneAgeMs =
      ZoneAge_ / static_cast<double>(std::max<std::int64_t>(1, ZoneSamples_));
  Result.GoneShare = static_cast<double>(Gone_) / static_cast<double>(Pairs_);
  Result.UnknownShare =
      static_cast<double>(Unknown_) / static_cast<double>(Pairs_);
  Result.BytesPerNodeSecond = Bytes_ / Seconds / Plan_.Nodes;
  Result.ZoneLinkBytesPerSecond = ZoneLinkBytes_ / Seconds;
  Result.RegionLinkBytesPerSecond = RegionLinkBytes_ / Seconds;
  Result.SpreadMs = SpreadMs_;
  Result.TickMicroseconds =
      TickTime_ / static_cast<double>(std::max<std::int64_t>(1, Ticks_));
  return Result;
}

} // namespace

SimulationResult simulate(const SimulationPlan &Plan) {
  return Simulation(Plan).run();
}

std::string resultHeader() {
  return "# design\tnodes\tloss\tseed\tzone_age_ms\tage_ms\tage_ms_99\t"
         "gone_share\tunknown_share\tbytes_per_node_s\tzone_link_bytes_s\t"
         "region_link_bytes_s\tspread_ms\ttick_us";
}

std::string toRow(const SimulationPlan &Plan, const SimulationResult &Result) {
  std::ostringstream Out;
  Out << (Plan.Used == Design::WholeReports ? "reports" : "loads") << '\t'
      << Plan.Nodes << '\t' << Plan.Loss << '\t' << Plan.Seed << '\t'
      << Result.ZoneAgeMs << '\t' << Result.AgeMs << '\t' << Result.AgeMs99
      << '\t' << Result.GoneShare << '\t' << Result.UnknownShare << '\t'
      << Result.BytesPerNodeSecond << '\t' << Result.ZoneLinkBytesPerSecond
      << '\t' << Result.RegionLinkBytesPerSecond << '\t' << Result.SpreadMs
      << '\t' << Result.TickMicroseconds;
  return Out.str();
}

} // namespace lycheethread::gossiptest
