#include "TestClient.h"
#include "TestCluster.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <thread>

using namespace lycheethread;
using namespace lycheethread::proxy;

namespace {

using Poco::Net::StreamSocket;

constexpr std::size_t UploadBytes = 4 * 1024 * 1024;

/// What an upstream sends once it has read the head of a request; it does not
/// read the body.
struct EarlyAnswer {
  std::string Bytes;
  std::chrono::milliseconds Delay{0};
  bool Reset = false;
};

/// Gives every request the same early answer and ends the connection after it.
class EarlyUpstream {
public:
  explicit EarlyUpstream(EarlyAnswer Answer)
      : Answer_(std::move(Answer)), Thread_([this] { run(); }) {}
  ~EarlyUpstream() {
    Stopping_ = true;
    Thread_.join();
    for (std::thread &Each : Serving_)
      Each.join();
  }

  Endpoint endpoint() const { return {"127.0.0.1", Socket_.address().port()}; }

private:
  void run() {
    while (!Stopping_)
      if (Socket_.poll(Poco::Timespan(0, 20'000),
                       Poco::Net::Socket::SELECT_READ))
        Serving_.emplace_back(
            [this, Accepted = Socket_.acceptConnection()] { serve(Accepted); });
  }

  void serve(StreamSocket Connection) const {
    std::string Head;
    std::array<char, 1> Byte{};
    try {
      Connection.setReceiveTimeout(Poco::Timespan(5, 0));
      while (Head.find("\r\n\r\n") == std::string::npos) {
        if (Connection.receiveBytes(Byte.data(), 1) <= 0)
          return;
        Head += Byte[0];
      }
      Connection.sendBytes(Answer_.Bytes.data(),
                           static_cast<int>(Answer_.Bytes.size()));
      std::this_thread::sleep_for(Answer_.Delay);
      if (Answer_.Reset)
        Connection.setLinger(true, 0);
    } catch (const Poco::Exception &) {
      // The node has ended the connection.
    }
  }

  const EarlyAnswer Answer_;
  Poco::Net::ServerSocket Socket_{
      Poco::Net::SocketAddress("127.0.0.1", Poco::UInt16(0))};
  std::atomic<bool> Stopping_{false};
  std::list<std::thread> Serving_;
  std::thread Thread_;
};

/// A node beside the upstream and one that reaches it over the first.
class TwoNodes {
public:
  explicit TwoNodes(const EarlyUpstream &Upstream)
      : Far_(Cluster_.add("entry", "", {})),
        Near_(Cluster_.add("last", "shop", Upstream.endpoint())) {
    Cluster_.publish();
  }

  std::array<const TestNode *, 2> all() const { return {&Far_, &Near_}; }

private:
  TestCluster Cluster_;
  const TestNode &Far_;
  const TestNode &Near_;
};

struct Received {
  std::string Answer;
  /// The connection ended with a close, not with a reset or a timeout.
  bool EndedOrderly = false;
};

/// Sends an upload, or a request without a body if \p BodyBytes is 0, and reads
/// until the connection ends.
Received exchange(const TestClient &Client, const std::string &Version,
                  std::size_t BodyBytes) {
  StreamSocket Socket = Client.connect();
  Socket.setReceiveTimeout(Poco::Timespan(5, 0));
  std::string Head = BodyBytes > 0 ? Client.head("POST", "/upload")
                                   : Client.head("GET", "/page");
  Head.replace(Head.find("HTTP/1.1"), Version.size(), Version);
  Head += "Connection: close\r\nContent-Length: " + std::to_string(BodyBytes) +
          "\r\n\r\n";
  Socket.sendBytes(Head.data(), static_cast<int>(Head.size()));
  std::thread Sender([&Socket, BodyBytes] {
    const std::string Block(16 * 1024, 'u');
    try {
      for (std::size_t Sent = 0; Sent < BodyBytes; Sent += Block.size())
        Socket.sendBytes(Block.data(), static_cast<int>(Block.size()));
    } catch (const Poco::Exception &) {
      // The node has ended the connection.
    }
  });
  Received Result;
  std::array<char, 16 * 1024> Block{};
  try {
    int Count = 0;
    while ((Count = Socket.receiveBytes(Block.data(),
                                        static_cast<int>(Block.size()))) > 0)
      Result.Answer.append(Block.data(), static_cast<std::size_t>(Count));
    Result.EndedOrderly = Count == 0;
  } catch (const Poco::Exception &) {
    // A reset or a timeout.
  }
  try {
    Socket.shutdown();
  } catch (const Poco::Exception &) {
    // The connection has ended already.
  }
  Sender.join();
  return Result;
}

/// Whether a caller takes the answer for a whole success.
bool looksComplete(const Received &Result) {
  const std::string &Text = Result.Answer;
  if (Text.compare(0, 5, "HTTP/") != 0 || Text.compare(9, 3, "200") != 0)
    return false;
  const std::string LastChunk = "\r\n0\r\n\r\n";
  if (Text.find("Transfer-Encoding: chunked") != std::string::npos)
    return Text.size() > LastChunk.size() &&
           Text.compare(Text.size() - LastChunk.size(), LastChunk.size(),
                        LastChunk) == 0;
  return Result.EndedOrderly;
}

} // namespace

// Guards against a part of an answer that the caller takes for the whole: the
// upstream answers an upload before it has read it, or another request, without
// a length, and resets the connection. A caller that speaks HTTP/1.0 sees the
// end of such an answer by the end of the connection only.
BOOST_AUTO_TEST_CASE(ResetAnswerIsNotComplete) {
  for (const std::size_t Part : {600U, 40'000U, 400'000U})
    for (const int DelayMs : {0, 20, 200}) {
      const EarlyUpstream Upstream(
          {"HTTP/1.1 200 OK\r\n\r\n" + std::string(Part, 'p'),
           std::chrono::milliseconds(DelayMs), true});
      const TwoNodes Nodes(Upstream);
      for (const TestNode *Entry : Nodes.all())
        for (const char *Version : {"HTTP/1.1", "HTTP/1.0"})
          for (const std::size_t BodyBytes : {UploadBytes, std::size_t(0)}) {
            const Received Result = exchange(
                TestClient(Entry->Settings->Listen.Port), Version, BodyBytes);
            BOOST_TEST(!looksComplete(Result),
                       Entry->Settings->Id
                           << ", " << Version << ", body of " << BodyBytes
                           << ", " << Part << " bytes, reset after " << DelayMs
                           << " ms: " << Result.Answer.substr(0, 300));
          }
    }
}

// Guards against a whole answer without a length that looks cut off.
BOOST_AUTO_TEST_CASE(WholeAnswerWithoutLengthEndsOrderly) {
  const std::size_t Size = 400'000;
  const EarlyUpstream Upstream(
      {"HTTP/1.1 200 OK\r\n\r\n" + std::string(Size, 'p'),
       std::chrono::milliseconds(0), false});
  const TwoNodes Nodes(Upstream);
  for (const TestNode *Entry : Nodes.all()) {
    const Received Result =
        exchange(TestClient(Entry->Settings->Listen.Port), "HTTP/1.0", 0);
    BOOST_TEST(looksComplete(Result));
    BOOST_TEST(Result.Answer.size() > Size);
  }
}

// Guards against an answer whose status is no status, taken for an answer.
BOOST_AUTO_TEST_CASE(AnswerWithoutAStatusIsAFailure) {
  for (const char *Status : {"000", "00", "0", "099", "20", "2000", "abc"}) {
    const EarlyUpstream Upstream(
        {std::string("HTTP/1.1 ") + Status +
             " Trouble\r\nContent-Length: 4\r\n\r\nbody",
         std::chrono::milliseconds(0), false});
    const TwoNodes Nodes(Upstream);
    for (const TestNode *Entry : Nodes.all())
      BOOST_TEST(TestClient(Entry->Settings->Listen.Port).get("/work").Status ==
                 502);
  }
}
