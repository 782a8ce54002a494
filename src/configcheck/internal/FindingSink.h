#ifndef LYCHEETHREAD_CONFIGCHECK_INTERNAL_FINDINGSINK_H
#define LYCHEETHREAD_CONFIGCHECK_INTERNAL_FINDINGSINK_H

#include "configcheck/ConfigCheck.h"

namespace lycheethread::configcheck {

/// Returns the line of the value at \p At, or of what contains it if it is
/// missing.
int lineOf(const ParsedConfig &Parsed, Place At);

/// Replaces control characters, which names in a text may have; each finding
/// and difference is one line.
std::string inOneLine(std::string Text);

/// Collects the findings of one file.
struct FindingSink {
  const ParsedConfig &From;
  CheckResult &Into;

  void error(const Place &At, const std::string &Problem,
             const std::string &Allowed) const;
  void warning(const Place &At, const std::string &Problem,
               const std::string &Allowed) const;

private:
  void add(Findings &List, const Place &At, const std::string &Problem,
           const std::string &Allowed) const;
};

/// Names, prefixes, references and keys.
void checkEntries(const StatedConfig &Config, const FindingSink &Sink);
/// Times, weights, attempts, sizes and quotas.
void checkLimits(const StatedConfig &Config, const FindingSink &Sink);
void checkRegions(const StatedConfig &Config, const KnownRegions &Regions,
                  const FindingSink &Sink);

} // namespace lycheethread::configcheck

#endif // LYCHEETHREAD_CONFIGCHECK_INTERNAL_FINDINGSINK_H
