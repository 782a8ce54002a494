#ifndef LYCHEETHREAD_SETTINGS_SETTINGS_H
#define LYCHEETHREAD_SETTINGS_SETTINGS_H

/// Public header of the settings library: checked settings of a node.

#include "settings/types/NodeSettings.h"
#include "settings/types/SidecarSettings.h"

#include <optional>

namespace lycheethread::settings {

/// Settings of a node; valid only when there are no problems.
struct ParsedSettings {
  NodeSettings Settings;
  Findings Problems;
};

/// Every section and key that a settings file may have.
const std::vector<SectionRule> &settingsSchema();

/// Reads and checks a settings file; throws nothing for any text.
ParsedSettings parseNodeSettings(const std::string &FileName,
                                 const std::string &Text);

/// Settings of a node on a platform; valid only when there are no problems.
struct ParsedSidecarSettings {
  SidecarSettings Settings;
  Findings Problems;
};

/// Every section and key of a node on a platform.
const std::vector<SectionRule> &sidecarSchema();

/// Reads and checks a settings file; throws nothing for any text.
ParsedSidecarSettings parseSidecarSettings(const std::string &FileName,
                                           const std::string &Text);

/// Whether \p Text has the section [store], which only the settings of a node
/// on a platform have.
bool isForSidecar(const std::string &Text);

/// "ip:port"; empty when malformed or not an IP number.
std::optional<Endpoint> parseEndpoint(const std::string &Text);

/// "ip:port".
std::string toString(const Endpoint &At);

} // namespace lycheethread::settings

#endif // LYCHEETHREAD_SETTINGS_SETTINGS_H
