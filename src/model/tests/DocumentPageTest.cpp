#include "model/Model.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <map>
#include <sstream>

using namespace lycheethread;

namespace {

/// Cells of a table row in docs/document.md.
struct PageRow {
  std::string Unit;
  std::string Default;
  std::string Range;
  std::string Effect;
};

using PageRows = std::map<std::string, PageRow>;

std::string pageText() {
  std::ifstream In(LYCHEETHREAD_SOURCE_DIR "/docs/document.md");
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

std::string trimmed(const std::string &Text) {
  const auto Begin = Text.find_first_not_of(' ');
  if (Begin == std::string::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(' ') - Begin + 1);
}

std::vector<std::string> cellsOf(const std::string &Line) {
  std::vector<std::string> Cells;
  std::istringstream In(Line.substr(1));
  for (std::string Cell; std::getline(In, Cell, '|');)
    Cells.push_back(trimmed(Cell));
  return Cells;
}

/// Returns the rows by "[section] key".
PageRows readPage() {
  PageRows Rows;
  std::string Section;
  std::istringstream In(pageText());
  for (std::string Line; std::getline(In, Line);) {
    if (Line.rfind("### ", 0) == 0)
      Section = Line.substr(4);
    if (Line.rfind("| `", 0) != 0)
      continue;
    const std::vector<std::string> Cells = cellsOf(Line);
    BOOST_REQUIRE_MESSAGE(Cells.size() == 5, Line);
    const std::string Key = Cells[0].substr(1, Cells[0].size() - 2);
    const bool IsNew =
        Rows.emplace(Section + " " + Key,
                     PageRow{Cells[1], Cells[2], Cells[3], Cells[4]})
            .second;
    BOOST_TEST(IsNew, Section + " " + Key + " is listed twice");
  }
  return Rows;
}

std::string defaultOf(const KeyRule &Rule) {
  if (Rule.Required)
    return "required";
  return Rule.Default.empty() ? "none" : Rule.Default;
}

} // namespace

// Guards against a reference page that does not match the schema of the parser.
BOOST_AUTO_TEST_CASE(ReferencePageListsExactlyTheKeysOfTheParser) {
  PageRows Rows = readPage();
  for (const SectionRule &Section : documentSchema()) {
    const std::string Heading =
        "[" + Section.Name + (Section.Named ? ".name]" : "]");
    for (const KeyRule &Rule : Section.Keys) {
      const std::string Label = Heading + " " + Rule.Name;
      const auto Found = Rows.find(Label);
      BOOST_REQUIRE_MESSAGE(Found != Rows.end(), Label + " is not listed");
      BOOST_TEST_CONTEXT(Label) {
        BOOST_TEST(Found->second.Unit == Rule.Unit);
        BOOST_TEST(Found->second.Default == defaultOf(Rule));
        BOOST_TEST(Found->second.Range == Rule.Allowed);
        BOOST_TEST(!Found->second.Effect.empty());
      }
      Rows.erase(Found);
    }
  }
  for (const auto &Item : Rows)
    BOOST_ERROR(Item.first + " is not known to the parser");
}

// Guards against an invalid example on the reference page.
BOOST_AUTO_TEST_CASE(ExampleOnTheReferencePageIsValid) {
  const std::string Page = pageText();
  const auto Begin = Page.find("```ini\n") + 7;
  const std::string Text = Page.substr(Begin, Page.find("```", Begin) - Begin);
  for (const Finding &Item : parseDocument("document.md", Text).Problems)
    BOOST_ERROR(toString(Item));
}
