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

// Guards against a hash for each node and organisation while no node has
// changed, and against an owner chosen among nodes that have left.
BOOST_AUTO_TEST_CASE(membersChangeTheVersion) {
  const NodeId First("a");
  const NodeId Second("b");
  const NodeId Third("c");
  OwnerMembers Members;
  updateMembers(Members, {&First, &Second});
  const std::int64_t Version = Members.Version;
  updateMembers(Members, {&First, &Second});
  BOOST_TEST(Members.Version == Version);
  updateMembers(Members, {&First, &Third});
  BOOST_TEST(Members.Version == Version + 1);
  updateMembers(Members, {&First});
  BOOST_TEST(Members.Version == Version + 2);
  updateMembers(Members, {&First, &Second});
  BOOST_TEST(Members.Version == Version + 3);
}

// Guards against another owner when the look-up stops at the first candidate
// that decides.
BOOST_AUTO_TEST_CASE(laterCandidatesDoNotMatter) {
  const QuotaTimes Times;
  std::vector<OwnerCandidate> Kinds{Self};
  for (const std::int64_t Silent : {0, 2999, 3000, 14'999, 15'000})
    for (const bool IsUnresponsive : {false, true})
      Kinds.push_back(other("a", Silent, IsUnresponsive));
  for (const OwnerCandidate &First : Kinds)
    for (const OwnerCandidate &Second : Kinds)
      for (const OwnerCandidate &Third : Kinds) {
        std::vector<OwnerCandidate> All{First, Second, Third};
        std::vector<OwnerCandidate> Needed;
        for (std::size_t Index = 0; Index < All.size(); ++Index) {
          if (!All[Index].IsSelf)
            All[Index].Id = NodeId(std::to_string(Index));
          if (Needed.empty() || !endsChoice(Needed.back(), Times))
            Needed.push_back(All[Index]);
        }
        BOOST_TEST(chooseOwner(All).str() == chooseOwner(Needed).str());
        BOOST_TEST(mayOwn(All, Times) == mayOwn(Needed, Times));
      }
}

BOOST_AUTO_TEST_SUITE_END()
