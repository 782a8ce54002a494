#include "moveowner/internal/Candidate.h"

#include <cstdint>
#include <string>

namespace lycheethread::moveowner {

namespace {

/// FNV-1a with a final mix, the same on every node.
std::uint64_t weightOf(const ServiceName &Service, const NodeId &Id) {
  std::uint64_t Hash = 14695981039346656037ULL;
  for (const char Letter : "moves/" + Service.str() + "/" + Id.str()) {
    Hash ^= static_cast<unsigned char>(Letter);
    Hash *= 1099511628211ULL;
  }
  Hash ^= Hash >> 33;
  Hash *= 0xff51afd7ed558ccdULL;
  Hash ^= Hash >> 33;
  return Hash;
}

} // namespace

std::optional<Member> firstCandidate(const std::vector<Member> &Members,
                                     const ServiceName &Service) {
  std::optional<Member> First;
  std::uint64_t Best = 0;
  for (const Member &Item : Members) {
    if (Item.Service != Service || Item.State != MemberState::Ready)
      continue;
    const std::uint64_t Weight = weightOf(Service, Item.Id);
    if (First && (Weight < Best || (Weight == Best && First->Id < Item.Id)))
      continue;
    First = Item;
    Best = Weight;
  }
  return First;
}

} // namespace lycheethread::moveowner
