#ifndef LYCHEETHREAD_APP_INTERNAL_REQUESTTRACE_H
#define LYCHEETHREAD_APP_INTERNAL_REQUESTTRACE_H

#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace lycheethread::app {

/// A decision about a request that a node logged.
struct TraceStep {
  /// The text before the event: the time and the level, and the node if a log
  /// collector added it.
  std::string Prefix;
  std::string Event;
  /// Names and values, in the order of the line.
  std::vector<std::pair<std::string, std::string>> Fields;
};

/// Returns the decisions about the request \p Id in the log output \p In, in
/// the order of the lines. Ignores lines that do not log a decision.
std::vector<TraceStep> extractTrace(std::istream &In, const std::string &Id);

/// Formats the steps as readable text.
std::string toText(const std::vector<TraceStep> &Steps);

/// Formats the steps as a JSON array of objects.
std::string toJson(const std::vector<TraceStep> &Steps);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_REQUESTTRACE_H
