#include "model/Model.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lycheethread;

namespace {

const std::string ValidText = "[service]\n"
                              "name = desk\n"
                              "team = office\n"
                              "builds_on = 3\n"
                              "[limits]\n"
                              "slots = 13\n"
                              "[upstreams.main]\n"
                              "versions = v1, v2\n"
                              "[move.main]\n"
                              "from = v1\n"
                              "to = v2\n"
                              "finish_by = 2026-12-05T18:00:00Z\n"
                              "steps_percent = 0.5, 5, 100\n"
                              "step_seconds = 20\n"
                              "[uses.berths]\n"
                              "service = store\n"
                              "upstreams = berths\n"
                              "[resource.big]\n"
                              "max_body_bytes = 1000\n"
                              "[route.tickets]\n"
                              "path = /tickets\n"
                              "class = once-only\n"
                              "upstreams = main\n"
                              "timeout_ms = 2000 ; ms\n"
                              "resource = big\n";

std::string replaceOnce(const std::string &From, const std::string &To) {
  std::string Text = ValidText;
  const auto At = Text.find(From);
  BOOST_REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

/// Returns the findings for the valid document after a replacement.
Findings findingsWith(const std::string &From, const std::string &To) {
  return parseDocument("d.ini", replaceOnce(From, To)).Problems;
}

bool hasFinding(const Findings &Items, int Line, const std::string &Key) {
  return std::any_of(Items.begin(), Items.end(), [&](const Finding &Item) {
    return Item.Line == Line && Item.Key == Key && !Item.Problem.empty() &&
           !Item.Allowed.empty() && Item.File == "d.ini";
  });
}

} // namespace

// Guards against a key that is read into the wrong field or in the wrong unit.
BOOST_AUTO_TEST_CASE(ReadsEveryKey) {
  const ParsedDocument Parsed = parseDocument("d.ini", ValidText);
  BOOST_REQUIRE(Parsed.Problems.empty());
  const ServiceDocument &Document = Parsed.Document;
  BOOST_TEST(Document.Service == ServiceName("desk"));
  BOOST_TEST(Document.Team == TeamName("office"));
  BOOST_TEST(Document.BaseRevision == Revision(3));
  BOOST_TEST(Document.Limits.Slots == 13);
  BOOST_TEST(Document.Limits.Queue == 40);
  BOOST_TEST(Document.Groups.at(GroupName("main")).Versions.size() == 2);
  const MovePlan &Plan = Document.Moves.at(GroupName("main"));
  BOOST_TEST(Plan.FinishBy == WallTime(1796493600000));
  BOOST_TEST(Plan.Steps[0] == Permille(5));
  BOOST_TEST((Plan.StepDuration == Milliseconds(20000)));
  BOOST_TEST(Document.Uses.at("berths").Service == ServiceName("store"));
  const Route &Item = Document.Routes.at(RouteName("tickets"));
  BOOST_TEST((Item.Class == RequestClass::OnceOnly));
  BOOST_TEST((Item.Timeout == Milliseconds(2000)));
  BOOST_TEST((Item.Limit == ResourceName("big")));
}

// Guards against defaults in the schema, and therefore on the reference page,
// that differ from the defaults used when the section is absent.
BOOST_AUTO_TEST_CASE(SchemaDefaultsMatchServiceLimits) {
  const auto WithDefaults = parseDocument(
      "d.ini", replaceOnce("[limits]\nslots = 13\n", "[limits]\n"));
  BOOST_REQUIRE(WithDefaults.Problems.empty());
  const ServiceLimits &Read = WithDefaults.Document.Limits;
  const ServiceLimits Default;
  BOOST_TEST(Read.Slots == Default.Slots);
  BOOST_TEST(Read.Connections == Default.Connections);
  BOOST_TEST(Read.Queue == Default.Queue);
  BOOST_TEST(Read.CallerSharePercent == Default.CallerSharePercent);
  BOOST_TEST(Read.RetryBudgetPercent == Default.RetryBudgetPercent);
}

// Guards against a parser that stops at the first error, so that an operator
// has to publish repeatedly to see all of them.
BOOST_AUTO_TEST_CASE(ReportsAllErrorsOfATextTogether) {
  std::string Text = replaceOnce("name = desk", "name = Desk");
  Text += "[route.other]\npath = /tickets\nclass = fast\nupstreams = none\n"
          "colour = red\nresource = tiny\n[surprise]\n[limits]\n";
  const Findings Items = parseDocument("d.ini", Text).Problems;
  BOOST_TEST(hasFinding(Items, 2, "service.name"));
  BOOST_TEST(hasFinding(Items, 26, "route.other.timeout_ms"));
  BOOST_TEST((hasFinding(Items, 27, "route.other.path") ||
              hasFinding(Items, 21, "route.tickets.path")));
  BOOST_TEST(hasFinding(Items, 28, "route.other.class"));
  BOOST_TEST(hasFinding(Items, 29, "route.other.upstreams"));
  BOOST_TEST(hasFinding(Items, 30, "route.other.colour"));
  BOOST_TEST(hasFinding(Items, 31, "route.other.resource"));
  BOOST_TEST(hasFinding(Items, 32, "surprise"));
  BOOST_TEST(hasFinding(Items, 33, "limits"));
}

// Guards against out-of-range values that are applied as limits of a node.
BOOST_AUTO_TEST_CASE(ReportsInvalidValues) {
  BOOST_TEST(
      hasFinding(findingsWith("slots = 13", "slots = 0"), 6, "limits.slots"));
  BOOST_TEST(
      hasFinding(findingsWith("slots = 13", "slots = 1e3"), 6, "limits.slots"));
  BOOST_TEST(
      hasFinding(findingsWith("slots = 13", "slots = 99999999999999999999"), 6,
                 "limits.slots"));
  BOOST_TEST(
      hasFinding(findingsWith("slots = 13", "slots ="), 6, "limits.slots"));
  BOOST_TEST(hasFinding(findingsWith("slots = 13", "slots = 1\nslots = 2"), 7,
                        "limits.slots"));
  BOOST_TEST(
      hasFinding(findingsWith("builds_on = 3\n", ""), 1, "service.builds_on"));
  BOOST_TEST(hasFinding(findingsWith("path = /tickets", "path = tickets"), 21,
                        "route.tickets.path"));
  BOOST_TEST(hasFinding(findingsWith("path = /tickets", "path = /a/../b"), 21,
                        "route.tickets.path"));
  BOOST_TEST(
      hasFinding(findingsWith("[uses.berths]", "[uses._]"), 15, "uses._"));
  BOOST_TEST(hasFinding(findingsWith("service = store", "service = desk"), 16,
                        "uses.berths.service"));
}

// Guards against moves that the planner cannot execute.
BOOST_AUTO_TEST_CASE(ReportsInvalidMoves) {
  const std::string Steps = "move.main.steps_percent";
  const std::string Written = "steps_percent = 0.5, 5, 100";
  BOOST_TEST(hasFinding(findingsWith(Written, "steps_percent = 5, 5, 100"), 13,
                        Steps));
  BOOST_TEST(
      hasFinding(findingsWith(Written, "steps_percent = 1, 50"), 13, Steps));
  BOOST_TEST(
      hasFinding(findingsWith(Written, "steps_percent = 1, x"), 13, Steps));
  BOOST_TEST(
      hasFinding(findingsWith(Written, "steps_percent = 1, 101"), 13, Steps));
  BOOST_TEST(
      hasFinding(findingsWith("to = v2", "to = v3"), 11, "move.main.to"));
  BOOST_TEST(
      hasFinding(findingsWith("to = v2", "to = v1"), 11, "move.main.to"));
  BOOST_TEST(
      hasFinding(findingsWith("2026-12-05T18:00:00Z", "2026-02-30T18:00:00Z"),
                 12, "move.main.finish_by"));
  BOOST_TEST(
      hasFinding(findingsWith("2026-12-05T18:00:00Z", "2026-12-05 18:00"), 12,
                 "move.main.finish_by"));
  BOOST_TEST(
      hasFinding(findingsWith("[move.main]", "[move.side]"), 9, "move.side"));
  BOOST_TEST(hasFinding(findingsWith("[move.main]", "[move.side]"), 8,
                        "upstreams.main.versions"));
  BOOST_TEST(hasFinding(findingsWith("v1, v2", "v1, v2, v3"), 8,
                        "upstreams.main.versions"));
}
