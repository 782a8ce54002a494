#include "TestClient.h"
#include "TestCluster.h"

#include <Poco/Thread.h>

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <random>
#include <thread>

using namespace lycheethread;
using namespace lycheethread::proxy;

namespace {

constexpr int InputsPerPort = 600;
constexpr std::uint64_t Seed = 20261204;
/// Maximum growth of the resident memory for all inputs together.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
/// Sanitizers use several additional bytes for each allocated byte.
constexpr long MaxGrowthKb = 4 * 64 * 1024;
#else
constexpr long MaxGrowthKb = 64 * 1024;
#endif

long residentKb() {
  std::ifstream In("/proc/self/statm");
  long Total = 0;
  long Resident = 0;
  In >> Total >> Resident;
  return Resident * 4;
}

const std::string Head = "POST /echo HTTP/1.1\r\nHost: shop\r\n";

std::string randomBytes(std::mt19937_64 &Random, std::size_t Size) {
  std::string Bytes(Size, '\0');
  for (char &Byte : Bytes)
    Byte = static_cast<char>(Random());
  return Bytes;
}

std::string makeInput(std::mt19937_64 &Random) {
  const std::string Body = randomBytes(Random, Random() % 3000);
  switch (Random() % 12) {
  case 0:
    return Body;
  case 1:
    return Head.substr(0, Random() % Head.size());
  case 2:
    return Head + "Content-Length: 5000\r\n\r\n" + Body;
  case 3:
    return Head + "X-Long: " + std::string(Random() % 200000, 'x') + "\r\n\r\n";
  case 4:
    return Head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd";
  case 5:
    return Head +
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  case 6:
    return Head + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n" + Body;
  case 7:
    return Head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n";
  case 8:
    return Head + "Transfer-Encoding: chunked\r\n\r\n" + Body;
  case 9:
    return Head + "Content-Length: -1\r\n\r\n";
  case 10: {
    std::string Many = Head;
    for (int I = 0; I < 2000; ++I)
      Many += "x-" + std::to_string(I) + ": y\r\n";
    return Many + "\r\n";
  }
  default: {
    std::string Text = Head + "Content-Length: 4\r\n\r\nabcd";
    Text[Random() % Text.size()] = static_cast<char>(Random());
    return Text;
  }
  }
}

void sendInput(std::uint16_t Port, const std::string &Input) {
  try {
    Poco::Net::StreamSocket Socket = TestClient(Port).connect();
    Socket.setReceiveTimeout(Poco::Timespan(0, 20000));
    Socket.sendBytes(Input.data(), static_cast<int>(Input.size()));
    TestClient::readAll(Socket);
  } catch (const Poco::Exception &) {
    // The node may close the connection while the input is being sent.
  }
}

} // namespace

// Guards against invalid input that terminates the process, increases its
// memory use, or is forwarded with a different interpretation than it was
// parsed with.
BOOST_AUTO_TEST_CASE(InvalidInputIsRefusedAtBothPorts) {
  UpstreamProcess Upstream;
  TestCluster Cluster;
  TestNode &Node = Cluster.add("last", "shop", Upstream.endpoint());
  Cluster.publish();
  const std::uint16_t Ports[] = {Node.Settings->Listen.Port,
                                 Node.Settings->Hop.Port};
  std::vector<std::thread> Senders;
  const long Before = residentKb();
  for (std::uint64_t T = 0; T < 8; ++T)
    Senders.emplace_back([&Ports, T] {
      std::mt19937_64 Random(Seed + T);
      for (int I = 0; I < InputsPerPort / 4; ++I)
        sendInput(Ports[T % 2], makeInput(Random));
    });
  for (std::thread &Each : Senders)
    Each.join();
  BOOST_TEST(residentKb() - Before < MaxGrowthKb);
  BOOST_TEST(TestClient(Ports[0]).get("/work").Status == 200);
  BOOST_TEST_MESSAGE("inputs tried: " << 2 * InputsPerPort);
}

// Guards against requests with ambiguous length (request smuggling) that are
// forwarded, and against refusals that are not counted.
BOOST_AUTO_TEST_CASE(ConflictingLengthsAreRefusedAndCounted) {
  UpstreamProcess Upstream;
  TestCluster Cluster;
  TestNode &Node = Cluster.add("last", "shop", Upstream.endpoint());
  Cluster.publish();
  for (const char *Fields :
       {"Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n", "Content-Length: 3 3\r\n",
        "Host : shop\r\n", "Bad\x01: y\r\n", " folded: x\r\n"}) {
    Poco::Net::StreamSocket Socket =
        TestClient(Node.Settings->Listen.Port).connect();
    const std::string Text = Head + Fields + "\r\nabc";
    Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
    const std::string Answer = TestClient::readAll(Socket);
    BOOST_TEST(Answer.find("lt-reason: bad-request") != std::string::npos);
  }
  BOOST_TEST(Node.Refusals.size() == 7U);
}

// Guards against an encoded word (RFC 2047) in a header value that is decoded
// and sent on with its line breaks: the request hidden in it runs.
BOOST_AUTO_TEST_CASE(EncodedWordRunsNoHiddenRequest) {
  UpstreamProcess Upstream;
  TestCluster Cluster;
  TestNode &Node = Cluster.add("last", "shop", Upstream.endpoint());
  Cluster.publish();
  TestClient Client(Node.Settings->Listen.Port);
  Client.Headers["x-note"] =
      "=?UTF-8?Q?note=0D=0A=0D=0APOST_/work/order_HTTP/1.1=0D=0AHost:_shop="
      "0D=0AIdempotency-Key:_hidden=0D=0AContent-Length:_0?=";
  BOOST_TEST(Client.get("/work").Status == 200);
  Poco::Thread::sleep(300);
  BOOST_TEST(Upstream.get("/control/executions").find("hidden") ==
             std::string::npos);
}

// Guards against a request with two keys: the node goes by the first one, and
// its upstream may go by the other.
BOOST_AUTO_TEST_CASE(RequestWithTwoKeysIsRefused) {
  UpstreamProcess Upstream;
  TestCluster Cluster;
  TestNode &Node = Cluster.add("last", "shop", Upstream.endpoint());
  Cluster.publish();
  Poco::Net::StreamSocket Socket =
      TestClient(Node.Settings->Listen.Port).connect();
  const std::string Text =
      "POST /work/order HTTP/1.1\r\nHost: shop\r\nIdempotency-Key: one\r\n"
      "idempotency-key: two\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx";
  Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
  const std::string Answer = TestClient::readAll(Socket);
  BOOST_TEST(Answer.find("lt-reason: bad-request") != std::string::npos);
  BOOST_TEST(Upstream.get("/control/executions").empty());
}

// Guards against a client that blocks a thread by sending a head byte by byte.
BOOST_AUTO_TEST_CASE(SlowHeadIsTimedOut) {
  TestCluster Cluster;
  TestNode &Node = Cluster.add("entry", "", {});
  Cluster.publish();
  Poco::Net::StreamSocket Socket =
      TestClient(Node.Settings->Listen.Port).connect();
  Socket.setReceiveTimeout(Poco::Timespan(0, 1000));
  bool Ended = false;
  for (int I = 0; I < 80 && !Ended; ++I) {
    try {
      Socket.sendBytes("x", 1, MSG_NOSIGNAL);
      char Byte = 0;
      Ended = Socket.receiveBytes(&Byte, 1) == 0;
    } catch (const Poco::TimeoutException &) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    } catch (const Poco::Exception &) {
      Ended = true;
    }
  }
  BOOST_TEST(Ended);
}
