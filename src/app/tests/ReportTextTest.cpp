#define BOOST_TEST_MODULE ReportText
#include "app/internal/RefusalsText.h"
#include "app/internal/StatusTable.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::app;

// Guards against ignoring the UTC offset of a time, and against silently
// ignoring an invalid time.
BOOST_AUTO_TEST_CASE(TimesAreParsedAsUtc) {
  BOOST_TEST(parseTime("2026-12-05T18:00:00Z").value() ==
             WallTime(1796493600000));
  BOOST_TEST(parseTime("2026-12-05T19:00:00+01:00").value() ==
             WallTime(1796493600000));
  BOOST_TEST(parseTime("1796493600000").value() == WallTime(1796493600000));
  BOOST_TEST(!parseTime("yesterday").has_value());
}

// Guards against a report without the gaps or the execution status.
BOOST_AUTO_TEST_CASE(ReportContainsExecutionStatusAndGaps) {
  refusals::RefusalReport Report;
  refusals::ReportRow Row;
  Row.Key = {CallerId("council"), ServiceName("s"), RouteName("orders"),
             RefusalReason::UpstreamTimeout, Executed::Unknown};
  Row.Refused.Count = 3;
  Report.Rows.push_back(Row);
  Report.Total = 3;
  Report.Gaps.push_back({NodeId("n1"), Incarnation(5),
                         refusals::GapCause::MissingBatches, WallTime(0),
                         WallTime(1000), 17});
  const std::string Table = refusalsTable(Report);
  for (const char *Part : {"council", "upstream-timeout", "unknown",
                           "gap: node n1", "17 refusals missing"})
    BOOST_TEST(Table.find(Part) != std::string::npos);
  const auto Json = Poco::JSON::Parser()
                        .parse(refusalsJson(Report, 2))
                        .extract<Poco::JSON::Object::Ptr>();
  BOOST_TEST(Json->getArray("gaps")->getObject(0)->getValue<int>("missing") ==
             17);
  BOOST_TEST(Json->getValue<int>("bad_records") == 2);
}

// Guards against a failure on the status of a node that lacks some services.
BOOST_AUTO_TEST_CASE(TableAcceptsPartialStatus) {
  const std::string Table = statusTable(
      R"({"node":"n1","members":[{"place":"r/z","states":{"ready":2}}]})");
  BOOST_TEST(Table.find("ready 2") != std::string::npos);
}
