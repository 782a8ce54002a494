#include "app/internal/StatusTable.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <iomanip>
#include <sstream>

namespace lycheethread::app {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr double MicrosecondsPerMillisecond = 1000;
constexpr int NameWidth = 28;
constexpr int NumberWidth = 12;

/// Returns the field as text, or "-" if it does not exist.
std::string fieldText(const Object::Ptr &From, const std::string &Key) {
  return From->has(Key) ? From->get(Key).toString() : "-";
}

/// Calls \p Visit for each object of the array \p Key, if the array exists.
template <typename Function>
void forEachRow(const Object::Ptr &From, const std::string &Key,
                const Function &Visit) {
  const Array::Ptr Rows = From->getArray(Key);
  for (std::size_t I = 0; Rows && I < Rows->size(); ++I)
    Visit(Rows->getObject(static_cast<unsigned>(I)));
}

void writeNode(std::ostream &Out, const Object::Ptr &Status) {
  Out << "node        " << fieldText(Status, "node") << "  "
      << fieldText(Status, "region") << "/" << fieldText(Status, "zone") << "  "
      << fieldText(Status, "state") << "\n";
  Out << "upstream    " << fieldText(Status, "service") << "/"
      << fieldText(Status, "group") << " " << fieldText(Status, "version")
      << "\n";
  if (const Object::Ptr Config = Status->getObject("config"))
    Out << "config      position " << fieldText(Config, "position")
        << ", newest record " << fieldText(Config, "newest_record_age_ms")
        << " ms old\n";
  Out << "in progress " << fieldText(Status, "requests_in_progress") << "\n";
}

void writeMembers(std::ostream &Out, const Object::Ptr &Status) {
  Out << "\nmembers\n";
  forEachRow(Status, "members", [&Out](const Object::Ptr &Row) {
    Out << "  " << std::left << std::setw(NameWidth) << fieldText(Row, "place");
    const Object::Ptr States = Row->getObject("states");
    for (const std::string &State : States->getNames())
      Out << " " << State << " " << fieldText(States, State);
    Out << "\n";
  });
}

void writeDocuments(std::ostream &Out, const Object::Ptr &Status) {
  Out << "\ndocuments\n";
  forEachRow(Status, "documents", [&Out](const Object::Ptr &Row) {
    Out << "  " << std::left << std::setw(NameWidth)
        << fieldText(Row, "service") << " revision "
        << fieldText(Row, "revision") << "\n";
  });
}

void writeMoves(std::ostream &Out, const Object::Ptr &Status) {
  Out << "\nmoves\n";
  forEachRow(Status, "moves", [&Out](const Object::Ptr &Row) {
    Out << "  " << std::left << std::setw(NameWidth) << fieldText(Row, "id")
        << " " << fieldText(Row, "from") << " -> " << fieldText(Row, "to")
        << "  " << fieldText(Row, "share_permille") << " permille  "
        << fieldText(Row, "status");
    if (!fieldText(Row, "reason").empty())
      Out << "  " << fieldText(Row, "reason");
    Out << "\n";
  });
  if (const Array::Ptr Stopped = Status->getArray("stopped_moves"))
    for (std::size_t I = 0; I < Stopped->size(); ++I)
      Out << "  stopped here: "
          << Stopped->getElement<std::string>(static_cast<unsigned>(I)) << "\n";
}

void writeRefusals(std::ostream &Out, const Object::Ptr &Status) {
  const Object::Ptr Refusals = Status->getObject("refusals");
  if (!Refusals)
    return;
  Out << "\nrefusals (" << fieldText(Refusals, "unshipped")
      << " not yet in the log)\n";
  forEachRow(Refusals, "totals", [&Out](const Object::Ptr &Row) {
    Out << "  " << std::left << std::setw(NameWidth) << fieldText(Row, "reason")
        << " executed " << std::setw(NumberWidth) << fieldText(Row, "executed")
        << std::right << std::setw(NumberWidth) << fieldText(Row, "count")
        << "\n";
  });
}

void writeQuantiles(std::ostream &Out, const Object::Ptr &Status) {
  Out << "\n  " << std::left << std::setw(NameWidth) << "caller"
      << std::setw(NumberWidth) << "class" << std::setw(NumberWidth) << "hop"
      << std::right << std::setw(NumberWidth) << "requests"
      << std::setw(NumberWidth) << "p50 ms" << std::setw(NumberWidth)
      << "p99 ms" << std::setw(NumberWidth) << "max ms"
      << "\n";
  forEachRow(Status, "quantiles", [&Out](const Object::Ptr &Row) {
    const Object::Ptr Latency = Row->getObject("latency_us");
    Out << "  " << std::left << std::setw(NameWidth) << fieldText(Row, "caller")
        << std::setw(NumberWidth) << fieldText(Row, "class")
        << std::setw(NumberWidth) << fieldText(Row, "hop") << std::right
        << std::setw(NumberWidth) << fieldText(Row, "count") << std::fixed
        << std::setprecision(2);
    for (const char *Key : {"p50", "p99", "max"})
      Out << std::setw(NumberWidth)
          << Latency->getValue<double>(Key) / MicrosecondsPerMillisecond;
    Out << "\n";
  });
}

} // namespace

std::string statusTable(const std::string &Json) {
  const auto Status = Poco::JSON::Parser().parse(Json).extract<Object::Ptr>();
  std::ostringstream Out;
  writeNode(Out, Status);
  writeMembers(Out, Status);
  writeDocuments(Out, Status);
  writeMoves(Out, Status);
  writeRefusals(Out, Status);
  writeQuantiles(Out, Status);
  return Out.str();
}

} // namespace lycheethread::app
