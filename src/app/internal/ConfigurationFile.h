#ifndef LYCHEETHREAD_APP_INTERNAL_CONFIGURATIONFILE_H
#define LYCHEETHREAD_APP_INTERNAL_CONFIGURATIONFILE_H

#include "configcheck/ConfigCheck.h"

#include <optional>
#include <string>

namespace lycheethread::app {

/// Reads the file at \p Path if it is a configuration in the platform's format:
/// its first character that is not blank is '{'. Returns nothing for any other
/// file, also for one that cannot be read.
std::optional<configcheck::ParsedConfig>
readConfigurationFile(const std::string &Path);

/// Parses "zone=region,zone=region" into the regions. Throws
/// std::invalid_argument for any other text.
std::set<Region> parseZones(const std::string &Text);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_CONFIGURATIONFILE_H
