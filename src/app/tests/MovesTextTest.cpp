#define BOOST_TEST_MODULE MovesText
#include "app/internal/MovesText.h"
#include "app/internal/Commands.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::app;

namespace {

moves::Move makeMove(const std::string &Id, moves::MoveStatus Status) {
  moves::Move Item;
  Item.Id = MoveId(Id);
  Item.Service = ServiceName(Id.substr(0, Id.find('/')));
  Item.Status = Status;
  Item.Reason = "a \"quoted\" reason";
  return Item;
}

moves::MoveTable sampleTable() {
  moves::MoveTable Table;
  Table.Ended.push_back(makeMove("desk/main/1", moves::MoveStatus::Finished));
  Table.Ended.push_back(makeMove("desk/main/2", moves::MoveStatus::Undone));
  const moves::Move RunningMove =
      makeMove("shop/main/1", moves::MoveStatus::Running);
  Table.Running.emplace(RunningMove.Id, RunningMove);
  return Table;
}

} // namespace

// Guards against a script treating an undone or unknown move as finished.
BOOST_AUTO_TEST_CASE(ExitCodeReflectsTheOutcome) {
  const moves::MoveTable Table = sampleTable();
  BOOST_TEST((exitCodeOf(Table, MoveId("desk/main/1")) == ExitOk));
  BOOST_TEST((exitCodeOf(Table, MoveId("desk/main/2")) == ExitRefused));
  BOOST_TEST((exitCodeOf(Table, MoveId("desk/main/9")) == ExitUnavailable));
  BOOST_TEST(!exitCodeOf(Table, MoveId("shop/main/1")).has_value());
}

// Guards against moves of other services in a filtered list, and against
// invalid JSON when a reason contains quotes.
BOOST_AUTO_TEST_CASE(ListIsFilteredByService) {
  const auto Listed = listMoves(sampleTable(), ServiceName("desk"));
  BOOST_TEST(Listed.size() == 2U);
  BOOST_TEST(listMoves(sampleTable(), ServiceName()).size() == 3U);
  BOOST_TEST(movesJson(Listed).find("a \\\"quoted\\\" reason") !=
             std::string::npos);
  BOOST_TEST(movesTable(Listed).find("undone") != std::string::npos);
}
