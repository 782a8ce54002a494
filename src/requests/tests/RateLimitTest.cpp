#include "requests/Requests.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::requests;

namespace {

constexpr SteadyTime Sent{0};

RateLimit limit(double PerSecond) {
  RateLimit Limit;
  recordStatedLimit(Limit, PerSecond, Sent, SteadyTime(0));
  return Limit;
}

/// Takes all permits from \p FromMs to \p ToMs and returns their number.
int takeAll(RateLimit &Limit, std::int64_t FromMs, std::int64_t ToMs) {
  int Taken = 0;
  for (std::int64_t Now = FromMs; Now < ToMs; ++Now)
    while (takePermit(Limit, SteadyTime(Now)))
      ++Taken;
  return Taken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Limit)

// Guards against a rate above the limit, also after a time without requests.
BOOST_AUTO_TEST_CASE(permitsKeepToTheRate) {
  for (const double PerSecond : {0.5, 7.6, 88.2, 3000.0}) {
    RateLimit Limit = limit(PerSecond);
    takeAll(Limit, 0, 4000);
    // Idle, then everything that is there.
    const int Taken = takeAll(Limit, 10'000, 14'000);
    BOOST_TEST(Taken <= PerSecond * 4.25 + 1);
    BOOST_TEST(Taken >= PerSecond * 4 - 1);
  }
}

BOOST_AUTO_TEST_CASE(withoutALimitEverythingIsPermitted) {
  RateLimit None;
  BOOST_TEST(takePermit(None, SteadyTime(0)));
  BOOST_TEST(permitDelay(None, 1000, SteadyTime(0)).count() == 0);
}

// Guards against a delay after which there is no permit yet: a caller that
// comes back then would be refused again.
BOOST_AUTO_TEST_CASE(delayEndsWithThePermit) {
  RateLimit Limit = limit(8);
  takeAll(Limit, 0, 1);
  const Milliseconds Delay = permitDelay(Limit, 2, SteadyTime(0));
  BOOST_TEST(Delay.count() == 375);
  BOOST_TEST(takeAll(Limit, 0, Delay.count()) == 2);
  BOOST_TEST(takePermit(Limit, after(SteadyTime(0), Delay)));
}

// Guards against a limit that is lifted by an answer to a request from before
// the limit, which arrives late on another connection.
BOOST_AUTO_TEST_CASE(onlyALaterAnswerLiftsTheLimit) {
  RateLimit Limit;
  recordStatedLimit(Limit, 5, SteadyTime(100), SteadyTime(200));
  recordStatedLimit(Limit, std::nullopt, SteadyTime(150), SteadyTime(210));
  BOOST_TEST(Limit.PerSecond.has_value());
  recordStatedLimit(Limit, std::nullopt, SteadyTime(220), SteadyTime(300));
  BOOST_TEST(!Limit.PerSecond.has_value());
}

// Guards against an upstream that is never asked again after it has stated that
// it takes nothing.
BOOST_AUTO_TEST_CASE(limitOfZeroPermitsARequestNowAndThen) {
  RateLimit Limit = limit(0);
  takeAll(Limit, 0, 1);
  BOOST_TEST(takeAll(Limit, 1, 12'000) == 2);
}

// Guards against a restarted node that takes what another node remembers for
// newer than what the upstream has stated since.
BOOST_AUTO_TEST_CASE(rememberedLimitDoesNotReplaceAStatedOne) {
  RateLimit Limit;
  restoreLimit(Limit, 3, SteadyTime(0));
  BOOST_TEST(*Limit.PerSecond == 3);
  recordStatedLimit(Limit, 9, Sent, SteadyTime(10));
  restoreLimit(Limit, 3, SteadyTime(20));
  BOOST_TEST(*Limit.PerSecond == 9);
}

// Guards against a share that stays small at an entry with much load, or large
// at one that is refused.
BOOST_AUTO_TEST_CASE(shareFollowsWhatIsAdmitted) {
  LimitShare Share;
  setShareBounds(Share, 10, 100, 1, SteadyTime(0));
  BOOST_TEST(Share.PerSecond == 0.1);
  for (int Count = 0; Count < 200; ++Count)
    recordAdmitted(Share, 10);
  BOOST_TEST(Share.PerSecond == 10);
  for (int Count = 0; Count < 100; ++Count)
    recordRefused(Share, 10, 100, SteadyTime(0));
  BOOST_TEST(Share.PerSecond == 0.1);
  // A lower limit takes effect at once.
  setShareBounds(Share, 0.05, 1, 1, SteadyTime(0));
  BOOST_TEST(Share.PerSecond == 0.05);
}

BOOST_AUTO_TEST_SUITE_END()
