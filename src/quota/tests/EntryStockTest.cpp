#include "quota/Quota.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lycheethread;
using namespace lycheethread::quota;

namespace {

const QuotaTimes Times{};

SteadyTime at(std::int64_t Ms) { return SteadyTime(1'000'000 + Ms); }

EntryStock asking(std::int32_t Wanted, std::int64_t Ms) {
  EntryStock Stock;
  Stock.Limit = {100, 100};
  startAsk(Stock, NodeId("a"), NodeId("b"), Wanted, at(Ms));
  return Stock;
}

PermitGrant granted(const EntryStock &Stock, std::int32_t Permits) {
  return {Stock.LastNumber, Permits, Milliseconds(0)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Entry)

// Guards against permits of a duplicated answer, or of one to an earlier ask.
BOOST_AUTO_TEST_CASE(grantsAreTakenOnce) {
  EntryStock Stock = asking(2, 0);
  const PermitGrant Grant = granted(Stock, 2);
  BOOST_TEST(!applyGrant(Stock, {Sequence(99), 2, {}}, Times, at(10)));
  BOOST_TEST(applyGrant(Stock, Grant, Times, at(20)));
  BOOST_TEST(!applyGrant(Stock, Grant, Times, at(30)));
  BOOST_TEST(takePermit(Stock, at(40)).has_value());
  BOOST_TEST(takePermit(Stock, at(40)).has_value());
  BOOST_TEST(!takePermit(Stock, at(40)).has_value());
}

// Guards against permits that are used long after the owner has counted them,
// such as those that waited in the socket of a suspended process.
BOOST_AUTO_TEST_CASE(permitsExpireAfterTheTimeOfAsking) {
  EntryStock Late = asking(2, 0);
  BOOST_TEST(applyGrant(Late, granted(Late, 2), Times, at(10'000)));
  BOOST_TEST(!takePermit(Late, at(10'000)).has_value());

  EntryStock Stock = asking(2, 0);
  applyGrant(Stock, granted(Stock, 2), Times, at(100));
  BOOST_TEST((takePermit(Stock, at(499)) == at(500)));
  BOOST_TEST(!takePermit(Stock, at(500)).has_value());
  returnPermit(Stock, at(500), at(501));
  BOOST_TEST(!takePermit(Stock, at(501)).has_value());
}

BOOST_AUTO_TEST_CASE(returnedPermitsAreUsedAgain) {
  EntryStock Stock = asking(1, 0);
  applyGrant(Stock, granted(Stock, 1), Times, at(20));
  const auto Expires = takePermit(Stock, at(30));
  returnPermit(Stock, Expires.value(), at(40));
  BOOST_TEST((takePermit(Stock, at(50)) == Expires));
}

// Guards against a message for each request of an organisation over its limit.
BOOST_AUTO_TEST_CASE(refusedOrganisationsAskFourTimesASecond) {
  const organisations::Quota Limit{5, 5};
  EntryStock Stock;
  Stock.Limit = Limit;
  OwnerBucket Bucket;
  int Asks = 0;
  int Refused = 0;
  for (std::int64_t Ms = 0; Ms < 20'000; ++Ms) {
    refill(Bucket, Limit, {4, 4}, at(Ms));
    recordDemand(Stock, at(Ms));
    while (takePermit(Stock, at(Ms)))
      ;
    const std::int32_t Wanted = permitsToAsk(Stock, 1, at(Ms));
    if (Wanted > 0) {
      const PermitAsk Ask =
          startAsk(Stock, NodeId("a"), NodeId("b"), Wanted, at(Ms));
      applyGrant(Stock, grant(Bucket, Limit, Ask, at(Ms)).value(), Times,
                 at(Ms));
    }
    if (Ms < 10'000)
      continue;
    Asks += Wanted > 0 ? 1 : 0;
    Refused += shouldRefuse(Stock, at(Ms)) ? 1 : 0;
  }
  BOOST_TEST(Asks <= 40);
  BOOST_TEST(Asks >= 30);
  BOOST_TEST(Refused >= 4000);
}

// Guards against requests that are refused although a permit comes in soon.
BOOST_AUTO_TEST_CASE(requestsWaitForPermitsThatComeSoon) {
  EntryStock Stock = asking(1, 0);
  applyGrant(Stock, {Stock.LastNumber, 0, Milliseconds(100)}, Times, at(60));
  BOOST_TEST(!shouldRefuse(Stock, at(60)));
  BOOST_TEST(permitsToAsk(Stock, 1, at(159)) == 0);
  BOOST_TEST(permitsToAsk(Stock, 1, at(160)) == 1);
  startAsk(Stock, NodeId("a"), NodeId("b"), 1, at(160));
  applyGrant(Stock, {Stock.LastNumber, 0, Milliseconds(400)}, Times, at(200));
  BOOST_TEST(shouldRefuse(Stock, at(200)));
}

// Guards against an answer that is lost or late and not asked for again.
BOOST_AUTO_TEST_CASE(asksAreRepeated) {
  EntryStock Stock = asking(1, 0);
  std::vector<std::int64_t> Repeated;
  for (std::int64_t Ms = 0; Ms < PermitWaitLimit.count(); Ms += 5)
    if (shouldRepeat(Stock, at(Ms)))
      Repeated.push_back(Ms);
  BOOST_TEST(Repeated == (std::vector<std::int64_t>{65, 195}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(loweredLimitsDropTheStock) {
  EntryStock Stock = asking(9, 0);
  applyGrant(Stock, granted(Stock, 9), Times, at(20));
  setLimit(Stock, {200, 200});
  BOOST_TEST(takePermit(Stock, at(30)).has_value());
  setLimit(Stock, {10, 10});
  BOOST_TEST(!takePermit(Stock, at(30)).has_value());
}

// Guards against requests that wait long for an owner that does not answer.
BOOST_AUTO_TEST_CASE(silentOwnersAreGivenUpSooner) {
  EntryStock Stock = asking(1, 0);
  BOOST_TEST(!giveUpAsk(Stock, 0, at(349)));
  BOOST_TEST(giveUpAsk(Stock, 0, at(350)));
  startAsk(Stock, NodeId("a"), NodeId("b"), 1, at(400));
  BOOST_TEST(giveUpAsk(Stock, 0, at(750)));
  BOOST_TEST(isOwnerSilent(Stock));
  startAsk(Stock, NodeId("a"), NodeId("b"), 1, at(1000));
  BOOST_TEST(giveUpAsk(Stock, 0, at(1150)));
  BOOST_TEST(shouldRefuse(Stock, at(1150)));
}

// Guards against nodes without an owner that each keep one permit of an
// organisation whose whole burst is less than that.
BOOST_AUTO_TEST_CASE(sharesOfAllNodesStayWithinASmallLimit) {
  const Fleet Nodes{84, 84};
  std::vector<EntryStock> Stocks(84);
  for (std::size_t Index = 0; Index < Stocks.size(); ++Index) {
    EntryStock &Stock = Stocks[Index];
    Stock.Limit = {2.6, 2.6};
    startAsk(Stock, NodeId("a"), NodeId("b"), 1, at(0));
    giveUpAsk(Stock, (static_cast<double>(Index) + 0.5) / 84,
              at(PermitWaitLimit.count()));
  }
  // All nodes use their shares after a long time without requests.
  int Taken = 0;
  for (std::int64_t Ms = 120'000; Ms < 125'000; Ms += 50)
    for (EntryStock &Stock : Stocks)
      Taken += takeFallback(Stock, Nodes, Times, at(Ms)) ? 1 : 0;
  BOOST_TEST_MESSAGE("taken in 5 s: " << Taken);
  BOOST_TEST(Taken <= 18);
  BOOST_TEST(Taken >= 10);
}

// Guards against shares that are used in full while the owner may still grant
// the whole limit on the other side of a partition.
BOOST_AUTO_TEST_CASE(sharesGrowSlowly) {
  EntryStock Stock = asking(1, 0);
  giveUpAsk(Stock, 0.0, at(PermitWaitLimit.count()));
  int Taken = 0;
  for (std::int64_t Ms = PermitWaitLimit.count(); Ms < 3000; Ms += 10)
    Taken += takeFallback(Stock, {1, 1}, Times, at(Ms)) ? 1 : 0;
  BOOST_TEST(Taken <= 36);
  for (std::int64_t Ms = 3000; Ms < 8000; Ms += 10)
    Taken += takeFallback(Stock, {1, 1}, Times, at(Ms)) ? 1 : 0;
  BOOST_TEST(Taken >= 400);
}

// Guards against callers that come back together, or without a permit that is
// kept for them.
BOOST_AUTO_TEST_CASE(placesAreHandedOutInTurn) {
  EntryStock Stock = asking(5, 0);
  PermitGrant Grant = granted(Stock, 0);
  Grant.RetryDelay = Milliseconds(250);
  Grant.Places = 2;
  Grant.ReturnDelay = Milliseconds(200);
  Grant.PlaceInterval = Milliseconds(30);
  applyGrant(Stock, Grant, Times, at(100));
  const Milliseconds Left(1500);
  BOOST_TEST(takeReturnDelay(Stock, Left, at(110)).count() == 190);
  // This caller would not wait as long.
  BOOST_TEST(takeReturnDelay(Stock, Milliseconds(300), at(110)).count() == 250);
  BOOST_TEST(takeReturnDelay(Stock, Left, at(120)).count() == 210);
  // No place is left: the time is longer than a caller waits.
  BOOST_TEST(takeReturnDelay(Stock, Left, at(130)).count() > 500);
}

// Guards against callers with a place that are refused while the entry asks for
// no one else, and against an ask for each of them.
BOOST_AUTO_TEST_CASE(returningCallersMayAskBeforeOthers) {
  EntryStock Stock = asking(5, 0);
  PermitGrant Grant = granted(Stock, 0);
  Grant.RetryDelay = Milliseconds(250);
  applyGrant(Stock, Grant, Times, at(60));
  BOOST_TEST(permitsToAsk(Stock, 3, at(200), 0) == 0);
  BOOST_TEST(permitsToAsk(Stock, 3, at(200), 1) == 1);
  startAsk(Stock, NodeId("a"), NodeId("b"), 1, at(200), 1);
  BOOST_TEST(Stock.Pending->Ask.Returning == 1);
  applyGrant(Stock, granted(Stock, 1), Times, at(210));
  BOOST_TEST(permitsToAsk(Stock, 3, at(220), 1) == 0);
}

// Guards against callers that return for a permit after the time in which they
// could be answered within their objective.
BOOST_AUTO_TEST_CASE(returnsEndWithinTheObjective) {
  EntryStock Stock = asking(4, 0);
  PermitGrant Grant{Stock.LastNumber, 0, Milliseconds(400)};
  Grant.Places = 1;
  Grant.ReturnDelay = Milliseconds(500);
  applyGrant(Stock, Grant, Times, at(60));
  const Milliseconds Left(2000);
  const Milliseconds InTime = latestReturnInTime(Milliseconds(800));
  std::vector<std::int64_t> Delays;
  for (int Caller = 0; Caller < 8; ++Caller)
    Delays.push_back(takeReturnDelay(Stock, Left, at(60), InTime).count());
  BOOST_TEST(*std::max_element(Delays.begin(), Delays.end()) <= InTime.count());
  std::sort(Delays.begin(), Delays.end());
  BOOST_TEST(Delays.front() >= 250);
  BOOST_TEST(Delays.back() - Delays.front() >= 100);
  BOOST_TEST(Stock.Places == 1);
  // Another caller, with more time, still gets the place.
  BOOST_TEST(takeReturnDelay(Stock, Left, at(60), Milliseconds(600)).count() ==
             500);
}

// Guards against permits for requests that can no longer be answered in time
// while new requests are refused.
BOOST_AUTO_TEST_CASE(lateReturnsDoNotGoFirst) {
  const Milliseconds Objective(800);
  BOOST_TEST(returnsInTime(Milliseconds(300), Objective, Milliseconds(500)));
  BOOST_TEST(!returnsInTime(Milliseconds(600), Objective, Milliseconds(200)));
  BOOST_TEST(!returnsInTime(Milliseconds(0), Objective, Objective));
  BOOST_TEST((longestPermitWait(Objective) < Objective / 4));
}

BOOST_AUTO_TEST_SUITE_END()
