#include "mesh/Mesh.h"

namespace lycheethread::mesh {

namespace {

/// Check-ins missed before an upstream counts as silent.
constexpr int MissedCheckIns = 3;
constexpr std::size_t MaxLeftKept = 64;
/// Check-ins arrive seconds late. A start whose time of birth is not known
/// counts as left for this long only, since clocks differ by seconds and a new
/// start may have the same id.
constexpr Milliseconds UnknownLeftKept{30000};

bool isNewer(const Registration &Known, const CheckIn &Item) {
  if (Known.Now.Id.empty())
    return true;
  if (Item.From.StartedAtUnixMs != Known.Now.StartedAtUnixMs)
    return Item.From.StartedAtUnixMs > Known.Now.StartedAtUnixMs;
  return Item.From.Id == Known.Now.Id && Item.Number > Known.Number;
}

} // namespace

bool applyCheckIn(Registration &Known, const CheckIn &Item, SteadyTime Now) {
  const auto Left = Known.Left.find(Item.From.Id);
  if (Left != Known.Left.end() &&
      Item.From.StartedAtUnixMs <= Left->second.StartedUpTo &&
      (!Left->second.Until || Now < *Left->second.Until))
    return false;
  if (!isNewer(Known, Item))
    return false;
  const bool SameStart = Item.From.Id == Known.Now.Id &&
                         Item.From.StartedAtUnixMs == Known.Now.StartedAtUnixMs;
  // Leaving is final for one start.
  const bool StaysDraining =
      SameStart && Known.Now.State == UpstreamState::Draining;
  Known.Now = Item.From;
  if (StaysDraining)
    Known.Now.State = UpstreamState::Draining;
  Known.Address = Item.Address;
  Known.Number = Item.Number;
  Known.HeardAt = Now;
  return true;
}

bool applyLeave(Registration &Known, const UpstreamId &Id, std::int64_t UnixMs,
                SteadyTime Now) {
  if (Known.Left.size() >= MaxLeftKept)
    Known.Left.clear();
  if (Known.Now.Id != Id) {
    // A node that has just started may hear of the leaving first, and of an
    // earlier check-in after it.
    if (Known.Left.count(Id) == 0)
      Known.Left[Id] = {UnixMs, after(Now, UnknownLeftKept)};
    return false;
  }
  Known.Left[Id] = {Known.Now.StartedAtUnixMs, std::nullopt};
  Known.Now.State = UpstreamState::Gone;
  return true;
}

bool isSilent(const Registration &Known, Milliseconds Interval,
              SteadyTime Now) {
  return !Known.Now.Id.empty() &&
         elapsed(Known.HeardAt, Now) > Interval * MissedCheckIns;
}

} // namespace lycheethread::mesh
