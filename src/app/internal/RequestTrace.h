#ifndef LYCHEETHREAD_APP_INTERNAL_REQUESTTRACE_H
#define LYCHEETHREAD_APP_INTERNAL_REQUESTTRACE_H

#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace lycheethread::app {

/// One decision about a request, as a node logged it.
struct TraceStep {
  /// What stands before the event: time, level, and the node if a collector
  /// put it there.
  std::string Prefix;
  std::string Event;
  /// In the order of the line.
  std::vector<std::pair<std::string, std::string>> Fields;
};

/// The decisions about the request \p Id in the log output \p In, in the order
/// of the lines. Lines that are no decisions are passed over.
std::vector<TraceStep> traceOf(std::istream &In, const std::string &Id);

/// Lines for people.
std::string toText(const std::vector<TraceStep> &Steps);

/// A JSON list of objects.
std::string toJson(const std::vector<TraceStep> &Steps);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_REQUESTTRACE_H
