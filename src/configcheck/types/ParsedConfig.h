#ifndef LYCHEETHREAD_CONFIGCHECK_TYPES_PARSEDCONFIG_H
#define LYCHEETHREAD_CONFIGCHECK_TYPES_PARSEDCONFIG_H

#include "configcheck/types/StatedConfig.h"

#include <map>

namespace lycheethread::configcheck {

/// A configuration file as far as it can be read.
struct ParsedConfig {
  std::string File;
  StatedConfig Config;
  /// Everything for which a node rejects the configuration. The fields in
  /// question have default values in Config.
  Findings Problems;
  /// Numbers that nodes use in another form than stated.
  Findings Adjusted;
  /// Line of each place, from 1.
  std::map<Place, int> Lines;
};

} // namespace lycheethread::configcheck

#endif // LYCHEETHREAD_CONFIGCHECK_TYPES_PARSEDCONFIG_H
