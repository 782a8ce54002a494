#include "World.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <future>

using namespace lycheethread::platformtest;

namespace {

int countOf(UpstreamStandIn &At, const std::string &Id) {
  const auto Seen = At.seen();
  return static_cast<int>(
      std::count_if(Seen.begin(), Seen.end(), [&](const SeenRequest &Item) {
        const auto Found = Item.Headers.find("x-attempt-id");
        return Found != Item.Headers.end() && Found->second == Id;
      }));
}

/// Cuts off the first answer to each id, then answers well.
UpstreamStandIn::Behaviour cutFirst(UpstreamStandIn &At) {
  return [&At](const SeenRequest &Request) {
    RawAnswer Answer = goodAnswer(Request, "a body of some length");
    if (countOf(At, Request.Headers.at("x-attempt-id")) == 1) {
      Answer.Bytes.resize(Answer.Bytes.size() - 5);
      Answer.CloseAfter = true;
    }
    return Answer;
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Requests)

BOOST_AUTO_TEST_CASE(requestReachesTheUpstreamOfAnotherInstance) {
  World Used({{"r1", "desk"}, {"r2", "store"}});
  auto &Entry = Used.at(0);
  BOOST_REQUIRE(becomes([&] { return Entry.get("/other/a").Status == 200; },
                        std::chrono::seconds(3)));
  const auto Answer = Entry.get("/other/b", "id-b");
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Body == "ok");
  BOOST_TEST(Answer.header("x-response-seal") == "s");
  BOOST_TEST(Answer.header("x-attempt-id") == "id-b");
  BOOST_TEST(Answer.header("lt-load") == "");
  const SeenRequest Seen = Used.at(1).upstream().seen().back();
  BOOST_TEST(Seen.Line == "GET /other/b HTTP/1.1");
  BOOST_TEST(Seen.Headers.at("x-caller-service") == "desk");
  BOOST_TEST(Seen.Headers.at("x-expect-instance") == "i-r2");
  BOOST_TEST(Seen.Headers.count("lt-hop") == 0U);
  BOOST_TEST(std::stoi(Seen.Headers.at("x-deadline-ms")) <= 1200);
  BOOST_TEST(std::stoi(Seen.Headers.at("x-deadline-ms")) > 900);
  BOOST_TEST(Entry.get("/none/").Status == 404);
}

// Guards against a cut answer that looks complete to the caller, and against a
// second run of a request that may run only once.
BOOST_AUTO_TEST_CASE(cutAnswerIsRepeatedOnlyWhereThatIsAllowed) {
  World Used({{"c1"}, {"c2"}});
  for (const std::size_t At : {0U, 1U}) {
    UpstreamStandIn &Upstream = Used.at(At).upstream();
    Upstream.setBehaviour(cutFirst(Upstream));
  }
  const auto Read = Used.at(0).get("/read/cut", "read-1");
  const auto Write = Used.at(0).post("/write/cut", "order", "write-1");
  BOOST_TEST((Read.Status == 200 || Read.Status == 502));
  BOOST_TEST(Write.Status == 502);
  BOOST_TEST(countOf(Used.at(0).upstream(), "write-1") +
                 countOf(Used.at(1).upstream(), "write-1") ==
             1);
}

// Guards against an answer of an upstream that is replaced by a failure of the
// node's own, when the repeat of the request finds no upstream.
BOOST_AUTO_TEST_CASE(failureOfTheUpstreamIsPassedOnWhenNoRepeatIsPossible) {
  World Used({{"p1"}, {"p2", "store"}});
  Used.at(0).upstream().setBehaviour([](const SeenRequest &Request) {
    return goodAnswer(Request, "why it failed", 500);
  });
  const auto Answer = Used.at(1).get("/read/fails");
  BOOST_TEST(Answer.Status == 500);
  BOOST_TEST(Answer.Body == "why it failed");
  BOOST_TEST(Answer.header("x-response-seal") == "s");
}

// Guards against an answer that reaches the caller of another request.
BOOST_AUTO_TEST_CASE(extraAnswerIsNotTakenForTheNextOne) {
  World Used({{"e1"}});
  UpstreamStandIn &Upstream = Used.at(0).upstream();
  Upstream.setBehaviour([](const SeenRequest &Request) {
    RawAnswer Answer = goodAnswer(Request, Request.Headers.at("x-attempt-id"));
    Answer.Bytes += Answer.Bytes;
    return Answer;
  });
  for (int Count = 0; Count < 30; ++Count) {
    const std::string Id = "extra-" + std::to_string(Count);
    const auto Answer = Used.at(0).get("/read/extra", Id);
    if (Answer.Status == 200)
      BOOST_TEST(Answer.Body == Id);
  }
}

// Guards against an answer without a seal that is passed on as a success.
BOOST_AUTO_TEST_CASE(answerWithoutSealIsNoSuccess) {
  World Used({{"s1"}});
  Used.at(0).upstream().setBehaviour([](const SeenRequest &Request) {
    RawAnswer Answer = goodAnswer(Request);
    Answer.Bytes.replace(Answer.Bytes.find("X-Response-Seal"), 15,
                         "X-Nothing-Named");
    return Answer;
  });
  BOOST_TEST(Used.at(0).post("/write/s", "x").Status == 502);
}

// Guards against a refusal that says "not run" of a request that has run, and
// against more requests at an upstream than it has slots.
BOOST_AUTO_TEST_CASE(overloadIsRefusedTruthfullyAndEarly) {
  World Used({{"o1"}});
  std::atomic<int> Running{0};
  std::atomic<int> Most{0};
  Used.at(0).upstream().setBehaviour([&](const SeenRequest &Request) {
    const int Now = ++Running;
    int Seen = Most;
    while (Now > Seen && !Most.compare_exchange_weak(Seen, Now)) {
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    --Running;
    return goodAnswer(Request);
  });
  for (int Count = 0; Count < 8; ++Count)
    Used.at(0).get("/read/warm");
  std::vector<std::future<lycheethread::harness::HttpAnswer>> Answers;
  for (int Count = 0; Count < 60; ++Count)
    Answers.push_back(std::async(std::launch::async, [&, Count] {
      return Used.at(0).post("/write/many", "x", "m" + std::to_string(Count));
    }));
  int Refused = 0;
  for (std::size_t At = 0; At < Answers.size(); ++At) {
    const auto Answer = Answers[At].get();
    const int Arrived =
        countOf(Used.at(0).upstream(), "m" + std::to_string(At));
    BOOST_TEST(Arrived == (Answer.Status == 200 ? 1 : 0));
    if (Answer.Status != 503)
      continue;
    ++Refused;
    BOOST_TEST(!Answer.header("retry-after").empty());
    BOOST_TEST(Answer.Took.count() < 400);
  }
  BOOST_TEST(Refused > 20);
  BOOST_TEST(Most.load() <= 4);
}

// Guards against work for a caller that has left.
BOOST_AUTO_TEST_CASE(bodyArrivesWholeAndTimeoutIsAnswered) {
  World Used({{"t1"}, {"t2", "store"}});
  const std::string Body(700'000, 'b');
  BOOST_TEST(Used.at(1).post("/upload/u", Body).Status == 200);
  BOOST_TEST((Used.at(0).upstream().seen().back().Body == Body));
  Used.at(0).upstream().setBehaviour([](const SeenRequest &Request) {
    RawAnswer Answer = goodAnswer(Request);
    Answer.Delay = std::chrono::milliseconds(2500);
    return Answer;
  });
  const auto Late = Used.at(1).get("/read/late");
  BOOST_TEST(Late.Status == 504);
  BOOST_TEST(Late.Took.count() > 1100);
  BOOST_TEST(Late.Took.count() < 1700);
}

// Guards against one request that crashes each upstream it reaches.
BOOST_AUTO_TEST_CASE(requestThatCrashesUpstreamsIsStopped) {
  World Used({{"k1"}, {"k2"}, {"k3"}, {"k4"}, {"k5", "store"}});
  std::atomic<int> Crashes{0};
  for (std::size_t At = 0; At < 4; ++At) {
    UpstreamStandIn &Upstream = Used.at(At).upstream();
    Upstream.setBehaviour([&](const SeenRequest &Request) {
      RawAnswer Answer = goodAnswer(Request);
      if (Request.Line.find("/read/poison") == std::string::npos)
        return Answer;
      ++Crashes;
      std::thread([&Upstream] { Upstream.crash(); }).detach();
      Answer.Bytes.clear();
      // The port is closed by then, as after the end of a process.
      Answer.Delay = std::chrono::milliseconds(200);
      Answer.CloseAfter = true;
      return Answer;
    });
  }
  for (int Count = 0; Count < 12; ++Count) {
    Used.at(4).get("/read/poison", "p" + std::to_string(Count));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  BOOST_TEST(Crashes.load() <= 3);
  BOOST_TEST(Used.at(4).get("/read/poison").header("lt-reason") ==
             "crash-suspect");
}

BOOST_AUTO_TEST_SUITE_END()
