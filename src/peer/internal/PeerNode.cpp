#include "peer/internal/PeerNode.h"
#include "peer/Peer.h"

#include "peer/Peer.h"

#include "peer/internal/Clock.h"
#include "peer/internal/FeedLoop.h"
#include "peer/internal/LogReader.h"
#include "peer/internal/MemberSync.h"
#include "peer/internal/PeerRequestHandlers.h"
#include "peer/internal/PeerServer.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <boost/log/trivial.hpp>

#include <map>
#include <random>
#include <utility>

namespace lycheethread::peer {

namespace {

constexpr int ListenBacklog = 128;
constexpr int BindAttempts = 20;

/// The two sockets of the control port.
struct ControlSockets {
  Poco::Net::DatagramSocket Datagrams;
  Poco::Net::ServerSocket Calls;
};

// With port 0 the system picks a free UDP port. The same port may be in use for
// TCP, and then another one is tried.
ControlSockets openControl(const Endpoint &Wanted) {
  for (int Attempt = 1;; ++Attempt) {
    try {
      ControlSockets Opened;
      Opened.Datagrams.bind(
          Poco::Net::SocketAddress(Wanted.Address, Wanted.Port), false);
      Opened.Calls.bind(Poco::Net::SocketAddress(
                            Wanted.Address, Opened.Datagrams.address().port()),
                        true);
      Opened.Calls.listen(ListenBacklog);
      return Opened;
    } catch (const Poco::Exception &Problem) {
      if (Wanted.Port != 0 || Attempt >= BindAttempts)
        throw std::runtime_error("control port " + Wanted.Address + ':' +
                                 std::to_string(Wanted.Port) +
                                 " cannot be opened: " + Problem.displayText());
    }
  }
}

wire::CallFailed callFailed(const std::string &Reason) {
  wire::CallFailed Failed;
  Failed.reason = Reason;
  return Failed;
}

} // namespace

struct PeerNode::Impl {
  PeerContext Context;
  RumourDispatcher Rumours;
  std::mutex HandlersLock;
  std::map<std::string, CallHandler> Handlers;
  std::unique_ptr<GossipLoop> Gossip;
  std::unique_ptr<MemberSync> Exchange;
  std::unique_ptr<FeedLoop> Feed;
  std::unique_ptr<LogReader> Reader;
  std::unique_ptr<PeerServer> Server;

  std::string handleCall(const std::string &Topic, const std::string &Payload) {
    CallHandler Handler;
    {
      const std::lock_guard<std::mutex> Guard(HandlersLock);
      const auto It = Handlers.find(Topic);
      if (It != Handlers.end())
        Handler = It->second;
    }
    if (!Handler)
      throw callFailed("topic is unknown");
    if (Payload.size() > MaxCallBytes)
      throw callFailed("the payload is too long");
    try {
      return Handler(Payload);
    } catch (const std::exception &Problem) {
      throw callFailed(Problem.what());
    }
  }

  std::string call(const Member &Target, const std::string &Topic,
                   const std::string &Payload) {
    if (!Context.Clients)
      throw PeerUnavailable("the control protocol is not running");
    if (Target.Id != Context.Settings.Id)
      return Context.Clients->call(Target.Control, Target.At.RegionName, Topic,
                                   Payload);
    try {
      return handleCall(Topic, Payload);
    } catch (const wire::CallFailed &Failed) {
      throw PeerUnavailable("this node refused: " + Failed.reason);
    }
  }

  std::shared_ptr<PeerControl> makeControl() {
    auto Control = std::make_shared<PeerControl>();
    Control->Call = [this](const Member &Target, const std::string &Topic,
                           const std::string &Payload) {
      return call(Target, Topic, Payload);
    };
    Control->OnCall = [this](const std::string &Topic, CallHandler Handler) {
      const std::lock_guard<std::mutex> Guard(HandlersLock);
      Handlers[Topic] = std::move(Handler);
    };
    Control->Broadcast = [this](const std::string &Topic,
                                const std::string &Payload) {
      if (Gossip)
        Gossip->broadcastRumour(Topic, Payload);
    };
    Control->OnRumour = [this](const std::string &Topic,
                               RumourHandler Handler) {
      Rumours.onRumour(Topic, std::move(Handler));
    };
    Control->Self = [this] {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      return Context.Table.Self;
    };
    Control->Announce = [this](MemberState State) {
      if (Gossip)
        Gossip->announce(State);
    };
    return Control;
  }

  Member makeSelf(std::uint16_t ControlPort) const {
    const settings::NodeSettings &Settings = Context.Settings;
    Member Self;
    Self.Id = Settings.Id;
    Self.IncarnationNumber = Incarnation(wallNow().value());
    Self.Hop = Settings.Hop;
    Self.Control = {Settings.Control.Address, ControlPort};
    if (Settings.Announce.Port != 0)
      Self.Control = Settings.Announce;
    Self.At = Settings.At;
    Self.Service = Settings.Service;
    Self.Group = Settings.Group;
    Self.Version = Settings.Version;
    return Self;
  }

  void prepareState(const Member &Self) {
    std::uint64_t Seed = Context.Options.Seed;
    if (Seed == 0) {
      std::random_device Device;
      Seed = (std::uint64_t{Device()} << 32) | Device();
    }
    const SteadyTime Now = steadyNow();
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    Context.Table = membership::makeMemberTable(Self, Now, Seed);
    Context.Contacts = membership::makeContactList(Context.Settings.Seeds, Now);
    distribution::DistributionState &Feed = Context.Feed;
    Feed.Self = Self.Id;
    Feed.IncarnationNumber = Self.IncarnationNumber;
    Feed.At = Self.At;
    Feed.LastHeartbeat = Now;
    Feed.LastFreshHeartbeat = Now;
    Feed.Seed = ~Seed;
    Feed.Start.StartedAt = Now;
    Context.Checkpoint.At = Now;
  }

  void init(kernel::ServiceRegistry &Registry) {
    namespace names = kernel::service_names;
    Context.Settings = *Registry.find<settings::NodeSettings>(names::Settings);
    Context.Log = Registry.find<streamlog::LogClient>(names::Log);
    Context.Traffic =
        *Registry.find<metrics::TrafficRecorder>(names::TrafficMetrics);
    ControlSockets Sockets = openControl(Context.Settings.Control);
    const Member Self = makeSelf(Sockets.Datagrams.address().port());
    prepareState(Self);
    Context.Clients = std::make_unique<PeerClients>(
        Self.At.RegionName, Context.Options.Allow, Context.Traffic);
    Gossip = std::make_unique<GossipLoop>(Context, Rumours, Sockets.Datagrams);
    Gossip->publishMembers();
    Exchange = std::make_unique<MemberSync>(Context, *Gossip);
    Feed = std::make_unique<FeedLoop>(Context, *Gossip, *Exchange);
    Reader = std::make_unique<LogReader>(Context);
    ServerFunctions Functions = makeServerFunctions(Context);
    Functions.Call = [this](const std::string &Topic,
                            const std::string &Payload) {
      return handleCall(Topic, Payload);
    };
    Server =
        std::make_unique<PeerServer>(Sockets.Calls, Self.At.RegionName,
                                     std::move(Functions), Context.Traffic);
    Rumours.start();
    Gossip->start();
    Exchange->start();
    Feed->start();
    Reader->start();
    BOOST_LOG_TRIVIAL(info) << "peer: control port " << Self.Control.Address
                            << ':' << Self.Control.Port;
  }

  void deinit() {
    if (!Gossip)
      return;
    Gossip->announce(MemberState::Left);
    Context.stop();
    Reader->stop();
    Feed->stop();
    Exchange->stop();
    Gossip->stop();
    Server->stop();
    Rumours.stop();
  }
};

PeerNode::PeerNode(PeerOptions Options) : Impl_(std::make_unique<Impl>()) {
  Impl_->Context.Options = std::move(Options);
}

PeerNode::~PeerNode() { deinit(); }

void PeerNode::registerServices(kernel::ServiceRegistry &Registry) {
  namespace names = kernel::service_names;
  PeerContext &Context = Impl_->Context;
  Context.Config = std::make_shared<kernel::SnapshotStore<config::ConfigState>>(
      std::make_shared<const config::ConfigState>());
  Context.Members =
      std::make_shared<kernel::SnapshotStore<std::vector<Member>>>(
          std::make_shared<const std::vector<Member>>());
  Context.View =
      std::make_shared<kernel::SnapshotStore<requests::RoutingView>>();
  Registry.add(names::Config, Context.Config);
  Registry.add(names::Members, Context.Members);
  Registry.add(names::View, Context.View);
  Registry.add(names::Peers, Impl_->makeControl());
}

void PeerNode::init(kernel::ServiceRegistry &Registry) {
  Impl_->init(Registry);
}

void PeerNode::deinit() { Impl_->deinit(); }

kernel::Module makePeerModule() {
  PeerOptions Options;
  Options.Operations = makeControlFold();
  return makePeerModule(std::move(Options));
}

kernel::Module makePeerModule(PeerOptions Options) {
  const auto Node = std::make_shared<PeerNode>(std::move(Options));
  return {"peer",
          [Node](kernel::ServiceRegistry &Registry) {
            Node->registerServices(Registry);
          },
          [Node](kernel::ServiceRegistry &Registry) { Node->init(Registry); },
          [Node] { Node->deinit(); }};
}

} // namespace lycheethread::peer
