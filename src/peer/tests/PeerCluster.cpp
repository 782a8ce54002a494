#include "peer/tests/PeerCluster.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <stdexcept>

namespace lycheethread::peer {

namespace {

const ServiceName &lastService() {
  static const ServiceName Name("last");
  return Name;
}

std::optional<CheckpointNotice>
applyFakeRecord(config::ConfigState &State, Offset At, const std::string &Raw) {
  if (At != State.Position)
    throw std::logic_error("a record is applied out of order");
  State.Position = At.next();
  const std::string Prefix = "notice:";
  if (Raw.compare(0, Prefix.size(), Prefix) == 0) {
    CheckpointNotice Notice;
    Notice.Position = Offset(std::stoll(Raw.substr(Prefix.size())));
    return Notice;
  }
  State.Documents[lastService()].Text = Raw;
  return std::nullopt;
}

config::ConfigState restoreFake(const std::vector<std::string> &Parts) {
  if (Parts.size() != 2)
    throw std::runtime_error("a checkpoint has 2 parts");
  config::ConfigState State;
  State.Position = Offset(std::stoll(Parts[0]));
  State.Documents[lastService()].Text = Parts[1];
  return State;
}

std::optional<config::ConfigState> findFake(const streamlog::LogClient &Log,
                                            Offset AtLeast, Offset) {
  const StreamName Stream("checkpoints");
  std::optional<config::ConfigState> Newest;
  const auto Batch = Log.Read(Stream, Offset(0), 1000, Milliseconds(0));
  for (const streamlog::LogRecord &Item : Batch.Records) {
    const std::size_t Split = Item.Data.find('\n');
    auto State =
        restoreFake({Item.Data.substr(0, Split), Item.Data.substr(Split + 1)});
    if (State.Position >= AtLeast)
      Newest = std::move(State);
  }
  return Newest;
}

void storeFake(const streamlog::LogClient &Log,
               const config::ConfigState &State, const RecordHeader &) {
  const std::string Position = std::to_string(State.Position.value());
  Log.Append(StreamName("checkpoints"),
             Position + '\n' + State.Documents.at(lastService()).Text);
  Log.Append(StreamName("control"), "notice:" + Position);
}

} // namespace

ControlFold makeFakeOperations() {
  ControlFold Operations;
  Operations.ApplyRecord = applyFakeRecord;
  Operations.MakeCheckpoint = [](const config::ConfigState &State) {
    const auto It = State.Documents.find(lastService());
    return std::vector<std::string>{
        std::to_string(State.Position.value()),
        It == State.Documents.end() ? std::string() : It->second.Text};
  };
  Operations.RestoreCheckpoint = restoreFake;
  Operations.FindCheckpoint = findFake;
  Operations.StoreCheckpoint = storeFake;
  Operations.BuildView = [](const config::ConfigState &State,
                            const std::vector<Member> &, const Location &Self) {
    requests::RoutingView View;
    View.ConfigPosition = State.Position;
    View.Self = Self;
    return View;
  };
  return Operations;
}

void FakeNetwork::place(const Endpoint &At, const std::string &Group) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  Groups_[At] = Group;
}

void FakeNetwork::cut(const std::string &From, const std::string &To) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  Cuts_.insert({From, To});
  Cuts_.insert({To, From});
}

void FakeNetwork::heal() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  Cuts_.clear();
}

bool FakeNetwork::allows(const std::string &FromGroup, const Endpoint &To) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  const auto It = Groups_.find(To);
  return It == Groups_.end() || Cuts_.count({FromGroup, It->second}) == 0;
}

TestNode::TestNode(settings::NodeSettings Settings, MemoryLog &Log,
                   FakeNetwork &Network, const std::string &NetworkGroup)
    : Settings_(std::move(Settings)), Network_(Network), Group_(NetworkGroup),
      Silent_(std::make_shared<std::atomic<bool>>(false)),
      Sums_(std::make_shared<TrafficSums>()) {
  namespace names = kernel::service_names;
  auto &Registry = Kernel_.registry();
  Registry.add(names::Settings,
               std::make_shared<settings::NodeSettings>(Settings_));
  Registry.add(names::Log,
               std::make_shared<streamlog::LogClient>(Log.client()));
  auto Recorder = std::make_shared<metrics::TrafficRecorder>();
  Recorder->Record = [Sums = Sums_](const metrics::TrafficSample &Sample) {
    const std::lock_guard<std::mutex> Guard(Sums->Lock);
    Sums->Bytes[{Sample.Kind, Sample.Way}] += Sample.Bytes.value();
    if (Sample.CrossRegion && Sample.Way == metrics::Direction::Sent)
      Sums->CrossRegionSent += Sample.Bytes.value();
  };
  Registry.add(names::TrafficMetrics, std::move(Recorder));
  PeerOptions Options;
  Options.Operations = makeFakeOperations();
  Options.Allow = [Silent = Silent_, &Network,
                   NetworkGroup](const Endpoint &To) {
    return !*Silent && Network.allows(NetworkGroup, To);
  };
  Kernel_.add(makePeerModule(std::move(Options)));
  Kernel_.start();
  Control_ = Registry.find<PeerControl>(names::Peers);
  Config_ =
      Registry.find<kernel::SnapshotStore<config::ConfigState>>(names::Config);
  Members_ =
      Registry.find<kernel::SnapshotStore<std::vector<Member>>>(names::Members);
  View_ =
      Registry.find<kernel::SnapshotStore<requests::RoutingView>>(names::View);
  Network_.place(self().Control, Group_);
}

TestNode::~TestNode() { Kernel_.stop(); }

void TestNode::kill() {
  *Silent_ = true;
  Kernel_.stop();
}

void TestNode::leave() { Kernel_.stop(); }

Offset TestNode::position() const {
  const Offset Now = Config_->load()->Position;
  PositionDecreased_ = PositionDecreased_ || Now < Highest_;
  Highest_ = std::max(Highest_, Now);
  return Now;
}

bool TestNode::hasPositionDecreased() const {
  position();
  return PositionDecreased_;
}

bool TestNode::serves() const { return View_->load() != nullptr; }

std::vector<Member> TestNode::members() const { return *Members_->load(); }

std::size_t TestNode::count(MemberState State) const {
  const auto All = members();
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [State](const Member &Each) {
        return Each.State == State;
      }));
}

Member TestNode::self() const { return Control_->Self(); }

PeerCluster::PeerCluster(std::size_t Zones, std::size_t Regions)
    : Zones_(Zones), Regions_(Regions) {}

Region PeerCluster::regionOf(std::size_t Number) const {
  return Region("region-" + std::to_string(Number % Regions_));
}

TestNode &PeerCluster::start(std::size_t Number) {
  std::vector<Endpoint> Seeds;
  for (const auto &Item : Nodes)
    if (Seeds.size() < 3 && Item.second)
      Seeds.push_back(Item.second->self().Control);
  return start(Number, std::move(Seeds));
}

TestNode &PeerCluster::start(std::size_t Number, std::vector<Endpoint> Seeds,
                             const Endpoint &Control) {
  settings::NodeSettings Settings;
  Settings.Id = NodeId("node-" + std::to_string(Number));
  Settings.At.RegionName = regionOf(Number);
  Settings.At.Zone =
      AvailabilityZone(Settings.At.RegionName.str() + "-zone-" +
                       std::to_string(Number / Regions_ % Zones_));
  Settings.Control = Control;
  Settings.Seeds = std::move(Seeds);
  Settings.Hop = {"127.0.0.1", 9};
  Settings.Service = ServiceName("service-" + std::to_string(Number % 3));
  Settings.Group = GroupName("group");
  Settings.Version = VersionName("v1");
  const std::string Group = Settings.At.RegionName.str();
  Nodes[Number] =
      std::make_unique<TestNode>(std::move(Settings), Log, Network, Group);
  return *Nodes[Number];
}

void PeerCluster::startAll(std::size_t Count, SeedUse Use) {
  for (std::size_t Number = 0; Number < Count; ++Number)
    Use == NoSeeds ? start(Number, {}) : start(Number);
}

Endpoint PeerCluster::freeEndpoint() {
  const Poco::Net::ServerSocket Socket(
      Poco::Net::SocketAddress("127.0.0.1", 0));
  return {"127.0.0.1", Socket.address().port()};
}

void PeerCluster::kill(std::size_t Number) {
  Nodes.at(Number)->kill();
  Nodes.erase(Number);
}

bool PeerCluster::await(const std::function<bool()> &Done, Milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Done()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return true;
}

bool PeerCluster::allAt(Offset Position) const {
  return std::all_of(Nodes.begin(), Nodes.end(), [Position](const auto &Item) {
    return Item.second->position() == Position;
  });
}

bool PeerCluster::allServe() const {
  return std::all_of(Nodes.begin(), Nodes.end(),
                     [](const auto &Item) { return Item.second->serves(); });
}

bool PeerCluster::allSeeReady(std::size_t Count) const {
  return std::all_of(Nodes.begin(), Nodes.end(), [Count](const auto &Item) {
    return Item.second->count(MemberState::Ready) == Count;
  });
}

} // namespace lycheethread::peer
