#ifndef LYCHEETHREAD_APP_INTERNAL_REFUSALSTEXT_H
#define LYCHEETHREAD_APP_INTERNAL_REFUSALSTEXT_H

#include "refusals/Refusals.h"

#include <optional>
#include <string>

namespace lycheethread::app {

/// Parses a point in time in ISO 8601 form, such as "2026-12-05T18:00:00Z", or
/// in milliseconds since the Unix epoch; empty when \p Text is neither.
std::optional<WallTime> parseTime(const std::string &Text);

/// Formats the report as a table: one line for each key, then the total and the
/// gaps.
std::string refusalsTable(const refusals::RefusalReport &Report);

/// Formats the report as a JSON object with the arrays "refusals" and "gaps".
std::string refusalsJson(const refusals::RefusalReport &Report,
                         std::int64_t BadRecords);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_REFUSALSTEXT_H
