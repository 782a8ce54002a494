#define BOOST_TEST_MODULE Proxy
#include "TestClient.h"
#include "TestCluster.h"

#include <Poco/SHA2Engine.h>
#include <Poco/Thread.h>

#include <boost/test/unit_test.hpp>

#include <future>
#include <random>

using namespace lycheethread;
using namespace lycheethread::proxy;

namespace {

std::string digestOf(const std::string &Text) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Text);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

std::string randomBody(std::size_t Size) {
  std::mt19937_64 Random(Size);
  std::string Body(Size, '\0');
  for (char &Byte : Body)
    Byte = static_cast<char>(Random());
  return Body;
}

/// An entry node without an upstream and a node with one.
struct TwoNodes {
  UpstreamProcess Upstream;
  TestCluster Cluster;
  TestNode *Entry;
  TestNode *Last;

  TwoNodes() {
    Entry = &Cluster.add("entry", "", {});
    Last = &Cluster.add("last", "shop", Upstream.endpoint());
    Cluster.publish();
  }
  TestClient client() const { return TestClient(Entry->Settings->Listen.Port); }
};

} // namespace

// Guards against a lost header, body or status of the upstream's response.
BOOST_AUTO_TEST_CASE(LookupIsForwardedThroughBothNodes) {
  TwoNodes Nodes;
  const TestAnswer Answer = Nodes.client().get("/work");
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Body == "ok v1\n");
  BOOST_TEST(Answer.header("lt-path") == "entry, last");
  BOOST_TEST(Answer.header("x-version") == "v1");
  const std::string Body = randomBody(100000);
  BOOST_TEST(Nodes.client().post("/echo", Body).Body == Body);
  BOOST_TEST(Nodes.client().post("/echo", Body, true).Body == Body);
}

// Guards against a request for the local upstream that bypasses admission, or
// that is sent over a network connection to the node itself.
BOOST_AUTO_TEST_CASE(LocalUpstreamIsCalledInProcess) {
  TwoNodes Nodes;
  const TestClient Client(Nodes.Last->Settings->Listen.Port);
  BOOST_TEST(Client.get("/work").header("lt-path") == "last");
  Nodes.Last->drain()->Begin();
  const TestAnswer Refused = Client.get("/work");
  BOOST_TEST(Refused.header("lt-reason") == "draining");
  BOOST_TEST(Refused.header("lt-executed") == "no");
  BOOST_TEST(Nodes.Last->Refusals.size() == 1U);
  BOOST_TEST(Nodes.Last->Refusals.front().Id.str() ==
             Refused.header("lt-refusal-id"));
}

// Guards against truncated or reordered large bodies.
BOOST_AUTO_TEST_CASE(LargeUploadArrivesComplete) {
  TwoNodes Nodes;
  const std::string Body = randomBody(50 * 1024 * 1024);
  const std::string Wanted =
      std::to_string(Body.size()) + " " + digestOf(Body) + "\n";
  BOOST_TEST(Nodes.client().post("/upload", Body).Body == Wanted);
  BOOST_TEST(Nodes.client().post("/upload", Body, true).Body == Wanted);
}

// Guards against bodies above the limit of the route, with Content-Length or
// chunked.
BOOST_AUTO_TEST_CASE(BodyAboveLimitIsRefused) {
  TwoNodes Nodes;
  const std::string Body = randomBody(300000);
  for (const bool Chunked : {false, true}) {
    const TestAnswer Answer = Nodes.client().post("/echo/small", Body, Chunked);
    BOOST_TEST(Answer.header("lt-reason") == "body-too-large");
  }
  BOOST_TEST(Nodes.client().post("/echo/small", Body.substr(0, 150000)).Body ==
             Body.substr(0, 150000));
}

// Guards against a second execution of a request with an idempotency key.
BOOST_AUTO_TEST_CASE(RepeatedKeyGetsRecordedAnswer) {
  TwoNodes Nodes;
  TestClient Client = Nodes.client();
  Client.Headers["idempotency-key"] = "order-1";
  const TestAnswer First = Client.post("/work/order", "two plates");
  BOOST_TEST(First.Status == 200);
  TestAnswer Repeat;
  for (int I = 0; I < 100 && Repeat.Status != 200; ++I) {
    Repeat = Client.post("/work/order", "two plates");
    Poco::Thread::sleep(10);
  }
  BOOST_TEST(Repeat.Body == First.Body);
  BOOST_TEST(Repeat.header("lt-executed") == "yes");
  BOOST_TEST(Client.post("/work/order", "other").header("lt-reason") ==
             "bad-request");
  BOOST_TEST(Nodes.Upstream.get("/control/executions") == "order-1 1\n");
}

// Guards against copies of a request that are executed concurrently on
// different upstreams.
BOOST_AUTO_TEST_CASE(ConcurrentRequestsWithSameKeyAreExecutedOnce) {
  TwoNodes Nodes;
  UpstreamProcess Second;
  Nodes.Cluster.add("last2", "shop", Second.endpoint());
  Nodes.Cluster.publish();
  std::vector<std::future<TestAnswer>> Answers;
  for (int I = 0; I < 12; ++I)
    Answers.push_back(std::async(std::launch::async, [&Nodes] {
      TestClient Client = Nodes.client();
      Client.Headers["idempotency-key"] = "release-9";
      return Client.post("/work/order?ms=100", "x");
    }));
  int Executed = 0;
  for (auto &Each : Answers) {
    const TestAnswer Answer = Each.get();
    Executed += Answer.Status == 200 && Answer.header("lt-executed").empty();
    if (Answer.Status != 200)
      BOOST_TEST(Answer.header("lt-reason") == "already-accepted");
  }
  BOOST_TEST(Executed == 1);
  BOOST_TEST(Nodes.Upstream.get("/control/executions") +
                 Second.get("/control/executions") ==
             "release-9 1\n");
}

// Guards against keys that are refused, or taken for unknown, after the log has
// lost its newest records and gives their offsets out again.
BOOST_AUTO_TEST_CASE(KeysAreHonouredAfterTheLogHasLostRecords) {
  TwoNodes Nodes;
  TestClient Client = Nodes.client();
  const auto Order = [&](const std::string &Key) {
    Client.Headers["idempotency-key"] = Key;
    TestAnswer Answer;
    for (int I = 0; I < 100 && Answer.Status != 200; ++I) {
      Answer = Client.post("/work/order", "plates");
      Poco::Thread::sleep(10);
    }
    return Answer;
  };
  for (int I = 0; I < 4; ++I)
    BOOST_TEST(Order("early-" + std::to_string(I)).Status == 200);
  {
    FakeLog &Log = Nodes.Cluster.log();
    const std::lock_guard<std::mutex> Guard(Log.Lock);
    Log.Streams[StreamName("claims.shop")].clear();
  }
  Client.Headers["idempotency-key"] = "late";
  BOOST_TEST(Client.post("/work/order", "plates").Status == 200);
  BOOST_TEST(Order("late").header("lt-executed") == "yes");
  BOOST_TEST(Order("early-0").header("lt-executed") == "yes");
  BOOST_TEST(Nodes.Upstream.get("/control/executions") ==
             "early-0 1\nearly-1 1\nearly-2 1\nearly-3 1\nlate 1\n");
}

// Guards against the execution of a request whose claim cannot be read, and
// against a key that stays blocked after a refusal reported "not executed".
BOOST_AUTO_TEST_CASE(UnavailableLogCausesRefusalAndKeyStaysUsable) {
  TwoNodes Nodes;
  TestClient Client = Nodes.client();
  Client.Headers["idempotency-key"] = "order-2";
  Nodes.Cluster.log().LosesResponses = true;
  const TestAnswer Refused = Client.post("/work/order", "x");
  BOOST_TEST(Refused.header("lt-reason") == "log-unavailable");
  BOOST_TEST(Refused.header("lt-executed") == "no");
  Nodes.Cluster.log().LosesResponses = false;
  // Longer than the backoff after a log failure.
  Poco::Thread::sleep(600);
  TestAnswer Answer;
  for (int I = 0; I < 100 && Answer.Status != 200; ++I) {
    Answer = Client.post("/work/order", "x");
    Poco::Thread::sleep(10);
  }
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Nodes.Upstream.get("/control/executions") == "order-2 1\n");
}

// Guards against lookups that get no slot because once-only requests wait for a
// log that fails slowly.
BOOST_AUTO_TEST_CASE(SlowLogDoesNotBlockLookups) {
  TwoNodes Nodes;
  Nodes.Cluster.log().IsDown = true;
  Nodes.Cluster.log().AppendMs = 400;
  std::vector<std::future<TestAnswer>> Orders;
  for (int I = 0; I < 40; ++I)
    Orders.push_back(std::async(std::launch::async, [&Nodes, I] {
      Poco::Thread::sleep(I * 25);
      TestClient Client = Nodes.client();
      Client.Headers["idempotency-key"] = "slow-" + std::to_string(I);
      Client.Headers["lt-caller"] = "c" + std::to_string(I);
      return Client.post("/work/order", "x");
    }));
  TestClient Lookups = Nodes.client();
  for (int I = 0; I < 20; ++I) {
    BOOST_TEST(Lookups.get("/work").Status == 200);
    Poco::Thread::sleep(50);
  }
  for (auto &Each : Orders) {
    const TestAnswer Answer = Each.get();
    BOOST_TEST(Answer.header("lt-executed") == "no");
  }
  BOOST_TEST(Nodes.Upstream.get("/control/executions").find("slow-") ==
             std::string::npos);
}

// Guards against an outcome that is lost because the caller disconnected.
BOOST_AUTO_TEST_CASE(ClaimedRequestCompletesAfterCallerDisconnects) {
  TwoNodes Nodes;
  TestClient Client = Nodes.client();
  Client.Headers["idempotency-key"] = "order-3";
  {
    Poco::Net::StreamSocket Socket = Client.connect();
    const std::string Text = Client.head("POST", "/work/order?ms=300") +
                             "Content-Length: 1\r\n\r\nx";
    Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
    Poco::Thread::sleep(100);
  }
  Poco::Thread::sleep(400);
  const TestAnswer Repeat = Client.post("/work/order?ms=300", "x");
  BOOST_TEST(Repeat.Status == 200);
  BOOST_TEST(Repeat.header("lt-executed") == "yes");
  BOOST_TEST(Nodes.Upstream.get("/control/executions") == "order-3 1\n");
}

// Guards against nested calls that lose the deadline, depth or path.
BOOST_AUTO_TEST_CASE(NestedCallReachesSecondService) {
  TestCluster Cluster;
  UpstreamProcess Stock;
  TestNode &Entry = Cluster.add("entry", "", {});
  Cluster.add("stock", "stock", Stock.endpoint());
  UpstreamProcess Shop(
      {"--node", "127.0.0.1:" + std::to_string(Entry.Settings->Listen.Port)});
  Cluster.add("last", "shop", Shop.endpoint());
  Cluster.publish();
  TestClient Client(Entry.Settings->Listen.Port);
  const TestAnswer Answer = Client.get("/chain?service=stock&path=/work");
  BOOST_TEST(Answer.Body == "chain: ok v1\n");
  BOOST_TEST(Answer.header("x-inner-path") == "entry, stock");
  const TestAnswer Inner = Client.get("/chain?service=absent&path=/work");
  BOOST_TEST(Inner.header("lt-reason") == "no-route");
  BOOST_TEST(Inner.header("lt-depth") == "2");
  Client.Headers["lt-depth"] = "15";
  const TestAnswer Deep = Client.get("/chain?service=stock&path=/work");
  BOOST_TEST(Deep.header("lt-reason") == "too-deep");
}

// Guards against a drain that interrupts an upload or a lookup, and against new
// requests that are accepted after the drain began.
BOOST_AUTO_TEST_CASE(DrainLetsAnUploadFinish) {
  TwoNodes Nodes;
  const std::string Body = randomBody(4 * 1024 * 1024);
  const TestClient Client = Nodes.client();
  Poco::Net::StreamSocket Socket = Client.connect();
  std::string Start = Client.head("POST", "/upload") +
                      "Content-Length: " + std::to_string(Body.size()) +
                      "\r\nConnection: close\r\n\r\n" +
                      Body.substr(0, Body.size() / 2);
  Socket.sendBytes(Start.data(), static_cast<int>(Start.size()));
  Poco::Thread::sleep(200);
  Nodes.Last->drain()->Begin();
  BOOST_TEST(Nodes.Last->drain()->InProgress() == 1);
  BOOST_TEST(Client.get("/work").header("lt-reason") == "draining");
  const std::string Rest = Body.substr(Body.size() / 2);
  Socket.sendBytes(Rest.data(), static_cast<int>(Rest.size()));
  const std::string Answer = TestClient::readAll(Socket);
  BOOST_TEST(Answer.find(digestOf(Body)) != std::string::npos);
  Poco::Thread::sleep(50);
  BOOST_TEST(Nodes.Last->drain()->InProgress() == 0);
  BOOST_TEST((Nodes.Last->State == MemberState::Draining));
}
