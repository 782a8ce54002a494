#include "UpstreamStandIn.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <iterator>
#include <list>
#include <mutex>
#include <thread>

namespace lycheethread::platformtest {

namespace {

using Poco::Net::StreamSocket;

/// Connections of a test that may wait at the same time.
constexpr int Backlog = 512;

/// Waits for \p Time; returns false as soon as the peer closes the connection.
bool staysOpen(StreamSocket &Socket, std::chrono::milliseconds Time) {
  const auto End = std::chrono::steady_clock::now() + Time;
  for (;;) {
    const auto Left = std::chrono::duration_cast<std::chrono::microseconds>(
        End - std::chrono::steady_clock::now());
    if (Left.count() <= 0)
      return true;
    if (!Socket.poll(Poco::Timespan(Left.count()),
                     Poco::Net::Socket::SELECT_READ))
      return true;
    char Next = 0;
    if (Socket.receiveBytes(&Next, 1, MSG_PEEK) <= 0)
      return false;
    // The next request has arrived early, so that a close cannot be seen.
    std::this_thread::sleep_until(End);
  }
}

bool receiveMore(StreamSocket &Socket, std::string &Buffer) {
  std::array<char, 16384> Block{};
  const int Count =
      Socket.receiveBytes(Block.data(), static_cast<int>(Block.size()));
  if (Count <= 0)
    return false;
  Buffer.append(Block.data(), static_cast<std::size_t>(Count));
  return true;
}

/// Reads the head of a request; returns false when the peer closed the
/// connection.
bool readHead(StreamSocket &Socket, std::string &Buffer,
              ReceivedRequest &Request) {
  std::size_t End = std::string::npos;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!receiveMore(Socket, Buffer))
      return false;
  std::size_t LineEnd = Buffer.find("\r\n");
  Request.RequestLine = Buffer.substr(0, LineEnd);
  while (LineEnd < End) {
    const std::size_t Next = Buffer.find("\r\n", LineEnd + 2);
    const std::string Field = Buffer.substr(LineEnd + 2, Next - LineEnd - 2);
    Request.HeaderLines.push_back(Field);
    const std::size_t Colon = Field.find(':');
    Request.Headers[Poco::toLower(Field.substr(0, Colon))] =
        Poco::trim(Field.substr(Colon + 1));
    LineEnd = Next;
  }
  Buffer.erase(0, End + 4);
  return true;
}

/// Reads the body that belongs to the head in \p Request.
bool readBody(StreamSocket &Socket, std::string &Buffer,
              ReceivedRequest &Request) {
  const auto Length = Request.Headers.find("content-length");
  const std::size_t Size =
      Length == Request.Headers.end() ? 0 : std::stoul(Length->second);
  while (Buffer.size() < Size)
    if (!receiveMore(Socket, Buffer))
      return false;
  Request.Body = Buffer.substr(0, Size);
  Request.ReceivedAt = std::chrono::steady_clock::now();
  Buffer.erase(0, Size);
  return true;
}

} // namespace

std::vector<std::string>
ReceivedRequest::linesOf(const std::string &Name) const {
  std::vector<std::string> Found;
  std::copy_if(HeaderLines.begin(), HeaderLines.end(),
               std::back_inserter(Found), [&](const std::string &Line) {
                 return Poco::toLower(Line.substr(0, Line.find(':'))) == Name;
               });
  return Found;
}

struct UpstreamStandIn::Impl {
  Poco::Net::ServerSocket Socket{
      Poco::Net::SocketAddress("127.0.0.1", Poco::UInt16(0)), Backlog};
  std::uint16_t Port = Socket.address().port();
  std::mutex Lock;
  Behaviour ActiveBehaviour = [](const ReceivedRequest &Request) {
    return completeResponse(Request);
  };
  Behaviour EarlyBehaviour;
  std::vector<ReceivedRequest> Received;
  std::vector<ReceivedRequest> Abandoned;
  std::list<StreamSocket> Connections;
  std::vector<std::thread> Threads;
  std::atomic<bool> Stopping{false};
  std::thread AcceptThread;

  void acceptAll() {
    while (!Stopping) {
      try {
        if (!Socket.poll(Poco::Timespan(0, 50'000),
                         Poco::Net::Socket::SELECT_READ))
          continue;
        StreamSocket Accepted = Socket.acceptConnection();
        const std::lock_guard<std::mutex> Guard(Lock);
        Connections.push_back(Accepted);
        Threads.emplace_back([this, Accepted] { serve(Accepted); });
      } catch (const Poco::Exception &) {
        return;
      }
    }
  }

  void sendLate(const StreamSocket &Connection, const RawResponse &Response) {
    if (Response.LateBytes.empty())
      return;
    const std::lock_guard<std::mutex> Guard(Lock);
    Threads.emplace_back([Late = Connection, Response]() mutable {
      std::this_thread::sleep_for(Response.LateDelay);
      try {
        Late.sendBytes(Response.LateBytes.data(),
                       static_cast<int>(Response.LateBytes.size()));
      } catch (const Poco::Exception &) {
        // The node has closed the connection.
      }
    });
  }

  /// Answers a request whose body has not been read; returns false if it is to
  /// be read as usual.
  bool answerEarly(StreamSocket &Connection, const ReceivedRequest &Request) {
    Behaviour Early;
    {
      const std::lock_guard<std::mutex> Guard(Lock);
      Early = EarlyBehaviour;
    }
    if (!Early)
      return false;
    const RawResponse Response = Early(Request);
    Connection.sendBytes(Response.Bytes.data(),
                         static_cast<int>(Response.Bytes.size()));
    std::this_thread::sleep_for(Response.Delay);
    if (Response.ResetAfter)
      Connection.setLinger(true, 0);
    Connection.close();
    return true;
  }

  void serve(StreamSocket Connection) {
    std::string Buffer;
    try {
      for (;;) {
        ReceivedRequest Request;
        if (!readHead(Connection, Buffer, Request) ||
            answerEarly(Connection, Request) ||
            !readBody(Connection, Buffer, Request))
          return;
        Behaviour CurrentBehaviour;
        {
          const std::lock_guard<std::mutex> Guard(Lock);
          Received.push_back(Request);
          CurrentBehaviour = ActiveBehaviour;
        }
        const RawResponse Response = CurrentBehaviour(Request);
        if (!staysOpen(Connection, Response.Delay)) {
          const std::lock_guard<std::mutex> Guard(Lock);
          Abandoned.push_back(Request);
          return;
        }
        if (!Response.Bytes.empty())
          Connection.sendBytes(Response.Bytes.data(),
                               static_cast<int>(Response.Bytes.size()));
        sendLate(Connection, Response);
        while (!Response.EndlessBytes.empty() && !Stopping)
          Connection.sendBytes(Response.EndlessBytes.data(),
                               static_cast<int>(Response.EndlessBytes.size()));
        if (Response.CloseAfter) {
          Connection.close();
          return;
        }
      }
    } catch (const Poco::Exception &) {
      // The node closed the connection.
    }
  }

  void stop() {
    if (Stopping.exchange(true))
      return;
    AcceptThread.join();
    Socket.close();
    std::vector<std::thread> Remaining;
    {
      const std::lock_guard<std::mutex> Guard(Lock);
      for (StreamSocket &Item : Connections) {
        try {
          Item.shutdown();
        } catch (const Poco::Exception &) {
          // The connection is already closed.
        }
      }
      Remaining.swap(Threads);
    }
    for (std::thread &Item : Remaining)
      Item.join();
  }
};

UpstreamStandIn::UpstreamStandIn() : Impl_(std::make_unique<Impl>()) {
  Impl_->AcceptThread = std::thread([this] { Impl_->acceptAll(); });
}

UpstreamStandIn::~UpstreamStandIn() { Impl_->stop(); }

std::uint16_t UpstreamStandIn::port() const { return Impl_->Port; }

void UpstreamStandIn::setBehaviour(Behaviour NewBehaviour) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->ActiveBehaviour = std::move(NewBehaviour);
}

void UpstreamStandIn::setEarlyBehaviour(Behaviour NewBehaviour) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->EarlyBehaviour = std::move(NewBehaviour);
}

std::vector<ReceivedRequest> UpstreamStandIn::receivedRequests() const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  return Impl_->Received;
}

std::vector<ReceivedRequest> UpstreamStandIn::abandonedRequests() const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  return Impl_->Abandoned;
}

void UpstreamStandIn::crash() { Impl_->stop(); }

void UpstreamStandIn::restart() {
  Impl_->Connections.clear();
  Impl_->Socket = Poco::Net::ServerSocket(
      Poco::Net::SocketAddress("127.0.0.1", Impl_->Port), Backlog);
  Impl_->Stopping = false;
  Impl_->AcceptThread = std::thread([this] { Impl_->acceptAll(); });
}

RawResponse completeResponse(const ReceivedRequest &Request,
                             const std::string &Body, int Status) {
  const auto Id = Request.Headers.find("x-attempt-id");
  RawResponse Response;
  Response.Bytes = "HTTP/1.1 " + std::to_string(Status) +
                   " Text\r\nX-Response-Seal: s\r\nX-Attempt-Id: " +
                   (Id == Request.Headers.end() ? "" : Id->second) +
                   "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
                   std::to_string(Body.size()) + "\r\n\r\n" + Body;
  return Response;
}

} // namespace lycheethread::platformtest
