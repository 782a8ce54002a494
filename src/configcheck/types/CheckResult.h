#ifndef LYCHEETHREAD_CONFIGCHECK_TYPES_CHECKRESULT_H
#define LYCHEETHREAD_CONFIGCHECK_TYPES_CHECKRESULT_H

#include "model/Model.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheethread::configcheck {

struct CheckResult {
  /// Mistakes: a node rejects the configuration, or some entry cannot be meant.
  Findings Errors;
  /// Entries that have no effect, and limits that contradict each other.
  Findings Warnings;
};

/// The regions of a deployment; empty if they are not known.
using KnownRegions = std::optional<std::set<Region>>;

/// A difference in meaning between two configurations.
struct Difference {
  /// What differs, such as "route r-1".
  std::string Subject;
  /// "added" or "removed" for a whole entry, otherwise the field.
  std::string Field;
  /// Empty for an entry that was added.
  std::string From;
  /// Empty for an entry that was removed.
  std::string To;
};

struct Comparison {
  std::vector<Difference> Differences;
  /// The version is not above the one in force.
  Findings Errors;
};

} // namespace lycheethread::configcheck

#endif // LYCHEETHREAD_CONFIGCHECK_TYPES_CHECKRESULT_H
