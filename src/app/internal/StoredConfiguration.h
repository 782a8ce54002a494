#ifndef LYCHEETHREAD_APP_INTERNAL_STOREDCONFIGURATION_H
#define LYCHEETHREAD_APP_INTERNAL_STOREDCONFIGURATION_H

#include "settings/Settings.h"

#include <optional>
#include <stdexcept>
#include <string>

namespace lycheethread::app {

/// The configuration in force cannot be read from the store.
class StoreUnavailable : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Parses "host:port"; the host is a name or an IPv4 address. Returns nothing
/// for any other text.
std::optional<Endpoint> parseStoreAddress(const std::string &Text);

/// Returns the text of the configuration in force. Only reads from the store.
/// Throws StoreUnavailable if the store does not answer or holds none.
std::string readStoredConfiguration(const Endpoint &Store);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_STOREDCONFIGURATION_H
