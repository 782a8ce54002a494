#ifndef LYCHEETHREAD_APP_INTERNAL_LOGGING_H
#define LYCHEETHREAD_APP_INTERNAL_LOGGING_H

#include <string>

namespace lycheethread::app {

/// Sends log lines to standard error as "time level part: text". \p Level is
/// one of trace, debug, info, warning, error.
void startLogging(const std::string &Level);

/// Starts logging to standard output. Writing never blocks: lines that an
/// unread output cannot take are dropped and counted.
void startStandardOutputLogging(const std::string &Level);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_LOGGING_H
