#include "organisations/Organisations.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::organisations;

BOOST_AUTO_TEST_SUITE(Trust)

// Guards against a node that accepts a revoked key since it hears of nothing.
BOOST_AUTO_TEST_CASE(strictKeysNeedARecentConfirmation) {
  const RevocationBounds Bounds{true, Milliseconds(5000)};
  BOOST_TEST(!mayTrustKeys(Bounds, std::nullopt));
  BOOST_TEST(mayTrustKeys(Bounds, Milliseconds(0)));
  BOOST_TEST(mayTrustKeys(Bounds, Milliseconds(4249)));
  BOOST_TEST(!mayTrustKeys(Bounds, Milliseconds(4250)));
  BOOST_TEST(!mayTrustKeys(Bounds, Milliseconds(60'000)));
}

BOOST_AUTO_TEST_CASE(shortBoundsLeaveHalfOfTheTime) {
  const RevocationBounds Bounds{true, Milliseconds(1000)};
  BOOST_TEST(mayTrustKeys(Bounds, Milliseconds(499)));
  BOOST_TEST(!mayTrustKeys(Bounds, Milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(otherDeploymentsServeOnWithoutTheStore) {
  BOOST_TEST(mayTrustKeys({}, std::nullopt));
  BOOST_TEST(mayTrustKeys({}, Milliseconds(3'600'000)));
}

BOOST_AUTO_TEST_SUITE_END()
