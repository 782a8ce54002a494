#include "app/internal/RequestTrace.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <istream>
#include <optional>
#include <sstream>

namespace lycheethread::app {

namespace {

const std::string EventPrefix = "event=";
const std::string RequestField = "request";

/// Reads the value of a field at \p At, which is quoted if it contains spaces,
/// and moves \p At behind it.
std::string readValue(const std::string &Line, std::size_t &At) {
  const bool Quoted = At < Line.size() && Line[At] == '"';
  const std::size_t Begin = Quoted ? At + 1 : At;
  std::size_t End = Line.find(Quoted ? '"' : ' ', Begin);
  if (End == std::string::npos)
    End = Line.size();
  At = Quoted ? End + 1 : End;
  return Line.substr(Begin, End - Begin);
}

std::optional<TraceStep> parseLine(const std::string &Line) {
  const std::size_t EventBegin = Line.find(EventPrefix);
  if (EventBegin == std::string::npos)
    return std::nullopt;
  TraceStep Step;
  Step.Prefix = Line.substr(0, EventBegin);
  std::size_t At = EventBegin + EventPrefix.size();
  Step.Event = readValue(Line, At);
  while (At < Line.size()) {
    const std::size_t Begin = Line.find_first_not_of(' ', At);
    const std::size_t Equals =
        Begin == std::string::npos ? Begin : Line.find('=', Begin);
    if (Equals == std::string::npos)
      break;
    At = Equals + 1;
    const std::string Name = Line.substr(Begin, Equals - Begin);
    Step.Fields.emplace_back(Name, readValue(Line, At));
  }
  return Step;
}

bool concernsRequest(const TraceStep &Step, const std::string &Id) {
  for (const auto &[Name, Value] : Step.Fields)
    if (Name == RequestField)
      return Value == Id;
  return false;
}

} // namespace

std::vector<TraceStep> extractTrace(std::istream &In, const std::string &Id) {
  std::vector<TraceStep> Steps;
  std::string Line;
  while (std::getline(In, Line)) {
    // Skips lines without the id unparsed, because most lines of a log concern
    // other requests.
    if (Line.find(Id) == std::string::npos)
      continue;
    auto Step = parseLine(Line);
    if (Step && concernsRequest(*Step, Id))
      Steps.push_back(std::move(*Step));
  }
  return Steps;
}

std::string toText(const std::vector<TraceStep> &Steps) {
  std::string Text;
  for (const TraceStep &Step : Steps) {
    Text += Step.Prefix + Step.Event + "\n";
    for (const auto &[Name, Value] : Step.Fields)
      if (Name != RequestField)
        Text += "    " + Name + ": " + Value + "\n";
  }
  return Text;
}

std::string toJson(const std::vector<TraceStep> &Steps) {
  Poco::JSON::Array List;
  for (const TraceStep &Step : Steps) {
    Poco::JSON::Object Item(Poco::JSON_PRESERVE_KEY_ORDER);
    Item.set("prefix", Step.Prefix);
    Item.set("event", Step.Event);
    for (const auto &[Name, Value] : Step.Fields)
      Item.set(Name, Value);
    List.add(Item);
  }
  std::ostringstream Out;
  List.stringify(Out, 2);
  return Out.str() + "\n";
}

} // namespace lycheethread::app
