#include "peer/internal/PeerServer.h"

#include "peer/gen/PeerService.h"
#include "peer/internal/Clock.h"
#include "peer/internal/Frames.h"
#include "peer/internal/Wire.h"

#include <Poco/Exception.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>
#include <boost/log/trivial.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

namespace lycheethread::peer {

namespace {

using metrics::Direction;
using metrics::TrafficKind;

constexpr int MaxServerThreads = 24;
constexpr int MaxQueuedConnections = 64;
constexpr Milliseconds IdleTimeout{1000};
/// Time limit for one frame, so that a slow sender blocks a server thread no
/// longer than this.
constexpr Milliseconds FrameTimeout{2000};
constexpr std::size_t MaxFetchRecords = 500;

/// State that the connections share.
struct ServerState {
  Region Own;
  ServerFunctions Functions;
  metrics::TrafficRecorder Traffic;
  std::atomic<bool> Stopping{false};
  std::atomic<std::int64_t> BadFrames{0};
};

/// Serves one call and records its kind and origin for the traffic metrics.
class Handler : public wire::PeerServiceIf {
public:
  explicit Handler(ServerState &State) : State_(State) {}

  TrafficKind kind() const { return Kind_; }
  bool crossRegion() const { return CrossRegion_; }

  void fetch(wire::FetchReply &Reply, const wire::Caller &Caller,
             const std::int64_t Start, const std::int32_t Max) override {
    recordCall(TrafficKind::Fetch, Caller);
    const auto Wanted = std::clamp<std::int64_t>(
        Max, 0, static_cast<std::int64_t>(MaxFetchRecords));
    Reply = State_.Functions.Fetch(Offset(std::max<std::int64_t>(Start, 0)),
                                   static_cast<std::size_t>(Wanted));
  }

  void snapshot(wire::SnapshotReply &Reply, const wire::Caller &Caller,
                const bool WithState, const bool WithMembers) override {
    recordCall(TrafficKind::Snapshot, Caller);
    Reply = State_.Functions.Snapshot(WithState, WithMembers);
  }

  std::int64_t
  acknowledge(const wire::Caller &Caller,
              const std::vector<wire::RawRecord> &Records) override {
    recordCall(TrafficKind::Fetch, Caller);
    return State_.Functions.Acknowledge(Records).value();
  }

  void call(std::string &Reply, const wire::Caller &Caller,
            const std::string &Topic, const std::string &Payload) override {
    recordCall(TrafficKind::Call, Caller);
    Reply = State_.Functions.Call(Topic, Payload);
  }

private:
  void recordCall(TrafficKind Kind, const wire::Caller &Caller) {
    Kind_ = Kind;
    CrossRegion_ = Caller.region != State_.Own.str();
  }

  ServerState &State_;
  TrafficKind Kind_ = TrafficKind::Call;
  bool CrossRegion_ = false;
};

class Connection : public Poco::Net::TCPServerConnection {
public:
  Connection(const Poco::Net::StreamSocket &Socket,
             std::shared_ptr<ServerState> State)
      : TCPServerConnection(Socket), State_(std::move(State)) {}

  void run() override {
    try {
      socket().setNoDelay(true);
      while (!State_->Stopping && serveOne()) {
      }
    } catch (const Poco::TimeoutException &) {
      // Idle and slow connections are closed.
    } catch (const std::exception &Problem) {
      const std::int64_t Count = ++State_->BadFrames;
      // Only every hundredth error is logged, so that a flood of bad input does
      // not flood the log.
      if (Count % 100 == 1)
        BOOST_LOG_TRIVIAL(warning) << "peer: dropped a connection (" << Count
                                   << " so far): " << Problem.what();
    }
  }

private:
  bool serveOne() {
    std::string Frame;
    if (!readFrame(socket(), Frame, MaxFrameBytes,
                   after(steadyNow(), IdleTimeout), FrameTimeout))
      return false;
    const auto Served = std::make_shared<Handler>(*State_);
    wire::PeerServiceProcessor Processor(Served);
    const auto OutBuffer = std::make_shared<FrameBuffer>();
    const bool Valid =
        Processor.process(makeFrameProtocol(Frame),
                          std::make_shared<FrameProtocol>(OutBuffer), nullptr);
    count(*Served, Direction::Received, Frame.size());
    const std::string Answer = OutBuffer->getBufferAsString();
    if (!Valid || Answer.empty())
      throw BadMessage("not a valid call of the control protocol");
    writeFrame(socket(), Answer, after(steadyNow(), FrameTimeout));
    count(*Served, Direction::Sent, Answer.size());
    return true;
  }

  void count(const Handler &Served, Direction Way, std::size_t Bytes) {
    if (State_->Traffic.Record)
      State_->Traffic.Record(
          {Served.kind(), Way, Served.crossRegion(),
           ByteCount(static_cast<std::int64_t>(Bytes + FrameHeaderBytes))});
  }

  std::shared_ptr<ServerState> State_;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
public:
  explicit ConnectionFactory(std::shared_ptr<ServerState> State)
      : State_(std::move(State)) {}

  Poco::Net::TCPServerConnection *
  createConnection(const Poco::Net::StreamSocket &Socket) override {
    return new Connection(Socket, State_);
  }

private:
  std::shared_ptr<ServerState> State_;
};

Poco::Net::TCPServerParams::Ptr makeParams() {
  Poco::Net::TCPServerParams::Ptr Params = new Poco::Net::TCPServerParams;
  Params->setMaxThreads(MaxServerThreads);
  Params->setMaxQueued(MaxQueuedConnections);
  Params->setThreadIdleTime(Poco::Timespan(5, 0));
  return Params;
}

} // namespace

struct PeerServer::Impl {
  Impl(const Poco::Net::ServerSocket &Socket,
       const std::shared_ptr<ServerState> &Shared)
      : State(Shared), Threads(1, MaxServerThreads + 1, 5),
        Server(new ConnectionFactory(Shared), Threads, Socket, makeParams()) {}

  std::shared_ptr<ServerState> State;
  Poco::ThreadPool Threads;
  Poco::Net::TCPServer Server;
};

PeerServer::PeerServer(const Poco::Net::ServerSocket &Socket, Region Own,
                       ServerFunctions Functions,
                       metrics::TrafficRecorder Traffic) {
  const auto State = std::make_shared<ServerState>();
  State->Own = std::move(Own);
  State->Functions = std::move(Functions);
  State->Traffic = std::move(Traffic);
  Impl_ = std::make_unique<Impl>(Socket, State);
  Impl_->Server.start();
}

PeerServer::~PeerServer() { stop(); }

void PeerServer::stop() {
  if (Impl_->State->Stopping.exchange(true))
    return;
  Impl_->Server.stop();
  Impl_->Threads.joinAll();
}

} // namespace lycheethread::peer
