#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

using namespace lycheethread::platformtest;
using lycheethread::harness::HttpAnswer;
using lycheethread::harness::HttpCall;

namespace {

using Clock = std::chrono::steady_clock;

constexpr double Rate = 5;
constexpr double Burst = 5;
constexpr std::chrono::seconds Window{5};
/// With the default bounds: 10% and 20 requests on top.
constexpr double MostInWindow = (Rate * 5 + Burst) * 1.1 + 20;

std::string limitedConfiguration(int Version) {
  std::string Text = configuration(Version);
  Text.pop_back();
  return Text + R"(,"tenants":[{"name":"acme","api_keys":["key-acme"],)"
                R"("rate_per_s":5,"burst":5}]})";
}

HttpAnswer get(Instance &At, const std::string &Id) {
  HttpCall Call;
  Call.Port = At.outboundPort();
  Call.Path = "/read/" + Id;
  Call.Headers = {{"Host", "shop.example"},
                  {"X-Attempt-Id", Id},
                  {"X-Key", "key-acme"},
                  {"X-Deadline-Ms", "1500"}};
  return lycheethread::harness::send(Call);
}

struct Counts {
  std::atomic<int> Answered{0};
  std::atomic<int> OverQuota{0};
  std::atomic<int> WithoutDelay{0};
  std::atomic<int> Other{0};
};

/// Sends 25 requests a second until \p Until.
void sendUntil(Instance &At, const std::string &Prefix, Clock::time_point Until,
               Counts &Into) {
  int Number = 0;
  auto Next = Clock::now();
  while (Clock::now() < Until) {
    const HttpAnswer Answer = get(At, Prefix + std::to_string(Number++));
    if (Answer.Status == 200)
      ++Into.Answered;
    else if (Answer.Status == 429)
      ++Into.OverQuota;
    else
      ++Into.Other;
    if (Answer.Status == 429 && Answer.header("retry-after").empty())
      ++Into.WithoutDelay;
    Next += std::chrono::milliseconds(40);
    std::this_thread::sleep_until(Next);
  }
}

std::vector<Clock::time_point> runsSince(TestMesh &Mesh,
                                         Clock::time_point Start) {
  std::vector<Clock::time_point> Runs;
  for (const auto &Item : Mesh.Instances)
    for (const ReceivedRequest &Request : Item->upstream().receivedRequests())
      if (Request.ReceivedAt >= Start &&
          Request.Headers.count("x-attempt-id") != 0)
        Runs.push_back(Request.ReceivedAt);
  std::sort(Runs.begin(), Runs.end());
  return Runs;
}

std::size_t mostInWindow(const std::vector<Clock::time_point> &Runs) {
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Runs.size(); ++Last) {
    while (Runs[Last] - Runs[First] > Window)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Quotas)

// Guards against an owner that was suspended and then grants what another one
// has granted meanwhile, and against permits that outlive the suspension of an
// entry.
BOOST_AUTO_TEST_CASE(theLimitHoldsWhileNodesAreSuspended) {
  TestMesh Mesh({{"quota-3"}, {"quota-4"}});
  Mesh.Store.put("keyed.op", "config", limitedConfiguration(2));
  for (std::size_t Index : {0U, 1U})
    BOOST_REQUIRE(holdsWithin(
        [&] {
          return get(Mesh.at(Index), "up-" + std::to_string(Index)).Status ==
                 200;
        },
        std::chrono::seconds(8)));
  Counts Seen;
  const auto Start = Clock::now();
  std::vector<std::thread> Callers;
  for (int Number = 0; Number < 4; ++Number)
    Callers.emplace_back([&, Number] {
      sendUntil(Mesh.at(static_cast<std::size_t>(Number % 2)),
                "s" + std::to_string(Number) + "-",
                Start + std::chrono::seconds(24), Seen);
    });
  for (std::size_t Index : {0U, 1U}) {
    std::this_thread::sleep_for(std::chrono::seconds(3));
    Mesh.at(Index).node().pause();
    std::this_thread::sleep_for(std::chrono::seconds(6));
    Mesh.at(Index).node().resume();
  }
  for (std::thread &Caller : Callers)
    Caller.join();
  const auto Runs = runsSince(Mesh, Start);
  BOOST_TEST_MESSAGE("runs " << Runs.size() << ", most in 5 s "
                             << mostInWindow(Runs) << ", answered "
                             << Seen.Answered << ", over quota "
                             << Seen.OverQuota << ", other " << Seen.Other);
  BOOST_TEST(static_cast<double>(mostInWindow(Runs)) <= MostInWindow);
  BOOST_TEST(Seen.WithoutDelay == 0);
}

// Guards against an organisation that gets its limit at each node, and against
// a limit that it cannot use.
BOOST_AUTO_TEST_CASE(theLimitHoldsOverAllNodes) {
  TestMesh Mesh({{"quota-1"}, {"quota-2"}});
  Mesh.Store.put("keyed.op", "config", limitedConfiguration(2));
  BOOST_REQUIRE(
      holdsWithin([&] { return get(Mesh.at(0), "up-0").Status == 200; },
                  std::chrono::seconds(8)));
  BOOST_REQUIRE(
      holdsWithin([&] { return get(Mesh.at(1), "up-1").Status == 200; },
                  std::chrono::seconds(8)));
  Counts Seen;
  const auto Start = Clock::now();
  std::vector<std::thread> Callers;
  for (int Number = 0; Number < 4; ++Number)
    Callers.emplace_back([&, Number] {
      sendUntil(Mesh.at(static_cast<std::size_t>(Number % 2)),
                "q" + std::to_string(Number) + "-", Start + 2 * Window, Seen);
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  const auto Runs = runsSince(Mesh, Start);
  BOOST_TEST_MESSAGE("runs " << Runs.size() << ", most in 5 s "
                             << mostInWindow(Runs) << ", answered "
                             << Seen.Answered << ", over quota "
                             << Seen.OverQuota << ", other " << Seen.Other);
  BOOST_TEST(static_cast<double>(mostInWindow(Runs)) <= MostInWindow);
  BOOST_TEST(static_cast<double>(Runs.size()) >= 0.8 * Rate * 10);
  BOOST_TEST(static_cast<int>(Runs.size()) == Seen.Answered);
  BOOST_TEST(Seen.OverQuota > 500);
  BOOST_TEST(Seen.WithoutDelay == 0);
  BOOST_TEST(Seen.Other == 0);
}

BOOST_AUTO_TEST_SUITE_END()
