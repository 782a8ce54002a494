#define BOOST_TEST_MODULE Settings
#include "settings/Settings.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace lycheethread;
using namespace lycheethread::settings;

namespace {

const char *const Good = R"([node]
id = n1
region = west
zone = west-a
[listen]
requests = 127.0.0.1:8001
hop = 127.0.0.1:8002
control = 127.0.0.1:8003
admin = 127.0.0.1:8004
[log]
url = http://127.0.0.1:9000
[peers]
seeds = 127.0.0.2:8003, 127.0.0.3:8003
)";

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

} // namespace

BOOST_AUTO_TEST_CASE(CompleteSettingsHaveNoFindings) {
  const ParsedSettings Result = parseNodeSettings("n.ini", Good);
  BOOST_TEST(Result.Problems.empty());
  BOOST_TEST(Result.Settings.Seeds.size() == 2U);
  BOOST_TEST(Result.Settings.Hop.Port == 8002);
  BOOST_TEST(Result.Settings.MaxConnections == 512);
}

// Guards against a parser that stops at the first mistake, so that an operator
// must restart the node once per mistake.
BOOST_AUTO_TEST_CASE(FiveMistakesGiveFiveFindingsWithTheirLines) {
  std::string Text = replaced(Good, "zone = west-a", "zone = West A");
  Text = replaced(Text, "127.0.0.1:8002", "localhost:8002");
  Text = replaced(Text, "127.0.0.1:8004", "127.0.0.1:8003");
  Text = replaced(Text, "http://127.0.0.1:9000", "127.0.0.1:9000");
  Text = replaced(Text, "seeds", "seed");
  const ParsedSettings Result = parseNodeSettings("n.ini", Text);
  BOOST_REQUIRE(Result.Problems.size() == 5U);
  const int Lines[] = {4, 7, 9, 11, 13};
  for (std::size_t I = 0; I < 5; ++I)
    BOOST_TEST(Result.Problems[I].Line == Lines[I]);
}

namespace {

/// Checks that the table in \p Path has exactly the keys of \p Schema, with
/// their range and default.
void checkDocumentation(const std::string &Path,
                        const std::vector<SectionRule> &Schema) {
  std::ifstream In(Path);
  std::stringstream Page;
  Page << In.rdbuf();
  const std::string Text = Page.str();
  std::size_t Keys = 0;
  for (const SectionRule &Section : Schema)
    for (const KeyRule &Key : Section.Keys) {
      ++Keys;
      const std::string Default = Key.Required          ? "required"
                                  : Key.Default.empty() ? "none"
                                                        : Key.Default;
      const std::string Row = "| `" + Section.Name + "." + Key.Name + "` | " +
                              Key.Unit + (Key.Unit.empty() ? "| " : " | ") +
                              Default + " | " + Key.Allowed + " |";
      BOOST_TEST(Text.find(Row) != std::string::npos, Row);
    }
  std::size_t Rows = 0;
  for (std::size_t At = Text.find("\n| `"); At != std::string::npos;
       At = Text.find("\n| `", At + 1))
    ++Rows;
  BOOST_TEST(Rows == Keys);
}

const char *const GoodSidecar = R"([node]
id = 10.0.0.7
region = west
zone = west-a
[listen]
outbound = 10.0.0.7:8141
inbound = 10.0.0.7:8145
readiness = 10.0.0.7:8140
check_ins = 10.0.0.7:8146
gossip = 10.0.0.7:7660
[upstream]
address = 10.0.0.7:8147
service = desk
check_in_s = 1.5
[limits]
link_mbit = 10.5
[hedging]
max_share = 0.05
[admission]
min_failed_runs = 0.25
[store]
address = 10.0.0.1:8142
[peers]
seeds =
[platform]
bounds = grace_s=6,drain_s=2.5
)";

} // namespace

// Guards against documentation that differs from the schema.
BOOST_AUTO_TEST_CASE(DocumentationListsEachKeyWithItsRangeAndDefault) {
  checkDocumentation(SETTINGS_PAGE, settingsSchema());
  checkDocumentation(SIDECAR_SETTINGS_PAGE, sidecarSchema());
}

BOOST_AUTO_TEST_CASE(SidecarSettingsAreRead) {
  const ParsedSidecarSettings Result =
      parseSidecarSettings("p.ini", GoodSidecar);
  for (const Finding &Item : Result.Problems)
    BOOST_ERROR(toString(Item));
  BOOST_TEST(Result.Settings.CheckInInterval.count() == 1500);
  BOOST_TEST(Result.Settings.LinkBytesPerMs == 1312.5);
  BOOST_TEST(Result.Settings.MaxHedgeShare == 0.05);
  BOOST_TEST(Result.Settings.MinFailedRuns == 0.25);
  BOOST_TEST(Result.Settings.PlatformBounds == "grace_s=6,drain_s=2.5");
  BOOST_TEST(isForSidecar(GoodSidecar));
  BOOST_TEST(!isForSidecar(Good));
}

// Guards against hedging that nobody has asked for.
BOOST_AUTO_TEST_CASE(HedgingIsOffWithoutItsSection) {
  const std::string Text =
      replaced(GoodSidecar, "[hedging]\nmax_share = 0.05\n", "");
  const ParsedSidecarSettings Result = parseSidecarSettings("p.ini", Text);
  BOOST_TEST(Result.Problems.empty());
  BOOST_TEST(Result.Settings.MaxHedgeShare == 0);
}

// Guards against requests that are rejected for their calls without the
// operator's order.
BOOST_AUTO_TEST_CASE(CalleeAdmissionIsOffWithoutItsSection) {
  const std::string Text =
      replaced(GoodSidecar, "[admission]\nmin_failed_runs = 0.25\n", "");
  const ParsedSidecarSettings Result = parseSidecarSettings("p.ini", Text);
  BOOST_TEST(Result.Problems.empty());
  BOOST_TEST(Result.Settings.MinFailedRuns == 0);
}

// Guards against a parser that stops at the first mistake.
BOOST_AUTO_TEST_CASE(MistakesInSidecarSettingsAreReportedTogether) {
  std::string Text = replaced(GoodSidecar, "zone = west-a", "zone = West A");
  Text = replaced(Text, "check_in_s = 1.5", "check_in_s = soon");
  Text = replaced(Text, "link_mbit = 10.5", "link_mbit = 0");
  Text = replaced(Text, "max_share = 0.05", "max_share = 0.51");
  Text = replaced(Text, "10.0.0.1:8142", "store.example:8142");
  Text = replaced(Text, "inbound =", "inbond =");
  const ParsedSidecarSettings Result = parseSidecarSettings("p.ini", Text);
  // The misspelt key gives two findings: an unknown key and a missing one.
  BOOST_TEST(Result.Problems.size() == 7U);
}
