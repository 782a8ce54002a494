#define BOOST_TEST_MODULE Model
#include "model/Model.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;

// Guards against a reason that is missing from the name table; its refusals
// would be reported as "invalid".
BOOST_AUTO_TEST_CASE(EveryRefusalReasonHasANameThatParsesBack) {
  for (int I = 0; I <= static_cast<int>(RefusalReason::CalleeFull); ++I) {
    const auto Reason = static_cast<RefusalReason>(I);
    BOOST_TEST((parseRefusalReason(toString(Reason)) == Reason));
  }
}

// Guards against a finding with a wrong location, which sends an operator to
// the wrong line.
BOOST_AUTO_TEST_CASE(FindingNamesItsLocationAndTheAllowedValues) {
  const Finding Item{"a.ini", 3, "limits.slots", "\"x\" is not a number",
                     "1 to 10000"};
  BOOST_TEST(toString(Item) == "a.ini:3: limits.slots: \"x\" is not a number; "
                               "allowed: 1 to 10000");
}
