#define BOOST_TEST_MODULE RequestTrace
#include "app/internal/RequestTrace.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace lycheethread::app;

namespace {

const char *const Log =
    "10:00:01 warning node: event=hop-refused request=ab reason=queue-full\n"
    "10:00:01 info node: event=request request=abc result=answered\n"
    "  3.1 node-2 10:00:02 warning node: event=request request=ab "
    "result=refused reason=\"two words\" ms=4\n"
    "10:00:02 info http: something about ab\n"
    "10:00:03 info node: event=config-in-force version=3\n";

} // namespace

BOOST_AUTO_TEST_CASE(KeepsOnlyDecisionsOfTheRequest) {
  std::istringstream In(Log);
  const auto Steps = extractTrace(In, "ab");
  BOOST_REQUIRE(Steps.size() == 2U);
  BOOST_TEST(Steps[0].Event == "hop-refused");
  BOOST_TEST(Steps[1].Prefix == "  3.1 node-2 10:00:02 warning node: ");
  BOOST_TEST(Steps[1].Fields.at(2).second == "two words");
  BOOST_TEST(Steps[1].Fields.at(3).second == "4");
}

BOOST_AUTO_TEST_CASE(OutputContainsEachField) {
  std::istringstream In(Log);
  const auto Steps = extractTrace(In, "ab");
  BOOST_TEST(toText(Steps).find("    reason: queue-full\n") !=
             std::string::npos);
  BOOST_TEST(toJson(Steps).find("\"event\": \"hop-refused\"") !=
             std::string::npos);
}

// Guards against a failure on a truncated line, such as the last line of a log
// that is still being written.
BOOST_AUTO_TEST_CASE(AcceptsTruncatedLines) {
  for (const char *Line :
       {"event=", "event=x request=ab y", "event=x request=ab y=\"z"}) {
    std::istringstream In(Line);
    BOOST_TEST(extractTrace(In, "ab").size() <= 1U);
  }
}
