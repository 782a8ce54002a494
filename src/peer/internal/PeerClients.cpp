#include "peer/internal/PeerClients.h"

#include "peer/gen/PeerService.h"
#include "peer/internal/Clock.h"
#include "peer/internal/Frames.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace lycheethread::peer {

namespace {

using metrics::Direction;
using metrics::TrafficKind;

constexpr Milliseconds ConnectTimeout{500};
constexpr Milliseconds CallTimeout{2000};
constexpr Milliseconds SnapshotTimeout{5000};
/// Shorter than the idle timeout of the server, so that pooled connections are
/// rarely closed by the peer.
constexpr Milliseconds MaxIdleTime{700};
constexpr std::size_t MaxPooledConnections = 16;

struct PooledConnection {
  Poco::Net::StreamSocket Socket;
  SteadyTime Since;
};

} // namespace

struct PeerClients::Impl {
  Region Own;
  std::function<bool(const Endpoint &)> Allow;
  metrics::TrafficRecorder Traffic;
  std::mutex Lock;
  std::map<Endpoint, std::vector<PooledConnection>> Pool;
  std::size_t PooledCount = 0;

  wire::Caller caller() const {
    wire::Caller Self;
    Self.region = Own.str();
    return Self;
  }

  void count(TrafficKind Kind, Direction Way, const Region &In,
             std::size_t Bytes) const {
    if (Traffic.Record)
      Traffic.Record(
          {Kind, Way, !In.empty() && In != Own,
           ByteCount(static_cast<std::int64_t>(Bytes + FrameHeaderBytes))});
  }

  std::optional<Poco::Net::StreamSocket> takeFromPool(const Endpoint &To) {
    const std::lock_guard<std::mutex> Guard(Lock);
    const SteadyTime Now = steadyNow();
    std::optional<Poco::Net::StreamSocket> Found;
    for (auto It = Pool.begin(); It != Pool.end();) {
      auto &Idle = It->second;
      while (!Idle.empty() && elapsed(Idle.front().Since, Now) >= MaxIdleTime) {
        Idle.erase(Idle.begin());
        --PooledCount;
      }
      if (!Found && !Idle.empty() && It->first == To) {
        Found = Idle.back().Socket;
        Idle.pop_back();
        --PooledCount;
      }
      It = Idle.empty() ? Pool.erase(It) : std::next(It);
    }
    return Found;
  }

  void returnToPool(const Endpoint &To, const Poco::Net::StreamSocket &Socket) {
    const std::lock_guard<std::mutex> Guard(Lock);
    if (PooledCount >= MaxPooledConnections)
      return;
    Pool[To].push_back({Socket, steadyNow()});
    ++PooledCount;
  }

  Poco::Net::StreamSocket connect(const Endpoint &To) {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(To.Address, To.Port),
                   Poco::Timespan(ConnectTimeout.count() * 1000));
    Socket.setNoDelay(true);
    return Socket;
  }

  // A connection returns to the pool only after a complete round trip.
  std::string roundTrip(const Endpoint &To, const std::string &Request,
                        std::size_t MaxAnswer, Milliseconds Timeout) {
    const SteadyTime Deadline = after(steadyNow(), Timeout);
    std::string Answer;
    auto Idle = takeFromPool(To);
    // An idle connection that is readable was closed by the peer.
    const bool Usable =
        Idle && !Idle->poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    Poco::Net::StreamSocket Socket = Usable ? *Idle : connect(To);
    writeFrame(Socket, Request, Deadline);
    if (!readFrame(Socket, Answer, MaxAnswer, Deadline, Timeout))
      throw PeerUnavailable("the peer closed the connection");
    returnToPool(To, Socket);
    return Answer;
  }

  template <typename Send, typename Receive>
  auto run(const Endpoint &To, const Region &In, TrafficKind Kind,
           std::size_t MaxAnswer, Milliseconds Timeout, Send SendIt,
           Receive ReceiveIt) {
    const std::string Name = To.Address + ':' + std::to_string(To.Port);
    try {
      if (Allow && !Allow(To))
        throw PeerUnavailable("the network to " + Name + " is blocked");
      const auto OutBuffer = std::make_shared<FrameBuffer>();
      wire::PeerServiceClient Writer(
          std::make_shared<FrameProtocol>(OutBuffer));
      SendIt(Writer);
      const std::string Request = OutBuffer->getBufferAsString();
      if (Request.size() > MaxFrameBytes)
        throw PeerUnavailable("the request is longer than a frame");
      count(Kind, Direction::Sent, In, Request.size());
      std::string Answer = roundTrip(To, Request, MaxAnswer, Timeout);
      count(Kind, Direction::Received, In, Answer.size());
      wire::PeerServiceClient Reader(makeFrameProtocol(Answer));
      return ReceiveIt(Reader);
    } catch (const PeerUnavailable &) {
      throw;
    } catch (const wire::CallFailed &Failed) {
      throw PeerUnavailable("peer " + Name + " refused: " + Failed.reason);
    } catch (const Poco::Exception &Problem) {
      throw PeerUnavailable("peer " + Name + ": " + Problem.displayText());
    } catch (const std::exception &Problem) {
      throw PeerUnavailable("peer " + Name + ": " + Problem.what());
    }
  }
};

PeerClients::PeerClients(Region Own,
                         std::function<bool(const Endpoint &)> Allow,
                         metrics::TrafficRecorder Traffic)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Own = std::move(Own);
  Impl_->Allow = std::move(Allow);
  Impl_->Traffic = std::move(Traffic);
}

PeerClients::~PeerClients() = default;

wire::FetchReply PeerClients::fetch(const Endpoint &To, const Region &In,
                                    Offset From, std::size_t MaxRecords) {
  return Impl_->run(
      To, In, TrafficKind::Fetch, MaxFrameBytes, CallTimeout,
      [&](wire::PeerServiceClient &Writer) {
        Writer.send_fetch(Impl_->caller(), From.value(),
                          static_cast<std::int32_t>(MaxRecords));
      },
      [](wire::PeerServiceClient &Reader) {
        wire::FetchReply Reply;
        Reader.recv_fetch(Reply);
        return Reply;
      });
}

wire::SnapshotReply PeerClients::snapshot(const Endpoint &To, const Region &In,
                                          bool WithState, bool WithMembers) {
  return Impl_->run(
      To, In, TrafficKind::Snapshot, MaxSnapshotBytes, SnapshotTimeout,
      [&](wire::PeerServiceClient &Writer) {
        Writer.send_snapshot(Impl_->caller(), WithState, WithMembers);
      },
      [](wire::PeerServiceClient &Reader) {
        wire::SnapshotReply Reply;
        Reader.recv_snapshot(Reply);
        return Reply;
      });
}

Offset PeerClients::acknowledge(const Endpoint &To, const Region &In,
                                const std::vector<wire::RawRecord> &Records) {
  return Impl_->run(
      To, In, TrafficKind::Fetch, MaxFrameBytes, CallTimeout,
      [&](wire::PeerServiceClient &Writer) {
        Writer.send_acknowledge(Impl_->caller(), Records);
      },
      [](wire::PeerServiceClient &Reader) {
        return Offset(Reader.recv_acknowledge());
      });
}

std::string PeerClients::call(const Endpoint &To, const Region &In,
                              const std::string &Topic,
                              const std::string &Payload) {
  if (Payload.size() > MaxCallBytes)
    throw PeerUnavailable("the payload is longer than " +
                          std::to_string(MaxCallBytes) + " bytes");
  return Impl_->run(
      To, In, TrafficKind::Call, MaxFrameBytes, CallTimeout,
      [&](wire::PeerServiceClient &Writer) {
        Writer.send_call(Impl_->caller(), Topic, Payload);
      },
      [](wire::PeerServiceClient &Reader) {
        std::string Reply;
        Reader.recv_call(Reply);
        return Reply;
      });
}

} // namespace lycheethread::peer
