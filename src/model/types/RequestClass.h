#ifndef LYCHEETHREAD_MODEL_TYPES_REQUESTCLASS_H
#define LYCHEETHREAD_MODEL_TYPES_REQUESTCLASS_H

#include <optional>
#include <string_view>

namespace lycheethread {

/// Determines whether the requests of a route may be retried.
enum class RequestClass {
  /// Idempotent: may be executed more than once.
  Repeatable,
  /// Executed at most once.
  OnceOnly,
  /// Has a large streamed body; executed at most once.
  Upload,
};

/// Returns the name used in documents and headers: "repeatable", "once-only" or
/// "upload".
std::string_view toString(RequestClass Class);

/// Parses the name of a class; returns nothing for an unknown name.
std::optional<RequestClass> parseRequestClass(std::string_view Text);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_REQUESTCLASS_H
