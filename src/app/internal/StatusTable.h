#ifndef LYCHEETHREAD_APP_INTERNAL_STATUSTABLE_H
#define LYCHEETHREAD_APP_INTERNAL_STATUSTABLE_H

#include <string>

namespace lycheethread::app {

/// The status document of the admin endpoint for people; throws
/// Poco::Exception when \p Json is not one.
std::string statusTable(const std::string &Json);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_STATUSTABLE_H
