#ifndef LYCHEETHREAD_SETTINGS_SETTINGS_H
#define LYCHEETHREAD_SETTINGS_SETTINGS_H

/// Public header of the settings library: parses and checks the settings file
/// of a node.

#include "settings/types/NodeSettings.h"
#include "settings/types/SidecarSettings.h"

#include <optional>

namespace lycheethread::settings {

/// Settings of a node; valid only when Problems is empty.
struct ParsedSettings {
  NodeSettings Settings;
  Findings Problems;
};

/// Returns all sections and keys of a settings file.
const std::vector<SectionRule> &settingsSchema();

/// Parses and checks a settings file. Reports errors as findings, never throws.
ParsedSettings parseNodeSettings(const std::string &FileName,
                                 const std::string &Text);

/// Settings of a node on a platform; valid only when Problems is empty.
struct ParsedSidecarSettings {
  SidecarSettings Settings;
  Findings Problems;
};

/// Returns all sections and keys of the settings file of a node on a platform.
const std::vector<SectionRule> &sidecarSchema();

/// Parses and checks a settings file. Reports errors as findings, never throws.
ParsedSidecarSettings parseSidecarSettings(const std::string &FileName,
                                           const std::string &Text);

/// Returns whether \p Text has the section [store], which only the settings of
/// a node on a platform have.
bool isForSidecar(const std::string &Text);

/// Parses "ip:port"; returns nothing when malformed or not an IP address.
std::optional<Endpoint> parseEndpoint(const std::string &Text);

/// Returns "ip:port".
std::string toString(const Endpoint &At);

} // namespace lycheethread::settings

#endif // LYCHEETHREAD_SETTINGS_SETTINGS_H
