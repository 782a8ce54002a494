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

std::string text(const Object::Ptr &From, const std::string &Key) {
  return From->has(Key) ? From->get(Key).toString() : "-";
}

/// Calls \p Row for each object of the array, if there is one.
template <typename Function>
void forEachRow(const Object::Ptr &From, const std::string &Key,
                const Function &Row) {
  const Array::Ptr Rows = From->getArray(Key);
  for (std::size_t I = 0; Rows && I < Rows->size(); ++I)
    Row(Rows->getObject(static_cast<unsigned>(I)));
}

void writeNode(std::ostream &Out, const Object::Ptr &Status) {
  Out << "node        " << text(Status, "node") << "  "
      << text(Status, "region") << "/" << text(Status, "zone") << "  "
      << text(Status, "state") << "\n";
  Out << "upstream    " << text(Status, "service") << "/"
      << text(Status, "group") << " " << text(Status, "version") << "\n";
  if (const Object::Ptr Config = Status->getObject("config"))
    Out << "config      position " << text(Config, "position")
        << ", newest record " << text(Config, "newest_record_age_ms")
        << " ms old\n";
  Out << "in progress " << text(Status, "requests_in_progress") << "\n";
}

void writeMembers(std::ostream &Out, const Object::Ptr &Status) {
  Out << "\nmembers\n";
  forEachRow(Status, "members", [&Out](const Object::Ptr &Row) {
    Out << "  " << std::left << std::setw(NameWidth) << text(Row, "place");
    const Object::Ptr States = Row->getObject("states");
    for (const std::string &State : States->getNames())
      Out << " " << State << " " << text(States, State);
    Out << "\n";
  });
}

void writeDocuments(std::ostream &Out, const Object::Ptr &Status) {
  Out << "\ndocuments\n";
  forEachRow(Status, "documents", [&Out](const Object::Ptr &Row) {
    Out << "  " << std::left << std::setw(NameWidth) << text(Row, "service")
        << " revision " << text(Row, "revision") << "\n";
  });
}

void writeMoves(std::ostream &Out, const Object::Ptr &Status) {
  Out << "\nmoves\n";
  forEachRow(Status, "moves", [&Out](const Object::Ptr &Row) {
    Out << "  " << std::left << std::setw(NameWidth) << text(Row, "id") << " "
        << text(Row, "from") << " -> " << text(Row, "to") << "  "
        << text(Row, "share_permille") << " permille  " << text(Row, "status");
    if (!text(Row, "reason").empty())
      Out << "  " << text(Row, "reason");
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
  Out << "\nrefusals (" << text(Refusals, "unshipped")
      << " not yet in the log)\n";
  forEachRow(Refusals, "totals", [&Out](const Object::Ptr &Row) {
    Out << "  " << std::left << std::setw(NameWidth) << text(Row, "reason")
        << " executed " << std::setw(NumberWidth) << text(Row, "executed")
        << std::right << std::setw(NumberWidth) << text(Row, "count") << "\n";
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
    Out << "  " << std::left << std::setw(NameWidth) << text(Row, "caller")
        << std::setw(NumberWidth) << text(Row, "class")
        << std::setw(NumberWidth) << text(Row, "hop") << std::right
        << std::setw(NumberWidth) << text(Row, "count") << std::fixed
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
