#include "Mutator.h"

namespace lycheethread::robustness {

Mutator::Mutator(std::uint64_t Seed) : Random_(Seed) {}

std::size_t Mutator::nextBelow(std::size_t Limit) { return Random_() % Limit; }

std::string Mutator::randomBytes(std::size_t MaxLength) {
  std::string Bytes(nextBelow(MaxLength + 1), '\0');
  for (char &Byte : Bytes)
    Byte = static_cast<char>(Random_());
  return Bytes;
}

std::string Mutator::mutate(std::string Valid) {
  for (std::size_t Changes = 1 + nextBelow(4); Changes > 0; --Changes)
    applyChange(Valid);
  return Valid;
}

void Mutator::applyChange(std::string &Text) {
  if (Text.empty())
    return;
  const std::size_t Index = nextBelow(Text.size());
  switch (nextBelow(6)) {
  case 0:
    Text[Index] = static_cast<char>(Random_());
    return;
  case 1:
    Text[Index] = static_cast<char>(Text[Index] ^ (1 << nextBelow(8)));
    return;
  case 2:
    Text.insert(Index, randomBytes(8));
    return;
  case 3:
    Text.erase(Index, 1 + nextBelow(16));
    return;
  case 4:
    Text.insert(Index, Text.substr(nextBelow(Text.size()), nextBelow(64)));
    return;
  default:
    Text.resize(Index);
  }
}

} // namespace lycheethread::robustness
