#include "refusallog/internal/CollectorOrder.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

namespace lycheethread::refusallog {

namespace {

/// FNV-1a with a final mix; std::hash may differ between two builds, and nodes
/// of different builds must agree.
std::uint64_t weightOf(const std::string &Text) {
  std::uint64_t Hash = 14695981039346656037U;
  for (const char Each : Text)
    Hash = (Hash ^ static_cast<unsigned char>(Each)) * 1099511628211U;
  Hash = (Hash ^ (Hash >> 33U)) * 0xff51afd7ed558ccdU;
  return Hash ^ (Hash >> 33U);
}

} // namespace

std::vector<Member> collectorOrder(const std::vector<Member> &Members,
                                   const Place &At) {
  std::vector<std::pair<std::uint64_t, Member>> Weighted;
  for (const Member &Each : Members)
    if (Each.State == MemberState::Ready && Each.At.In == At.In &&
        Each.At.Zone == At.Zone)
      Weighted.emplace_back(
          weightOf("refusals/" + At.Zone.str() + "/" + Each.Id.str()), Each);
  std::sort(Weighted.begin(), Weighted.end(), [](const auto &L, const auto &R) {
    return L.first != R.first ? L.first > R.first : L.second.Id < R.second.Id;
  });
  std::vector<Member> Ordered;
  for (auto &Entry : Weighted)
    Ordered.push_back(std::move(Entry.second));
  return Ordered;
}

} // namespace lycheethread::refusallog
