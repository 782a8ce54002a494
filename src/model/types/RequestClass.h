#ifndef LYCHEETHREAD_MODEL_TYPES_REQUESTCLASS_H
#define LYCHEETHREAD_MODEL_TYPES_REQUESTCLASS_H

#include <optional>
#include <string_view>

namespace lycheethread {

/// How a route's requests may be treated.
enum class RequestClass {
  /// May run more than once.
  Repeatable,
  /// Runs at most once.
  OnceOnly,
  /// Large streamed body, runs at most once.
  Upload,
};

/// The name used in documents and headers: repeatable, once-only, upload.
std::string_view toString(RequestClass Class);

/// Empty when \p Text is not one of the names.
std::optional<RequestClass> parseRequestClass(std::string_view Text);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_REQUESTCLASS_H
