#define BOOST_TEST_MODULE MovesText
#include "app/internal/MovesText.h"
#include "app/internal/Commands.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::app;

namespace {

moves::Move moveWith(const std::string &Id, moves::MoveStatus Status) {
  moves::Move Item;
  Item.Id = MoveId(Id);
  Item.Service = ServiceName(Id.substr(0, Id.find('/')));
  Item.Status = Status;
  Item.Reason = "a \"quoted\" reason";
  return Item;
}

moves::MoveTable sampleTable() {
  moves::MoveTable Table;
  Table.Ended.push_back(moveWith("desk/main/1", moves::MoveStatus::Finished));
  Table.Ended.push_back(moveWith("desk/main/2", moves::MoveStatus::Undone));
  const moves::Move Last = moveWith("shop/main/1", moves::MoveStatus::Running);
  Table.Running.emplace(Last.Id, Last);
  return Table;
}

} // namespace

// Guards against a script that takes an undone or unknown move for a finished
// one.
BOOST_AUTO_TEST_CASE(TheExitCodeTellsTheOutcome) {
  const moves::MoveTable Table = sampleTable();
  BOOST_TEST((exitCodeOf(Table, MoveId("desk/main/1")) == ExitOk));
  BOOST_TEST((exitCodeOf(Table, MoveId("desk/main/2")) == ExitRefused));
  BOOST_TEST((exitCodeOf(Table, MoveId("desk/main/9")) == ExitUnavailable));
  BOOST_TEST(!exitCodeOf(Table, MoveId("shop/main/1")).has_value());
}

// Guards against moves of other services in a filtered list, and against a
// reason that breaks the JSON.
BOOST_AUTO_TEST_CASE(TheListKeepsToItsService) {
  const auto Listed = listMoves(sampleTable(), ServiceName("desk"));
  BOOST_TEST(Listed.size() == 2U);
  BOOST_TEST(listMoves(sampleTable(), ServiceName()).size() == 3U);
  BOOST_TEST(movesJson(Listed).find("a \\\"quoted\\\" reason") !=
             std::string::npos);
  BOOST_TEST(movesTable(Listed).find("undone") != std::string::npos);
}
