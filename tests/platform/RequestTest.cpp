#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <future>

using namespace lycheethread::platformtest;

namespace {

int attemptCount(UpstreamStandIn &Upstream, const std::string &Id) {
  const auto Received = Upstream.receivedRequests();
  return static_cast<int>(std::count_if(
      Received.begin(), Received.end(), [&](const ReceivedRequest &Item) {
        const auto Found = Item.Headers.find("x-attempt-id");
        return Found != Item.Headers.end() && Found->second == Id;
      }));
}

/// Truncates the first response to each attempt id; later ones are complete.
UpstreamStandIn::Behaviour truncateFirstResponse(UpstreamStandIn &Upstream) {
  return [&Upstream](const ReceivedRequest &Request) {
    RawResponse Response = completeResponse(Request, "a body of some length");
    if (attemptCount(Upstream, Request.Headers.at("x-attempt-id")) == 1) {
      Response.Bytes.resize(Response.Bytes.size() - 5);
      Response.CloseAfter = true;
    }
    return Response;
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Requests)

BOOST_AUTO_TEST_CASE(requestReachesTheUpstreamOfAnotherInstance) {
  TestMesh Mesh({{"r1", "desk"}, {"r2", "store"}});
  auto &Entry = Mesh.at(0);
  BOOST_REQUIRE(holdsWithin([&] { return Entry.get("/other/a").Status == 200; },
                            std::chrono::seconds(3)));
  const auto Response = Entry.get("/other/b", "id-b");
  BOOST_TEST(Response.Status == 200);
  BOOST_TEST(Response.Body == "ok");
  BOOST_TEST(Response.header("x-response-seal") == "s");
  BOOST_TEST(Response.header("x-attempt-id") == "id-b");
  BOOST_TEST(Response.header("lt-load") == "");
  const ReceivedRequest Received =
      Mesh.at(1).upstream().receivedRequests().back();
  BOOST_TEST(Received.RequestLine == "GET /other/b HTTP/1.1");
  BOOST_TEST(Received.Headers.at("x-caller-service") == "desk");
  BOOST_TEST(Received.Headers.at("x-expect-instance") == "i-r2");
  BOOST_TEST(Received.Headers.count("lt-hop") == 0U);
  BOOST_TEST(std::stoi(Received.Headers.at("x-deadline-ms")) <= 1200);
  BOOST_TEST(std::stoi(Received.Headers.at("x-deadline-ms")) > 900);
  BOOST_TEST(Entry.get("/none/").Status == 404);
}

// Guards against a truncated response that looks complete to the caller, and
// against a second execution of a request that is not idempotent.
BOOST_AUTO_TEST_CASE(cutAnswerIsRepeatedOnlyWhereThatIsAllowed) {
  TestMesh Mesh({{"c1"}, {"c2"}});
  for (const std::size_t Index : {0U, 1U}) {
    UpstreamStandIn &Upstream = Mesh.at(Index).upstream();
    Upstream.setBehaviour(truncateFirstResponse(Upstream));
  }
  const auto Read = Mesh.at(0).get("/read/cut", "read-1");
  const auto Write = Mesh.at(0).post("/write/cut", "order", "write-1");
  BOOST_TEST((Read.Status == 200 || Read.Status == 502));
  BOOST_TEST(Write.Status == 502);
  BOOST_TEST(attemptCount(Mesh.at(0).upstream(), "write-1") +
                 attemptCount(Mesh.at(1).upstream(), "write-1") ==
             1);
}

// Guards against an error response of an upstream that the node replaces by an
// error of its own when no other upstream is available for the retry.
BOOST_AUTO_TEST_CASE(upstreamErrorIsForwardedWhenNoRetryIsPossible) {
  TestMesh Mesh({{"p1"}, {"p2", "store"}});
  Mesh.at(0).upstream().setBehaviour([](const ReceivedRequest &Request) {
    return completeResponse(Request, "why it failed", 500);
  });
  const auto Response = Mesh.at(1).get("/read/fails");
  BOOST_TEST(Response.Status == 500);
  BOOST_TEST(Response.Body == "why it failed");
  BOOST_TEST(Response.header("x-response-seal") == "s");
}

// Guards against a response that reaches the caller of another request: the
// upstream sends two responses to one request on a persistent connection.
BOOST_AUTO_TEST_CASE(extraAnswerIsNotTakenForTheNextOne) {
  TestMesh Mesh({{"e1"}});
  UpstreamStandIn &Upstream = Mesh.at(0).upstream();
  Upstream.setBehaviour([](const ReceivedRequest &Request) {
    RawResponse Response =
        completeResponse(Request, Request.Headers.at("x-attempt-id"));
    Response.Bytes += Response.Bytes;
    return Response;
  });
  for (int Count = 0; Count < 30; ++Count) {
    const std::string Id = "extra-" + std::to_string(Count);
    const auto Response = Mesh.at(0).get("/read/extra", Id);
    if (Response.Status == 200)
      BOOST_TEST(Response.Body == Id);
  }
}

// Guards against a response without X-Response-Seal that is forwarded as a
// success.
BOOST_AUTO_TEST_CASE(answerWithoutSealIsNoSuccess) {
  TestMesh Mesh({{"s1"}});
  Mesh.at(0).upstream().setBehaviour([](const ReceivedRequest &Request) {
    RawResponse Response = completeResponse(Request);
    Response.Bytes.replace(Response.Bytes.find("X-Response-Seal"), 15,
                           "X-Nothing-Named");
    return Response;
  });
  BOOST_TEST(Mesh.at(0).post("/write/s", "x").Status == 502);
}

// Guards against a 503 response to a request that has run, and against more
// concurrent requests at an upstream than it has slots.
BOOST_AUTO_TEST_CASE(overloadIsRefusedTruthfullyAndEarly) {
  TestMesh Mesh({{"o1"}});
  std::atomic<int> Running{0};
  std::atomic<int> MaxRunning{0};
  Mesh.at(0).upstream().setBehaviour([&](const ReceivedRequest &Request) {
    const int Now = ++Running;
    int Received = MaxRunning;
    while (Now > Received && !MaxRunning.compare_exchange_weak(Received, Now)) {
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    --Running;
    return completeResponse(Request);
  });
  for (int Count = 0; Count < 8; ++Count)
    Mesh.at(0).get("/read/warm");
  std::vector<std::future<lycheethread::harness::HttpAnswer>> Responses;
  for (int Count = 0; Count < 60; ++Count)
    Responses.push_back(std::async(std::launch::async, [&, Count] {
      return Mesh.at(0).post("/write/many", "x", "m" + std::to_string(Count));
    }));
  int Rejected = 0;
  for (std::size_t Index = 0; Index < Responses.size(); ++Index) {
    const auto Response = Responses[Index].get();
    const int Attempts =
        attemptCount(Mesh.at(0).upstream(), "m" + std::to_string(Index));
    BOOST_TEST(Attempts == (Response.Status == 200 ? 1 : 0));
    if (Response.Status != 503)
      continue;
    ++Rejected;
    BOOST_TEST(!Response.header("retry-after").empty());
    BOOST_TEST(Response.Took.count() < 400);
  }
  BOOST_TEST(Rejected > 20);
  BOOST_TEST(MaxRunning.load() <= 4);
}

// Guards against an upload that arrives incomplete, and against a request that
// continues after its caller has given up.
BOOST_AUTO_TEST_CASE(bodyArrivesCompleteAndTimeoutIsReported) {
  TestMesh Mesh({{"t1"}, {"t2", "store"}});
  const std::string Body(700'000, 'b');
  BOOST_TEST(Mesh.at(1).post("/upload/u", Body).Status == 200);
  BOOST_TEST((Mesh.at(0).upstream().receivedRequests().back().Body == Body));
  Mesh.at(0).upstream().setBehaviour([](const ReceivedRequest &Request) {
    RawResponse Response = completeResponse(Request);
    Response.Delay = std::chrono::milliseconds(2500);
    return Response;
  });
  const auto Late = Mesh.at(1).get("/read/late");
  BOOST_TEST(Late.Status == 504);
  BOOST_TEST(Late.Took.count() > 1100);
  BOOST_TEST(Late.Took.count() < 1700);
}

// Guards against a request that crashes every upstream it is sent to, one after
// the other.
BOOST_AUTO_TEST_CASE(requestThatCrashesUpstreamsIsStopped) {
  TestMesh Mesh({{"k1"}, {"k2"}, {"k3"}, {"k4"}, {"k5", "store"}});
  std::atomic<int> Crashes{0};
  for (std::size_t Index = 0; Index < 4; ++Index) {
    UpstreamStandIn &Upstream = Mesh.at(Index).upstream();
    Upstream.setBehaviour([&](const ReceivedRequest &Request) {
      RawResponse Response = completeResponse(Request);
      if (Request.RequestLine.find("/read/poison") == std::string::npos)
        return Response;
      ++Crashes;
      std::thread([&Upstream] { Upstream.crash(); }).detach();
      Response.Bytes.clear();
      // The port is closed before the response is sent, as after the end of a
      // process.
      Response.Delay = std::chrono::milliseconds(200);
      Response.CloseAfter = true;
      return Response;
    });
  }
  for (int Count = 0; Count < 12; ++Count) {
    Mesh.at(4).get("/read/poison", "p" + std::to_string(Count));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  BOOST_TEST(Crashes.load() <= 3);
  BOOST_TEST(Mesh.at(4).get("/read/poison").header("lt-reason") ==
             "crash-suspect");
}

BOOST_AUTO_TEST_SUITE_END()
