#include "Mutator.h"

namespace lycheethread::robustness {

Mutator::Mutator(std::uint64_t Seed) : Random_(Seed) {}

std::size_t Mutator::below(std::size_t Limit) { return Random_() % Limit; }

std::string Mutator::randomBytes(std::size_t MaxLength) {
  std::string Bytes(below(MaxLength + 1), '\0');
  for (char &Byte : Bytes)
    Byte = static_cast<char>(Random_());
  return Bytes;
}

std::string Mutator::mutated(std::string Good) {
  for (std::size_t Changes = 1 + below(4); Changes > 0; --Changes)
    change(Good);
  return Good;
}

void Mutator::change(std::string &Text) {
  if (Text.empty())
    return;
  const std::size_t At = below(Text.size());
  switch (below(6)) {
  case 0:
    Text[At] = static_cast<char>(Random_());
    return;
  case 1:
    Text[At] = static_cast<char>(Text[At] ^ (1 << below(8)));
    return;
  case 2:
    Text.insert(At, randomBytes(8));
    return;
  case 3:
    Text.erase(At, 1 + below(16));
    return;
  case 4:
    Text.insert(At, Text.substr(below(Text.size()), below(64)));
    return;
  default:
    Text.resize(At);
  }
}

} // namespace lycheethread::robustness
