#ifndef LYCHEETHREAD_ORGANISATIONS_TYPES_KEYTABLE_H
#define LYCHEETHREAD_ORGANISATIONS_TYPES_KEYTABLE_H

#include "organisations/types/Organisation.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace lycheethread::organisations {

/// A key as the configuration states it.
struct StatedKey {
  std::string Text;
  /// Index of the organisation in the list of the configuration.
  std::size_t Holder = 0;
};

/// Random text of one process, with which keys are digested.
using DigestSecret = StrongId<struct DigestSecretTag>;

/// The holders of all keys, by keyed digest.
struct KeyTable {
  DigestSecret Secret;
  std::unordered_map<std::string, std::size_t> Holders;
};

} // namespace lycheethread::organisations

#endif // LYCHEETHREAD_ORGANISATIONS_TYPES_KEYTABLE_H
