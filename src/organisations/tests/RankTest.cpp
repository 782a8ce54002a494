#include "organisations/Organisations.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread::organisations;

BOOST_AUTO_TEST_SUITE(Ranks)

BOOST_AUTO_TEST_CASE(organisationComesBeforeTheRoute) {
  Organisation First;
  Organisation Second;
  Second.Rank = 1;
  BOOST_TEST(rankOf(&First, 2) < rankOf(&Second, 0));
  BOOST_TEST(rankOf(&Second, 0) < rankOf(&Second, 1));
  BOOST_TEST(rankOf(&First, 1'000'000) < rankOf(&Second, 0));
}

// Guards against calls of work that has begun which wait behind new work.
BOOST_AUTO_TEST_CASE(requestsWithoutAnOrganisationComeFirst) {
  Organisation Any;
  Any.Rank = 1;
  BOOST_TEST(rankOf(nullptr, 2) < rankOf(&Any, 0));
  BOOST_TEST(rankOf(nullptr, 2) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
