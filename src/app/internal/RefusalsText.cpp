#include "app/internal/RefusalsText.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/NumberParser.h>
#include <Poco/RegularExpression.h>
#include <Poco/Timestamp.h>

#include <iomanip>
#include <sstream>

namespace lycheethread::app {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using refusals::RefusalReport;
using refusals::ReportGap;
using refusals::ReportRow;

constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
constexpr int NameWidth = 26;
constexpr int CodeWidth = 18;
constexpr int CountWidth = 9;

std::string timeText(WallTime At) {
  return Poco::DateTimeFormatter::format(
      Poco::Timestamp(At.value() * MicrosecondsPerMillisecond),
      Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
}

void writeRow(std::ostream &Out, const ReportRow &Row) {
  Out << std::left << std::setw(NameWidth) << Row.Key.Caller.str() << " "
      << std::setw(NameWidth) << Row.Key.Service.str() << " "
      << std::setw(CodeWidth) << Row.Key.Route.str() << " "
      << std::setw(CodeWidth) << toString(Row.Key.Reason) << " "
      << std::setw(CountWidth) << toString(Row.Key.ExecutionStatus)
      << std::right << std::setw(CountWidth) << Row.Refused.Count << "  "
      << timeText(Row.Refused.First) << "  " << timeText(Row.Refused.Last);
  for (const RefusalId &Sample : Row.Refused.Samples)
    Out << " " << Sample;
  if (Row.AtEdge > 0)
    Out << "  (" << Row.AtEdge << " in batches across the edge of the times)";
  Out << "\n";
}

void writeGap(std::ostream &Out, const ReportGap &Gap) {
  Out << "gap: node " << Gap.Node << " life " << Gap.IncarnationNumber << " "
      << toString(Gap.Cause) << " from " << timeText(Gap.From) << " to "
      << timeText(Gap.To) << ", "
      << (Gap.Missing ? std::to_string(*Gap.Missing) : "unknown")
      << " refusals missing\n";
}

Object rowJson(const ReportRow &Row) {
  Object Out(Poco::JSON_PRESERVE_KEY_ORDER);
  Out.set("caller", Row.Key.Caller.str());
  Out.set("service", Row.Key.Service.str());
  Out.set("route", Row.Key.Route.str());
  Out.set("class", std::string(toString(Row.Refused.Class)));
  Out.set("reason", std::string(toString(Row.Key.Reason)));
  Out.set("executed", std::string(toString(Row.Key.ExecutionStatus)));
  Out.set("count", Row.Refused.Count);
  Out.set("at_edge", Row.AtEdge);
  Out.set("first", timeText(Row.Refused.First));
  Out.set("last", timeText(Row.Refused.Last));
  Out.set("config_position", Row.Refused.ConfigPosition.value());
  Array Samples;
  for (const RefusalId &Sample : Row.Refused.Samples)
    Samples.add(Sample.str());
  Out.set("samples", Samples);
  return Out;
}

Object gapJson(const ReportGap &Gap) {
  Object Out(Poco::JSON_PRESERVE_KEY_ORDER);
  Out.set("node", Gap.Node.str());
  Out.set("life", Gap.IncarnationNumber.value());
  Out.set("cause", std::string(toString(Gap.Cause)));
  Out.set("from", timeText(Gap.From));
  Out.set("to", timeText(Gap.To));
  if (Gap.Missing)
    Out.set("missing", *Gap.Missing);
  return Out;
}

} // namespace

std::optional<WallTime> parseTime(const std::string &Text) {
  Poco::Int64 Millis = 0;
  if (Poco::NumberParser::tryParse64(Text, Millis))
    return WallTime(Millis);
  // Checks the whole text first, because Poco::DateTimeParser accepts a valid
  // prefix and ignores the rest.
  static const Poco::RegularExpression Iso8601Pattern(
      R"(^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)$)");
  Poco::DateTime Parsed;
  int ZoneOffset = 0;
  if (!Iso8601Pattern.match(Text) ||
      !Poco::DateTimeParser::tryParse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT,
                                      Text, Parsed, ZoneOffset))
    return std::nullopt;
  Parsed.makeUTC(ZoneOffset);
  return WallTime(Parsed.timestamp().epochMicroseconds() /
                  MicrosecondsPerMillisecond);
}

std::string refusalsTable(const RefusalReport &Report) {
  std::ostringstream Out;
  Out << std::left << std::setw(NameWidth) << "caller"
      << " " << std::setw(NameWidth) << "service"
      << " " << std::setw(CodeWidth) << "route"
      << " " << std::setw(CodeWidth) << "reason"
      << " " << std::setw(CountWidth) << "executed" << std::right
      << std::setw(CountWidth) << "count"
      << "  first, last, samples\n";
  for (const ReportRow &Row : Report.Rows)
    writeRow(Out, Row);
  Out << "total " << Report.Total << ", gaps " << Report.Gaps.size() << "\n";
  for (const ReportGap &Gap : Report.Gaps)
    writeGap(Out, Gap);
  return Out.str();
}

std::string refusalsJson(const RefusalReport &Report, std::int64_t BadRecords) {
  Array Rows;
  for (const ReportRow &Row : Report.Rows)
    Rows.add(rowJson(Row));
  Array Gaps;
  for (const ReportGap &Gap : Report.Gaps)
    Gaps.add(gapJson(Gap));
  Object Out(Poco::JSON_PRESERVE_KEY_ORDER);
  Out.set("total", Report.Total);
  Out.set("bad_records", BadRecords);
  Out.set("refusals", Rows);
  Out.set("gaps", Gaps);
  std::ostringstream Text;
  Out.stringify(Text, 1);
  return Text.str() + "\n";
}

} // namespace lycheethread::app
