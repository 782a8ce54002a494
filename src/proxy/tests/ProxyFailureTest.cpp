#include "TestClient.h"
#include "TestCluster.h"

#include <Poco/Thread.h>
#include <Poco/Timestamp.h>

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lycheethread;
using namespace lycheethread::proxy;

namespace {

struct ThreeNodes {
  UpstreamProcess A;
  UpstreamProcess B;
  TestCluster Cluster;
  TestNode *Entry;
  TestNode *LastA;
  TestNode *LastB;

  ThreeNodes() {
    Entry = &Cluster.add("entry", "", {});
    LastA = &Cluster.add("a", "shop", A.endpoint());
    LastB = &Cluster.add("b", "shop", B.endpoint());
    Cluster.publish();
  }
  TestClient client() const { return TestClient(Entry->Settings->Listen.Port); }
};

bool becomesIdle(TestNode &Node) {
  for (int I = 0; I < 100; ++I) {
    if (Node.drain()->InProgress() == 0)
      return true;
    Poco::Thread::sleep(10);
  }
  return false;
}

} // namespace

// Guards against calls that continue after their deadline, and against "not
// executed" being reported for a request that was sent to an upstream.
BOOST_AUTO_TEST_CASE(DeadlineTerminatesCall) {
  ThreeNodes Nodes;
  TestClient Client = Nodes.client();
  Client.Headers["lt-deadline-ms"] = "150";
  const Poco::Timestamp Start;
  const TestAnswer Late = Client.get("/work?ms=3000");
  BOOST_TEST(Start.elapsed() < 1000000);
  BOOST_TEST(Late.Status == 504);
  BOOST_TEST(Late.header("lt-reason") == "upstream-timeout");
  BOOST_TEST(Late.header("lt-executed") == "unknown");
  Client.Headers["lt-deadline-ms"] = "0";
  const TestAnswer Passed = Client.get("/work");
  BOOST_TEST(Passed.header("lt-reason") == "deadline");
  BOOST_TEST(Passed.header("lt-executed") == "no");
  BOOST_TEST(Nodes.Entry->Refusals.size() == 2U);
}

// Guards against slots that stay occupied after the caller disconnects.
BOOST_AUTO_TEST_CASE(CancelledCallIsCancelledDownstream) {
  ThreeNodes Nodes;
  const TestClient Client = Nodes.client();
  {
    Poco::Net::StreamSocket Socket = Client.connect();
    const std::string Text = Client.head("GET", "/work?ms=5000") + "\r\n";
    Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
    Poco::Thread::sleep(100);
    BOOST_TEST(Nodes.LastA->drain()->InProgress() +
                   Nodes.LastB->drain()->InProgress() ==
               1);
  }
  for (TestNode *Node : {Nodes.Entry, Nodes.LastA, Nodes.LastB})
    BOOST_TEST(becomesIdle(*Node));
}

// Guards against a response that arrives after its timeout and is sent to the
// next request on the same connection.
BOOST_AUTO_TEST_CASE(LateAnswerDoesNotReachAnotherCaller) {
  ThreeNodes Nodes;
  std::vector<std::future<int>> Callers;
  for (int C = 0; C < 8; ++C)
    Callers.push_back(std::async(std::launch::async, [&Nodes, C] {
      int Wrong = 0;
      for (int I = 0; I < 30; ++I) {
        TestClient Client = Nodes.client();
        Client.Headers["lt-caller"] = "c" + std::to_string(C);
        const bool Slow = I % 3 == 0;
        if (Slow)
          Client.Headers["lt-deadline-ms"] = "30";
        const std::string Mark = std::to_string(C) + "/" + std::to_string(I);
        const TestAnswer Answer =
            Client.post(Slow ? "/echo?ms=60" : "/echo", Mark);
        Wrong += Answer.Status == 200 && Answer.Body != Mark ? 1 : 0;
        Wrong += !Slow && Answer.Status != 200 ? 1 : 0;
      }
      return Wrong;
    }));
  for (auto &Each : Callers)
    BOOST_TEST(Each.get() == 0);
}

// Guards against failures that a retry on another upstream would avoid.
BOOST_AUTO_TEST_CASE(RequestsFailOverFromDeadUpstream) {
  ThreeNodes Nodes;
  Nodes.A.kill();
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(Nodes.client().get("/work").Status == 200);
  TestClient Client = Nodes.client();
  for (int I = 0; I < 5; ++I) {
    Client.Headers["idempotency-key"] = "k" + std::to_string(I);
    BOOST_TEST(Client.post("/work/order", "x").Status == 200);
  }
  BOOST_TEST(Nodes.Entry->Refusals.empty());
}

// Guards against a request that crashes several upstreams in succession.
BOOST_AUTO_TEST_CASE(CrashingRequestIsQuarantined) {
  ThreeNodes Nodes;
  TestClient Client = Nodes.client();
  Client.Headers["x-crash"] = "1";
  const TestAnswer First = Client.get("/work?plan=1");
  BOOST_TEST(First.header("lt-reason") == "upstream-failed");
  BOOST_TEST(First.header("lt-executed") == "unknown");
  Nodes.A.kill();
  Nodes.B.kill();
  Nodes.A.start();
  Nodes.B.start();
  const TestAnswer Again = Client.get("/work?plan=1");
  BOOST_TEST(Again.header("lt-reason") == "crash-suspect");
  BOOST_TEST(Again.header("lt-executed") == "no");
  BOOST_TEST(Nodes.client().get("/work?plan=2").Status == 200);
}

// Guards against a truncated response that appears complete.
BOOST_AUTO_TEST_CASE(TruncatedAnswerIsDetectable) {
  ThreeNodes Nodes;
  const TestClient Client = Nodes.client();
  Poco::Net::StreamSocket Socket = Client.connect();
  const std::string Text = Client.head("GET", "/work?bytes=80000000") + "\r\n";
  Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
  char First = 0;
  Socket.receiveBytes(&First, 1);
  Nodes.A.kill();
  Nodes.B.kill();
  const std::string Rest = TestClient::readAll(Socket);
  BOOST_TEST(Rest.find("Content-Length: 80000000") != std::string::npos);
  BOOST_TEST(Rest.size() < 80000000U);
}

// Guards against an interrupted upload that is forwarded to the upstream as a
// complete one.
BOOST_AUTO_TEST_CASE(InterruptedUploadIsNotCompleted) {
  ThreeNodes Nodes;
  TestClient Client = Nodes.client();
  Client.Headers["idempotency-key"] = "cut";
  {
    Poco::Net::StreamSocket Socket = Client.connect();
    const std::string Text = Client.head("POST", "/upload") +
                             "Content-Length: 200000\r\n\r\n" +
                             std::string(150000, 'x');
    Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
    Poco::Thread::sleep(200);
  }
  for (TestNode *Node : {Nodes.Entry, Nodes.LastA, Nodes.LastB})
    BOOST_TEST(becomesIdle(*Node));
  BOOST_TEST(Nodes.A.get("/control/executions") +
                 Nodes.B.get("/control/executions") ==
             "");
}

// Guards against shed requests that are reported as executed or are not retried
// on another upstream.
BOOST_AUTO_TEST_CASE(ShedRequestIsRetriedOnAnotherUpstream) {
  ThreeNodes Nodes;
  Nodes.A.get("/control?drain=1");
  BOOST_TEST(Nodes.client().get("/work").Status == 200);
  Nodes.B.get("/control?drain=1");
  const TestAnswer Answer = Nodes.client().get("/work");
  BOOST_TEST(Answer.header("lt-reason") == "shed");
  BOOST_TEST(Answer.header("lt-executed") == "no");
  BOOST_TEST(Answer.header("retry-after") == "1");
}

// Guards against requests beyond the limit that an upstream states in its
// answers, and against refusals for it that wait until their deadline.
BOOST_AUTO_TEST_CASE(StatedLimitIsKeptAtTheLastHop) {
  ThreeNodes Nodes;
  Nodes.A.get("/control?limit=4");
  Nodes.B.get("/control?limit=4");
  TestClient Client = Nodes.client();
  for (int I = 0; I < 6; ++I)
    BOOST_TEST(Client.get("/work").header("lt-limit") == "");
  // The permits of both are used up by now; 8 requests a second follow.
  const Poco::Timestamp Start;
  for (int I = 0; I < 8; ++I)
    BOOST_TEST(Client.get("/work").Status == 200);
  BOOST_TEST(Start.elapsed() > 700'000);
  // More at once than both upstreams have permits for.
  Client.Headers["lt-deadline-ms"] = "200";
  std::vector<std::future<TestAnswer>> Burst;
  const Poco::Timestamp RefusedAt;
  for (int I = 0; I < 10; ++I)
    Burst.push_back(
        std::async(std::launch::async, [&] { return Client.get("/work"); }));
  int RefusedCount = 0;
  for (auto &Call : Burst) {
    const TestAnswer Answer = Call.get();
    if (Answer.Status == 200)
      continue;
    ++RefusedCount;
    BOOST_TEST(Answer.header("lt-reason") == "rate-limited");
    BOOST_TEST(Answer.header("lt-executed") == "no");
    BOOST_TEST(Answer.header("retry-after") == "1");
  }
  BOOST_TEST(RefusedAt.elapsed() < 150'000);
  BOOST_TEST(RefusedCount >= 5);
  // The limit ends with the statement.
  Client.Headers.clear();
  Nodes.A.get("/control?limit=");
  Nodes.B.get("/control?limit=");
  for (int I = 0; I < 4; ++I)
    BOOST_TEST(Client.get("/work").Status == 200);
  const Poco::Timestamp FreeAt;
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(Client.get("/work").Status == 200);
  BOOST_TEST(FreeAt.elapsed() < 1'000'000);
}

// Guards against requests to an upstream that says in its answers that it
// leaves, and against a successor at the same address that gets none.
BOOST_AUTO_TEST_CASE(UpstreamThatSaysItLeavesGetsNoWork) {
  UpstreamProcess Upstream;
  TestCluster Cluster;
  TestNode &Node = Cluster.add("a", "shop", Upstream.endpoint());
  Cluster.publish();
  const TestClient Client(Node.Settings->Listen.Port);
  BOOST_TEST(Client.get("/work").Status == 200);
  Upstream.get("/control?leaving=1");
  BOOST_TEST(Client.get("/work").Status == 200);
  const TestAnswer Refused = Client.get("/work");
  BOOST_TEST(Refused.header("lt-reason") == "draining");
  BOOST_TEST(Refused.header("lt-executed") == "no");
  {
    const std::lock_guard<std::mutex> Guard(Node.Lock);
    BOOST_TEST((Node.State == MemberState::Draining));
  }
  Upstream.kill();
  Poco::Thread::sleep(600);
  Upstream.start();
  bool IsServed = false;
  for (int I = 0; I < 100 && !IsServed; ++I) {
    IsServed = Client.get("/work").Status == 200;
    Poco::Thread::sleep(20);
  }
  BOOST_TEST(IsServed);
}
