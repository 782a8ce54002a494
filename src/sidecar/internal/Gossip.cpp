#include "sidecar/internal/Gossip.h"
#include "kernel/Clock.h"
#include "sidecar/internal/GossipCodec.h"

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

constexpr Milliseconds TickInterval{250};
constexpr std::size_t MaxToldAtOnce = 40;
/// A contact that does not answer is tried again, less and less often.
constexpr Milliseconds FirstContactPause{500};
constexpr Milliseconds LongestContactPause{8000};
/// News are not passed on more often than this, plus once for each doubling of
/// the number of nodes.
constexpr int MinPassedOn = 3;

int passLimit(std::size_t Nodes) {
  int Limit = MinPassedOn;
  for (; Nodes > 1; Nodes /= 2)
    ++Limit;
  return Limit;
}

} // namespace

Gossip::Gossip(NodeContext &Context,
               std::function<void(mesh::NodeReport &)> Describe,
               std::function<void()> OnReports)
    : Context_(Context), Describe_(std::move(Describe)),
      OnNews_(std::move(OnReports)),
      // A restarted node must be newer than its earlier life. When the time of
      // day has been set back it is not; onDatagram() corrects that.
      Life_(kernel::wallNow().value()) {
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
      Added = Contacts_.emplace(At, Contact{}).second || Added;
  if (Added)
    tryContacts();
}

mesh::NodeReport Gossip::ownReport() {
  mesh::NodeReport News;
  News.Id = Context_.Settings.Id;
  News.IncarnationNumber = Life_;
  News.Number = Number_ = Number_.next();
  News.At = Context_.Settings.At;
  News.Hop = Context_.Settings.Inbound;
  News.Gossip = Context_.Settings.Gossip;
  Describe_(News);
  return News;
}

/// The own news alone, for datagrams to many nodes at once: with the news of
/// others in each of them, starts and changes of the configuration were most of
/// the bytes between zones on a calm day. Those go out with the ticks.
std::string Gossip::ownDatagram() { return encodeReports({ownReport()}); }

std::string Gossip::datagram() {
  std::vector<mesh::NodeReport> News{ownReport()};
  std::size_t Size = encodedSize(News.front());
  std::vector<const mesh::KnownNode *> Others;
  const SteadyTime Now = Context_.now();
  for (const auto &[Id, Known] : Context_.Fleet.Nodes)
    if (mesh::isAlive(Known, Now))
      Others.push_back(&Known);
  const auto TimesPassed = [&](const mesh::KnownNode &Known) {
    const auto &Entry = ForwardCounts_[Known.News.Id];
    return Entry.first == Known.News.Number ? Entry.second : 0;
  };
  std::shuffle(Others.begin(), Others.end(), Context_.Random);
  std::stable_sort(Others.begin(), Others.end(), [&](auto *L, auto *R) {
    return TimesPassed(*L) < TimesPassed(*R);
  });
  const int Limit = passLimit(Others.size());
  for (const mesh::KnownNode *Known : Others) {
    if (TimesPassed(*Known) >= Limit)
      break;
    mesh::NodeReport Item = Known->News;
    // Ages count from the moment of sending.
    const Milliseconds Held = elapsed(Known->HeardAt, Now);
    if (Item.ConfirmedAge)
      *Item.ConfirmedAge += Held;
    for (mesh::RolloutReport &Rollout : Item.Rollouts)
      Rollout.Age += Held;
    Size += encodedSize(Item);
    if (Size > MaxDatagramBytes)
      break;
    ForwardCounts_[Item.Id] = {Item.Number, TimesPassed(*Known) + 1};
    News.push_back(std::move(Item));
  }
  return encodeReports(News);
}

void Gossip::tick() {
  mesh::expireNodes(Context_.Fleet, Context_.now());
  const std::string Data = datagram();
  for (const Endpoint &To :
       mesh::choosePeers(Context_.Fleet, Context_.Settings.At, TickInterval,
                         Context_.now(), Context_.Random))
    Socket_->send(To, Data);
  tryContacts();
  Timer_ = Context_.Loop.runAfter(TickInterval, [this] { tick(); });
}

void Gossip::tryContacts() {
  const SteadyTime Now = Context_.now();
  std::set<Endpoint> Known;
  for (const auto &[Id, Node] : Context_.Fleet.Nodes)
    if (mesh::isAlive(Node, Now))
      Known.insert(Node.News.Gossip);
  std::string Data;
  for (auto &[At, Item] : Contacts_) {
    if (Known.count(At) != 0) {
      Item = {};
      continue;
    }
    if (Now < Item.NextTry)
      continue;
    if (Data.empty())
      Data = ownDatagram();
    Item.Pause = Item.Pause == Milliseconds(0)
                     ? FirstContactPause
                     : std::min(LongestContactPause, Item.Pause * 2);
    Item.NextTry = after(Now, Item.Pause);
    Socket_->send(At, Data);
  }
}

void Gossip::sendToAll() {
  tell([](const mesh::NodeReport &) { return true; });
}

void Gossip::sendToRegion() {
  tell([this](const mesh::NodeReport &News) {
    return News.At.RegionName == Context_.Settings.At.RegionName;
  });
}

void Gossip::tell(
    const std::function<bool(const mesh::NodeReport &)> &IsMeant) {
  const std::string Data = ownDatagram();
  std::vector<Endpoint> To;
  for (const auto &[Id, Known] : Context_.Fleet.Nodes)
    if (mesh::isAlive(Known, Context_.now()) && IsMeant(Known.News))
      To.push_back(Known.News.Gossip);
  std::shuffle(To.begin(), To.end(), Context_.Random);
  To.resize(std::min(To.size(), MaxToldAtOnce));
  for (const Endpoint &At : To)
    Socket_->send(At, Data);
}

void Gossip::onDatagram(std::string_view Data) {
  const auto News = decodeReports(Data);
  if (!News) {
    Context_.Log.write(LogClass::State, Context_.now(), "news-unreadable",
                       {{"bytes", std::to_string(Data.size())}});
    return;
  }
  bool Changed = false;
  std::string Answer;
  for (const mesh::NodeReport &Item : *News) {
    if (Item.Id == Context_.Settings.Id) {
      const bool IsEarlierLife =
          Item.IncarnationNumber != Life_ || Item.Number > Number_;
      if (IsEarlierLife && Item.IncarnationNumber >= Life_)
        Life_ = Item.IncarnationNumber.next();
      continue;
    }
    const bool WasKnown = Context_.Fleet.Nodes.count(Item.Id) != 0;
    if (!mesh::mergeReport(Context_.Fleet, Item, Context_.now()))
      continue;
    Changed = true;
    if (!WasKnown) {
      Context_.Log.write(LogClass::State, Context_.now(), "node-found",
                         {{"node", Item.Id.str()},
                          {"zone", Item.At.Zone.str()},
                          {"service", Item.Own.Service.str()}});
      // After a start of many nodes, each should know the others at once.
      if (Answer.empty())
        Answer = ownDatagram();
      Socket_->send(Item.Gossip, Answer);
    }
    for (const mesh::CrashSuspectReport &Crash : Item.Crashes)
      requests::recordCrashSuspect(Context_.Suspects, Crash.RequestFingerprint,
                                   Crash.Crash, Crash.Weight, Context_.now());
  }
  if (Changed)
    OnNews_();
}

} // namespace lycheethread::sidecar
