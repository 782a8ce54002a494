#ifndef LYCHEETHREAD_APP_INTERNAL_LOGGING_H
#define LYCHEETHREAD_APP_INTERNAL_LOGGING_H

#include <string>

namespace lycheethread::app {

/// Starts logging to standard error, in lines of the form "time level part:
/// text". \p Level is one of trace, debug, info, warning, error.
void startLogging(const std::string &Level);

/// Starts logging to standard output. Writing never blocks: when the reader
/// does not keep up and the buffer is full, lines are dropped and counted.
void startStandardOutputLogging(const std::string &Level);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_LOGGING_H
