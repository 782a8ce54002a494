#include "organisations/Organisations.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::organisations;

BOOST_AUTO_TEST_SUITE(Regions)

BOOST_AUTO_TEST_CASE(regionsInCommonAreAllowed) {
  const Region East("east");
  const Region West("west");
  Organisation Any;
  Organisation InEast;
  InEast.AllowedRegions = {East};
  BOOST_TEST(allows(servingRegions({}, nullptr), East));
  BOOST_TEST(allows(servingRegions({}, &Any), East));
  BOOST_TEST(allows(servingRegions({West}, nullptr), West));
  BOOST_TEST(!allows(servingRegions({West}, &Any), East));
  BOOST_TEST(!allows(servingRegions({}, &InEast), West));
  BOOST_TEST(allows(servingRegions({East, West}, &InEast), East));
  BOOST_TEST(!allows(servingRegions({East, West}, &InEast), West));
}

// Guards against a request that may be served nowhere and is served anywhere.
BOOST_AUTO_TEST_CASE(withoutACommonRegionNoneIsAllowed) {
  Organisation InEast;
  InEast.AllowedRegions = {Region("east")};
  const ServingRegions None = servingRegions({Region("west")}, &InEast);
  BOOST_TEST(!allows(None, Region("east")));
  BOOST_TEST(!allows(None, Region("west")));
}

BOOST_AUTO_TEST_SUITE_END()
