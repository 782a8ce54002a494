#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <vector>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

constexpr std::int64_t BodyBytes = 280'000;

/// Simulates nodes that share a link of the given rate and always have bodies
/// to send. LongestQueueMs is the longest queue on the link after \p SettleMs.
struct LinkSimulationResult {
  double LongestQueueMs = 0;
  std::int64_t Sent = 0;
};

LinkSimulationResult simulate(int Nodes, double LinkBytesPerMs,
                              std::int64_t LengthMs, std::int64_t SettleMs) {
  struct Transfer {
    std::size_t Node;
    std::int64_t Start;
    double Left;
  };
  std::vector<LinkBudget> Budgets(static_cast<std::size_t>(Nodes));
  std::vector<Transfer> Active;
  LinkSimulationResult Result;
  for (std::int64_t Now = 1; Now < LengthMs; ++Now) {
    for (std::size_t At = 0; At < Budgets.size(); ++At)
      if (sendDelay(Budgets[At], SteadyTime(Now)).count() == 0) {
        consumeTokens(Budgets[At], BodyBytes, SteadyTime(Now));
        Active.push_back({At, Now, static_cast<double>(BodyBytes)});
      }
    double Queue = 0;
    for (Transfer &Item : Active) {
      Queue += Item.Left;
      // One transfer is bounded by a window of 64 KiB per round trip of 60 ms.
      const double Fair = LinkBytesPerMs / static_cast<double>(Active.size());
      Item.Left -= std::min(Fair, 1090.0);
    }
    if (Now > SettleMs)
      Result.LongestQueueMs =
          std::max(Result.LongestQueueMs, Queue / LinkBytesPerMs);
    for (auto It = Active.begin(); It != Active.end();) {
      if (It->Left > 0) {
        ++It;
        continue;
      }
      recordTransfer(Budgets[It->Node], BodyBytes,
                     Milliseconds(Now - It->Start), SteadyTime(Now));
      Result.Sent += BodyBytes;
      It = Active.erase(It);
    }
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Links)

// Load pattern: a region without an upstream for uploads sends all of them over
// a link of 44 Mbit/s that can carry a third of them. Guards against a link so
// full that calls of 250 ms fail on it.
BOOST_AUTO_TEST_CASE(uploadsDoNotFillTheLink) {
  const LinkSimulationResult Busy = simulate(7, 5500, 30'000, 8'000);
  BOOST_TEST(Busy.LongestQueueMs < 700);
  // The link must still be used.
  BOOST_TEST(static_cast<double>(Busy.Sent) > 0.25 * 5500 * 30'000);
}

BOOST_AUTO_TEST_CASE(aNarrowLinkLowersTheRate) {
  LinkBudget Budget;
  const double Before = Budget.BytesPerSecond;
  recordTransfer(Budget, BodyBytes, Milliseconds(300), SteadyTime(1000));
  BOOST_TEST(Budget.BytesPerSecond > Before);
  recordTransfer(Budget, BodyBytes, Milliseconds(900), SteadyTime(2000));
  BOOST_TEST(Budget.BytesPerSecond < Before);
}

BOOST_AUTO_TEST_CASE(longBodyDelaysTheNextOne) {
  LinkBudget Budget;
  BOOST_TEST(sendDelay(Budget, SteadyTime(1000)).count() == 0);
  consumeTokens(Budget, 3 * BodyBytes, SteadyTime(1000));
  const Milliseconds Pause = sendDelay(Budget, SteadyTime(1000));
  BOOST_TEST(Pause.count() > 2000);
  BOOST_TEST(sendDelay(Budget, after(SteadyTime(1000), Pause)).count() <= 1);
}

BOOST_AUTO_TEST_SUITE_END()
