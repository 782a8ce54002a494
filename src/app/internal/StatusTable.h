#ifndef LYCHEETHREAD_APP_INTERNAL_STATUSTABLE_H
#define LYCHEETHREAD_APP_INTERNAL_STATUSTABLE_H

#include <string>

namespace lycheethread::app {

/// Formats the status document of the admin endpoint as tables. Throws
/// Poco::Exception when \p Json is not such a document.
std::string statusTable(const std::string &Json);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_STATUSTABLE_H
