#include "organisations/Organisations.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <utility>

namespace lycheethread::organisations {

namespace {

/// POCO's HMAC takes the sizes from its engine, by these names, and SHA2Engine
/// does not state them.
struct Sha256 : Poco::SHA2Engine {
  // NOLINTNEXTLINE(readability-identifier-naming)
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };
};

std::string digestOf(const DigestSecret &Secret, const std::string &Key) {
  Poco::HMACEngine<Sha256> Engine(Secret.str());
  Engine.update(Key);
  const Poco::DigestEngine::Digest &Digest = Engine.digest();
  return {Digest.begin(), Digest.end()};
}

} // namespace

KeyTable makeKeyTable(const std::vector<StatedKey> &Keys, DigestSecret Secret) {
  KeyTable Table;
  Table.Secret = std::move(Secret);
  for (const StatedKey &Key : Keys)
    Table.Holders.emplace(digestOf(Table.Secret, Key.Text), Key.Holder);
  return Table;
}

// The digest of a guessed key is not predictable without the secret, so the
// time that a comparison takes says nothing about the stored keys.
std::optional<std::size_t> findHolder(const KeyTable &Table,
                                      const std::string &Key) {
  const auto Found = Table.Holders.find(digestOf(Table.Secret, Key));
  return Found == Table.Holders.end() ? std::nullopt
                                      : std::optional(Found->second);
}

} // namespace lycheethread::organisations
