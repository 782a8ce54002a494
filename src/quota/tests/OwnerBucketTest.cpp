#include "quota/Quota.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::quota;

namespace {

SteadyTime at(std::int64_t Ms) { return SteadyTime(1'000'000 + Ms); }

/// Refills every 100 ms up to \p To.
void run(OwnerBucket &Bucket, const organisations::Quota &Limit,
         const Fleet &Nodes, std::int64_t From, std::int64_t To) {
  for (std::int64_t Ms = From; Ms <= To; Ms += 100)
    refill(Bucket, Limit, Nodes, at(Ms));
}

PermitAsk ask(const char *Entry, std::int64_t Number, std::int32_t Wanted) {
  return {NodeId(Entry), Sequence(Number), Wanted};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Owner)

// Guards against two owners in turn that grant the burst twice.
BOOST_AUTO_TEST_CASE(newOwnersStartEmpty) {
  OwnerBucket Bucket;
  const organisations::Quota Limit{100, 100};
  run(Bucket, Limit, {4, 4}, 0, 700);
  BOOST_TEST(grant(Bucket, Limit, ask("a", 1, 50), at(700))->Permits == 0);
  run(Bucket, Limit, {4, 4}, 800, 1000);
  BOOST_TEST(grant(Bucket, Limit, ask("a", 2, 50), at(1000))->Permits == 30);
}

// Guards against an owner that was suspended and grants what came in meanwhile,
// which another owner has granted too.
BOOST_AUTO_TEST_CASE(suspendedOwnersStartEmpty) {
  OwnerBucket Bucket;
  const organisations::Quota Limit{100, 100};
  run(Bucket, Limit, {4, 4}, 0, 5000);
  BOOST_TEST(Bucket.Tokens == 100);
  refill(Bucket, Limit, {4, 4}, at(15'000));
  BOOST_TEST(Bucket.Tokens == 0);
}

// Guards against permits that a repeated or late datagram takes twice.
BOOST_AUTO_TEST_CASE(repeatedAsksTakeNothingMore) {
  OwnerBucket Bucket;
  const organisations::Quota Limit{100, 100};
  run(Bucket, Limit, {4, 4}, 0, 5000);
  BOOST_TEST(grant(Bucket, Limit, ask("a", 7, 10), at(5000))->Permits == 10);
  BOOST_TEST(grant(Bucket, Limit, ask("a", 7, 10), at(5050))->Permits == 10);
  BOOST_TEST(!grant(Bucket, Limit, ask("a", 6, 10), at(5060)).has_value());
  BOOST_TEST(Bucket.Tokens == 90);
}

// Guards against two halves of the nodes that grant the whole limit each.
BOOST_AUTO_TEST_CASE(silentNodesReduceTheLimit) {
  OwnerBucket Bucket;
  const organisations::Quota Limit{100, 100};
  run(Bucket, Limit, {10, 10}, 0, 5000);
  run(Bucket, Limit, {10, 5}, 5100, 5100);
  BOOST_TEST(Bucket.Tokens == 50);
  Bucket.Tokens = 0;
  run(Bucket, Limit, {10, 5}, 5200, 5500);
  BOOST_TEST(Bucket.Tokens == 20, boost::test_tools::tolerance(1e-6));
}

// Guards against permits of an earlier, higher limit.
BOOST_AUTO_TEST_CASE(loweredLimitsClipTheBucket) {
  OwnerBucket Bucket;
  run(Bucket, {100, 100}, {4, 4}, 0, 5000);
  refill(Bucket, {2, 5}, {4, 4}, at(5100));
  BOOST_TEST(Bucket.Tokens == 5);
}

// Guards against an entry that takes what others ask for too.
BOOST_AUTO_TEST_CASE(scarcePermitsAreShared) {
  OwnerBucket Bucket;
  const organisations::Quota Limit{100, 10};
  run(Bucket, Limit, {4, 4}, 0, 2900);
  grant(Bucket, Limit, ask("b", 0, 1), at(2900));
  int Small = 0;
  int Large = 0;
  std::int64_t Number = 0;
  for (std::int64_t Ms = 3000; Ms < 13'000; Ms += 250) {
    run(Bucket, Limit, {4, 4}, Ms, Ms + 200);
    ++Number;
    Large += grant(Bucket, Limit, ask("a", Number, 100), at(Ms + 200))->Permits;
    Small += grant(Bucket, Limit, ask("b", Number, 10), at(Ms + 201))->Permits;
  }
  BOOST_TEST(Small >= 40);
  BOOST_TEST(Large >= 4 * Small);
}

// Guards against callers of several entries that are told to come back at the
// same time, when there is one permit.
BOOST_AUTO_TEST_CASE(laterCallersGetLaterTimes) {
  OwnerBucket Bucket;
  const organisations::Quota Limit{20, 10};
  run(Bucket, Limit, {4, 4}, 0, 5000);
  // Far more is wanted than comes in, and no one has been told to come back.
  grant(Bucket, Limit, ask("a", 1, 100), at(5000));
  Bucket.Tokens = 0;
  Bucket.Expected = 0;
  std::vector<PermitGrant> Answers;
  for (const char *Entry : {"b", "c", "d", "e"})
    Answers.push_back(grant(Bucket, Limit, ask(Entry, 1, 1), at(5001)).value());
  for (std::size_t Index = 0; Index < 3; ++Index)
    BOOST_TEST((Answers[Index].ReturnDelay < Answers[Index + 1].ReturnDelay));
  BOOST_TEST(Answers.front().Places == 1);
  // From some time on the true delay is longer than callers wait.
  BOOST_TEST(Answers[3].Places == 0);
  BOOST_TEST(Answers[3].ReturnDelay.count() > 700);
}

// Guards against a returning caller that finds the permits taken by new
// requests.
BOOST_AUTO_TEST_CASE(returningCallersGoFirst) {
  OwnerBucket Bucket;
  const organisations::Quota Limit{100, 40};
  run(Bucket, Limit, {4, 4}, 0, 5000);
  const PermitGrant Told =
      grant(Bucket, Limit, ask("a", 1, 1000), at(5000)).value();
  BOOST_TEST(Told.Places > 0);
  std::int64_t Number = 1;
  for (std::int64_t Ms = 5100; Ms <= 5500; Ms += 50) {
    refill(Bucket, Limit, {4, 4}, at(Ms));
    grant(Bucket, Limit, ask("b", Number++, 1000), at(Ms));
  }
  PermitAsk Returning = ask("a", 2, 4);
  Returning.Returning = 4;
  BOOST_TEST(grant(Bucket, Limit, Returning, at(5501))->Permits == 4);
}

BOOST_AUTO_TEST_SUITE_END()
