#ifndef LYCHEETHREAD_CONFIGCHECK_CONFIGCHECK_H
#define LYCHEETHREAD_CONFIGCHECK_CONFIGCHECK_H

/// Public header of the configcheck library: mistakes in a configuration of the
/// operator, and what differs between two. All functions are pure. No finding
/// and no difference shows a key.

#include "configcheck/types/CheckResult.h"
#include "configcheck/types/ParsedConfig.h"
#include "configcheck/types/StatedConfig.h"

namespace lycheethread::configcheck {

/// Returns what a node makes of \p Stated: of entries with the same name or
/// prefix it uses the last one.
mesh::MeshConfig meshConfigOf(StatedConfig Stated);

/// Returns all findings in the order of the text, including the problems of
/// \p Parsed itself.
CheckResult check(const ParsedConfig &Parsed, const KnownRegions &Regions);

/// Returns what \p Next changes of \p InForce. Order, spelling and entries
/// without effect make no difference. Both must be without problems.
Comparison compare(const ParsedConfig &Next, const ParsedConfig &InForce);

/// Formats a difference as one line.
std::string toString(const Difference &Item);

} // namespace lycheethread::configcheck

#endif // LYCHEETHREAD_CONFIGCHECK_CONFIGCHECK_H
