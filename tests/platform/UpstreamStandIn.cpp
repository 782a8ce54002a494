#include "UpstreamStandIn.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <list>
#include <mutex>
#include <thread>

namespace lycheethread::platformtest {

namespace {

using Poco::Net::StreamSocket;

/// Reads one request; false when the peer has closed.
bool readRequest(StreamSocket &Socket, std::string &Buffer, SeenRequest &Into) {
  const auto Fill = [&] {
    std::array<char, 16384> Part{};
    const int Count =
        Socket.receiveBytes(Part.data(), static_cast<int>(Part.size()));
    if (Count <= 0)
      return false;
    Buffer.append(Part.data(), static_cast<std::size_t>(Count));
    return true;
  };
  std::size_t End = std::string::npos;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!Fill())
      return false;
  std::size_t At = Buffer.find("\r\n");
  Into.Line = Buffer.substr(0, At);
  while (At < End) {
    const std::size_t Next = Buffer.find("\r\n", At + 2);
    const std::string Field = Buffer.substr(At + 2, Next - At - 2);
    const std::size_t Colon = Field.find(':');
    Into.Headers[Poco::toLower(Field.substr(0, Colon))] =
        Poco::trim(Field.substr(Colon + 1));
    At = Next;
  }
  Buffer.erase(0, End + 4);
  const auto Length = Into.Headers.find("content-length");
  const std::size_t Size =
      Length == Into.Headers.end() ? 0 : std::stoul(Length->second);
  while (Buffer.size() < Size)
    if (!Fill())
      return false;
  Into.Body = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return true;
}

} // namespace

struct UpstreamStandIn::Impl {
  Poco::Net::ServerSocket Socket{
      Poco::Net::SocketAddress("127.0.0.1", Poco::UInt16(0))};
  std::uint16_t Port = Socket.address().port();
  std::mutex Lock;
  Behaviour Answering = [](const SeenRequest &Request) {
    return goodAnswer(Request);
  };
  std::vector<SeenRequest> Seen;
  std::list<StreamSocket> Open;
  std::vector<std::thread> Threads;
  std::atomic<bool> Ending{false};
  std::thread Acceptor;

  void acceptAll() {
    while (!Ending) {
      try {
        if (!Socket.poll(Poco::Timespan(0, 50'000),
                         Poco::Net::Socket::SELECT_READ))
          continue;
        StreamSocket Accepted = Socket.acceptConnection();
        const std::lock_guard<std::mutex> Guard(Lock);
        Open.push_back(Accepted);
        Threads.emplace_back([this, Accepted] { serve(Accepted); });
      } catch (const Poco::Exception &) {
        return;
      }
    }
  }

  void serve(StreamSocket Connection) {
    std::string Buffer;
    try {
      for (;;) {
        SeenRequest Request;
        if (!readRequest(Connection, Buffer, Request))
          return;
        Behaviour Used;
        {
          const std::lock_guard<std::mutex> Guard(Lock);
          Seen.push_back(Request);
          Used = Answering;
        }
        const RawAnswer Answer = Used(Request);
        std::this_thread::sleep_for(Answer.Delay);
        if (!Answer.Bytes.empty())
          Connection.sendBytes(Answer.Bytes.data(),
                               static_cast<int>(Answer.Bytes.size()));
        if (Answer.CloseAfter) {
          Connection.close();
          return;
        }
      }
    } catch (const Poco::Exception &) {
      // The node has closed the connection.
    }
  }

  void end() {
    if (Ending.exchange(true))
      return;
    Acceptor.join();
    Socket.close();
    std::vector<std::thread> Left;
    {
      const std::lock_guard<std::mutex> Guard(Lock);
      for (StreamSocket &Item : Open) {
        try {
          Item.shutdown();
        } catch (const Poco::Exception &) {
          // Closed already.
        }
      }
      Left.swap(Threads);
    }
    for (std::thread &Item : Left)
      Item.join();
  }
};

UpstreamStandIn::UpstreamStandIn() : Impl_(std::make_unique<Impl>()) {
  Impl_->Acceptor = std::thread([this] { Impl_->acceptAll(); });
}

UpstreamStandIn::~UpstreamStandIn() { Impl_->end(); }

std::uint16_t UpstreamStandIn::port() const { return Impl_->Port; }

void UpstreamStandIn::setBehaviour(Behaviour Used) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->Answering = std::move(Used);
}

std::vector<SeenRequest> UpstreamStandIn::seen() const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  return Impl_->Seen;
}

void UpstreamStandIn::crash() { Impl_->end(); }

RawAnswer goodAnswer(const SeenRequest &Request, const std::string &Body,
                     int Status) {
  const auto Id = Request.Headers.find("x-attempt-id");
  RawAnswer Answer;
  Answer.Bytes = "HTTP/1.1 " + std::to_string(Status) +
                 " Text\r\nX-Response-Seal: s\r\nX-Attempt-Id: " +
                 (Id == Request.Headers.end() ? "" : Id->second) +
                 "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
                 std::to_string(Body.size()) + "\r\n\r\n" + Body;
  return Answer;
}

} // namespace lycheethread::platformtest
