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

// Guards against a checker that stops at the first mistake, so that an operator
// needs one start per mistake.
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

// Guards against a page that no longer tells what the parser accepts.
BOOST_AUTO_TEST_CASE(PageListsEachKeyWithItsRangeAndDefault) {
  std::ifstream In(SETTINGS_PAGE);
  std::stringstream Page;
  Page << In.rdbuf();
  const std::string Text = Page.str();
  std::size_t Keys = 0;
  for (const SectionRule &Section : settingsSchema())
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
