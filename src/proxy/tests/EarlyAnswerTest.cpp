#include "RawExchange.h"
#include "TestClient.h"
#include "TestCluster.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <thread>

using namespace lycheethread;
using namespace lycheethread::harness;
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

/// Sends an upload, or a request without a body if \p BodyBytes is 0, to \p
/// Entry and reads until the connection ends.
RawExchange exchange(const TestNode &Entry, const std::string &Version,
                     std::size_t BodyBytes) {
  const std::uint16_t Port = Entry.Settings->Listen.Port;
  const TestClient Client(Port);
  std::string Head = BodyBytes > 0 ? Client.head("POST", "/upload")
                                   : Client.head("GET", "/page");
  Head.replace(Head.find("HTTP/1.1"), Version.size(), Version);
  Head += "Connection: close\r\nContent-Length: " + std::to_string(BodyBytes) +
          "\r\n\r\n";
  return exchangeRaw(Port, Head, BodyBytes);
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
            const RawExchange Result = exchange(*Entry, Version, BodyBytes);
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
    const RawExchange Result = exchange(*Entry, "HTTP/1.0", 0);
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
