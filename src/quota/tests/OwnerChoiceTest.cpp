#include "quota/Quota.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::quota;

namespace {

OwnerCandidate other(const char *Id, std::int64_t SilentMs,
                     bool IsUnresponsive = false) {
  return {NodeId(Id), false, Milliseconds(SilentMs), IsUnresponsive};
}

const OwnerCandidate Self{NodeId("self"), true, Milliseconds(0), false};

} // namespace

BOOST_AUTO_TEST_SUITE(Choice)

// Guards against entries that disagree on a living owner: loads of the other
// region are often seconds old.
BOOST_AUTO_TEST_CASE(lateReportsDoNotChangeTheOwner) {
  BOOST_TEST(chooseOwner({other("a", 6000), other("b", 0), Self}).str() == "a");
  BOOST_TEST(chooseOwner({other("a", 16'000), other("b", 0), Self}).str() ==
             "b");
}

BOOST_AUTO_TEST_CASE(unansweredAsksChangeTheOwner) {
  BOOST_TEST(chooseOwner({other("a", 3500, true), other("b", 0), Self}).str() ==
             "b");
  BOOST_TEST(chooseOwner({other("a", 3500, true), Self}).str() == "self");
}

// Guards against two owners: only the first node that is heard of grants.
BOOST_AUTO_TEST_CASE(nodeGrantsIfThoseBeforeItAreSilent) {
  const QuotaTimes Times;
  BOOST_TEST(mayOwn({Self, other("a", 0)}, Times));
  BOOST_TEST(!mayOwn({other("a", 2999), Self}, Times));
  BOOST_TEST(mayOwn({other("a", 3000), Self}, Times));
  BOOST_TEST(!mayOwn({other("a", 3000), other("b", 0), Self}, Times));
  BOOST_TEST(!mayOwn({other("a", 3000), other("b", 5000)}, Times));
}

BOOST_AUTO_TEST_SUITE_END()
