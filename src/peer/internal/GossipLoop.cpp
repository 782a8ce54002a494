#include "peer/internal/GossipLoop.h"

#include "peer/internal/Clock.h"
#include "peer/internal/Wire.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <boost/log/trivial.hpp>

#include <array>
#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace lycheethread::peer {

namespace {

using metrics::Direction;
using metrics::TrafficKind;

constexpr Milliseconds TickInterval{50};
constexpr Milliseconds MembersInterval{2000};
constexpr int MaxDatagramsPerTick = 256;
constexpr std::size_t RumourFanout = 4;
constexpr std::size_t RumourCrossRegionFanout = 2;
constexpr std::size_t ReceiveBytes = 2048;
constexpr int SocketBufferBytes = 1024 * 1024;

TrafficKind kindOf(const wire::Datagram &Item) {
  if (Item.__isset.heartbeat)
    return TrafficKind::Feed;
  return Item.__isset.rumour ? TrafficKind::Rumour : TrafficKind::Probe;
}

const std::string &regionOf(const wire::Datagram &Item) {
  if (Item.__isset.heartbeat)
    return Item.heartbeat.region;
  return Item.__isset.rumour ? Item.rumour.region : Item.message.region;
}

const char *toText(membership::EventKind Kind) {
  switch (Kind) {
  case membership::EventKind::Joined:
    return "joined";
  case membership::EventKind::Suspected:
    return "is suspect";
  case membership::EventKind::Refuted:
    return "refuted the suspicion";
  case membership::EventKind::Died:
    return "is dead";
  case membership::EventKind::Left:
    return "left";
  case membership::EventKind::Changed:
    break;
  }
  return "changed";
}

} // namespace

struct GossipLoop::Impl {
  Impl(PeerContext &C, RumourDispatcher &R, const Poco::Net::DatagramSocket &S)
      : Context(C), Rumours(R), Socket(S) {}

  PeerContext &Context;
  RumourDispatcher &Rumours;
  Poco::Net::DatagramSocket Socket;
  std::thread Worker;
  std::mutex PendingLock;
  std::optional<distribution::FeedHeartbeat> PendingHeartbeat;
  std::uint64_t PublishedVersion = ~std::uint64_t{0};
  SteadyTime PublishedAt;
  std::set<Region> Unreachable;
  std::int64_t BadDatagrams = 0;

  void count(TrafficKind Kind, Direction Way, bool CrossRegion,
             std::size_t Bytes) const {
    if (Context.Traffic.Record)
      Context.Traffic.Record({Kind, Way, CrossRegion,
                              ByteCount(static_cast<std::int64_t>(Bytes))});
  }

  void sendTo(const Endpoint &To, const Region &In,
              const wire::Datagram &Item) {
    if (Context.Options.Allow && !Context.Options.Allow(To))
      return;
    try {
      const std::string Data = encodeDatagram(Item);
      Socket.sendTo(Data.data(), static_cast<int>(Data.size()),
                    Poco::Net::SocketAddress(To.Address, To.Port));
      count(kindOf(Item), Direction::Sent,
            !In.empty() && In != Context.location().RegionName, Data.size());
    } catch (const std::exception &Problem) {
      BOOST_LOG_TRIVIAL(debug)
          << "peer: a datagram to " << To.Address << ':' << To.Port
          << " was not sent: " << Problem.what();
    }
  }

  void perform(const membership::Actions &Result) {
    for (const membership::OutgoingMessage &Item : Result.Sends) {
      wire::Datagram Out;
      Out.__set_message(toWire(Item.Content));
      sendTo(Item.To, Item.ToRegion, Out);
    }
    for (const membership::MemberEvent &Event : Result.Events)
      BOOST_LOG_TRIVIAL(debug)
          << "peer: member " << Event.Id << ' ' << toText(Event.Kind);
    if (Result.SyncWith) {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Context.SyncWith = Result.SyncWith;
    }
  }

  void distributeHeartbeat(const distribution::FeedHeartbeat &Heartbeat) {
    const MemberList Members = Context.members();
    std::vector<Member> Targets;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Targets = distribution::chooseForwardTargets(Context.Feed, *Members);
    }
    wire::Datagram Out;
    Out.__set_heartbeat(toWire(Heartbeat, Context.Settings.Id));
    for (const Member &Target : Targets)
      sendTo(Target.Control, Target.At.RegionName, Out);
  }

  void sendRumour(wire::Rumour Item) {
    const bool Cross = Item.origin == Context.location().RegionName.str();
    Item.region = Context.location().RegionName.str();
    std::vector<Member> SameRegion;
    std::vector<Member> OtherRegions;
    const MemberList Members = Context.members();
    for (const Member &Each : *Members)
      if (Each.Id != Context.Settings.Id)
        (Each.At.RegionName == Context.location().RegionName ? SameRegion
                                                             : OtherRegions)
            .push_back(Each);
    wire::Datagram Out;
    Out.__set_rumour(Item);
    bool IsBridge = false;
    std::uint64_t Seed = 0;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      IsBridge = Context.Table.IsBridge;
      Seed = distribution::nextRandom(Context.Feed.Seed);
    }
    sendToRandom(SameRegion, RumourFanout, Seed, Out);
    if (IsBridge && Cross)
      sendToRandom(OtherRegions, RumourCrossRegionFanout, Seed, Out);
  }

  void sendToRandom(std::vector<Member> &From, std::size_t Count,
                    std::uint64_t &Seed, const wire::Datagram &Out) {
    for (std::size_t Sent = 0; Sent < Count && !From.empty(); ++Sent) {
      const std::size_t At = distribution::randomBelow(Seed, From.size());
      sendTo(From[At].Control, From[At].At.RegionName, Out);
      From[At] = From.back();
      From.pop_back();
    }
  }

  void handleHeartbeat(const wire::FeedHeartbeat &Received) {
    const distribution::FeedHeartbeat Heartbeat = fromWire(Received);
    distribution::HeartbeatResult Result;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Result = distribution::onFeedHeartbeat(
          Context.Feed, Heartbeat, NodeId(Received.sender), steadyNow());
    }
    if (!Result.IsNew)
      return;
    if (!Result.PullFirst) {
      distributeHeartbeat(Heartbeat);
      return;
    }
    // The heartbeat is forwarded after its records have been pulled, so that
    // the receivers can pull them from this node.
    {
      const std::lock_guard<std::mutex> Guard(PendingLock);
      PendingHeartbeat = Heartbeat;
    }
    Context.wake();
  }

  void handleRumour(const wire::Rumour &Received) {
    if (Received.topic.size() > MaxFieldBytes ||
        Received.payload.size() > MaxRumourBytes)
      throw BadMessage("a rumour is too long");
    if (Rumours.accept(Received.id, Received.topic, Received.payload))
      sendRumour(Received);
  }

  void handleMessage(const wire::WireMessage &Received,
                     const Endpoint &Source) {
    const membership::Message Content = fromWire(Received);
    membership::Actions Result;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      const SteadyTime Now = steadyNow();
      Result = membership::handleMessage(Context.Table, Content, Source, Now);
      if (Content.Position > Context.Feed.Position &&
          Context.Table.Others.count(Content.From) != 0)
        distribution::recordCommittedPosition(Context.Feed, Content.Position,
                                              Content.From, Now);
    }
    perform(Result);
  }

  void handle(const char *Data, std::size_t Size, const Endpoint &Source) {
    try {
      const wire::Datagram Item = decodeDatagram(Data, Size);
      if (!Item.__isset.message && !Item.__isset.heartbeat &&
          !Item.__isset.rumour)
        throw BadMessage("a datagram is empty");
      count(kindOf(Item), Direction::Received,
            regionOf(Item) != Context.location().RegionName.str(), Size);
      if (Item.__isset.heartbeat)
        handleHeartbeat(Item.heartbeat);
      else if (Item.__isset.rumour)
        handleRumour(Item.rumour);
      else
        handleMessage(Item.message, Source);
    } catch (const std::exception &Problem) {
      // Only every hundredth error is logged, so that a flood of bad input does
      // not flood the log.
      if (++BadDatagrams % 100 == 1)
        BOOST_LOG_TRIVIAL(warning)
            << "peer: dropped a datagram (" << BadDatagrams
            << " so far): " << Problem.what();
    }
  }

  void receive() {
    std::array<char, ReceiveBytes> Buffer{};
    for (int Count = 0; Count < MaxDatagramsPerTick; ++Count) {
      const Poco::Timespan Wait(Count == 0 ? TickInterval.count() * 1000 : 0);
      if (!Socket.poll(Wait, Poco::Net::Socket::SELECT_READ))
        return;
      Poco::Net::SocketAddress From;
      const int Size = Socket.receiveFrom(
          Buffer.data(), static_cast<int>(Buffer.size()), From);
      if (Size > 0)
        handle(Buffer.data(), static_cast<std::size_t>(Size),
               {From.host().toString(), From.port()});
    }
  }

  void sendHeartbeat() {
    std::optional<distribution::FeedHeartbeat> Due;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      Due = distribution::nextHeartbeat(Context.Feed, Context.Reading,
                                        steadyNow());
    }
    if (Due)
      distributeHeartbeat(*Due);
  }

  void publishMembers() {
    const SteadyTime Now = steadyNow();
    std::vector<Member> Visible;
    std::set<Region> NowUnreachable;
    {
      const std::lock_guard<std::mutex> Guard(Context.Lock);
      const bool Due = elapsed(PublishedAt, Now) >= MembersInterval;
      if (!Due && Context.Table.Version == PublishedVersion)
        return;
      PublishedVersion = Context.Table.Version;
      PublishedAt = Now;
      Visible = membership::visibleMembers(Context.Table, Now);
      for (const auto &Item : Context.Table.Regions)
        if (membership::isUnreachable(Context.Table, Item.first, Now))
          NowUnreachable.insert(Item.first);
    }
    for (const Region &In : NowUnreachable)
      if (Unreachable.count(In) == 0)
        BOOST_LOG_TRIVIAL(warning)
            << "peer: region " << In << " cannot be reached";
    for (const Region &In : Unreachable)
      if (NowUnreachable.count(In) == 0)
        BOOST_LOG_TRIVIAL(info)
            << "peer: region " << In << " can be reached again";
    Unreachable = std::move(NowUnreachable);
    Context.Members->store(
        std::make_shared<const std::vector<Member>>(std::move(Visible)));
    Context.wake();
  }

  void run() {
    while (!Context.Stopping) {
      try {
        receive();
        membership::Actions Result;
        {
          const std::lock_guard<std::mutex> Guard(Context.Lock);
          Result = membership::tick(Context.Table, steadyNow());
        }
        perform(Result);
        sendHeartbeat();
        const std::lock_guard<std::mutex> Guard(PublishLock);
        publishMembers();
      } catch (const std::exception &Problem) {
        BOOST_LOG_TRIVIAL(error)
            << "peer: gossip step failed: " << Problem.what();
        Context.pause(TickInterval);
      }
    }
  }

  std::mutex PublishLock;
};

GossipLoop::GossipLoop(PeerContext &Context, RumourDispatcher &Rumours,
                       const Poco::Net::DatagramSocket &Socket)
    : Impl_(std::make_unique<Impl>(Context, Rumours, Socket)) {
  Impl_->Socket.setReceiveBufferSize(SocketBufferBytes);
}

GossipLoop::~GossipLoop() { stop(); }

void GossipLoop::start() {
  Impl_->Worker = std::thread([this] { Impl_->run(); });
}

void GossipLoop::stop() {
  if (Impl_->Worker.joinable())
    Impl_->Worker.join();
}

void GossipLoop::perform(const membership::Actions &Result) {
  Impl_->perform(Result);
}

void GossipLoop::announce(MemberState State) {
  {
    const std::lock_guard<std::mutex> Guard(Impl_->Context.Lock);
    Impl_->Context.RequestedState = State;
  }
  announceAgain();
}

void GossipLoop::announceAgain() {
  PeerContext &Context = Impl_->Context;
  membership::Actions Result;
  {
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    const MemberState State = membership::stateToAnnounce(
        Context.Feed.Serving, Context.RequestedState);
    Result = membership::announce(Context.Table, State, steadyNow());
  }
  perform(Result);
  publishMembers();
}

void GossipLoop::forwardPendingHeartbeat() {
  std::optional<distribution::FeedHeartbeat> Ready;
  {
    const std::lock_guard<std::mutex> Guard(Impl_->PendingLock);
    Ready.swap(Impl_->PendingHeartbeat);
  }
  if (Ready)
    Impl_->distributeHeartbeat(*Ready);
}

void GossipLoop::sendHeartbeat() { Impl_->sendHeartbeat(); }

void GossipLoop::broadcastRumour(const std::string &Topic,
                                 const std::string &Payload) {
  if (Payload.size() > MaxRumourBytes || Topic.size() > MaxFieldBytes)
    throw std::length_error("a rumour is longer than " +
                            std::to_string(MaxRumourBytes) + " bytes");
  wire::Rumour Item;
  {
    const std::lock_guard<std::mutex> Guard(Impl_->Context.Lock);
    Item.id = static_cast<std::int64_t>(
        distribution::nextRandom(Impl_->Context.Feed.Seed));
  }
  Item.topic = Topic;
  Item.payload = Payload;
  Item.origin = Impl_->Context.location().RegionName.str();
  if (Impl_->Rumours.accept(Item.id, Topic, Payload))
    Impl_->sendRumour(Item);
}

void GossipLoop::publishMembers() {
  const std::lock_guard<std::mutex> Guard(Impl_->PublishLock);
  Impl_->publishMembers();
}

} // namespace lycheethread::peer
