#include "mesh/Mesh.h"

namespace lycheethread::mesh {

namespace {

/// Missed check-ins after which an upstream counts as silent.
constexpr int MaxMissedCheckIns = 3;
constexpr std::size_t MaxDeparted = 64;
/// Check-ins may arrive seconds late. A process whose start time is not known
/// counts as left for this long only: clocks differ by seconds, and a new
/// process may have the same id.
constexpr Milliseconds UnknownStartRetention{30000};

bool isNewer(const Registration &Known, const CheckIn &Item) {
  if (Known.Current.Id.empty())
    return true;
  if (Item.From.StartedAtUnixMs != Known.Current.StartedAtUnixMs)
    return Item.From.StartedAtUnixMs > Known.Current.StartedAtUnixMs;
  return Item.From.Id == Known.Current.Id && Item.Number > Known.Number;
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
  const bool SameProcess = isSameProcess(Item.From, Known.Current);
  // A process that is draining does not become ready again.
  const bool StaysDraining =
      SameProcess && Known.Current.State == UpstreamState::Draining;
  Known.Current = Item.From;
  if (StaysDraining)
    Known.Current.State = UpstreamState::Draining;
  Known.Address = Item.Address;
  Known.Number = Item.Number;
  Known.HeardAt = Now;
  return true;
}

bool applyLeave(Registration &Known, const UpstreamId &Id, std::int64_t UnixMs,
                SteadyTime Now) {
  if (Known.Left.size() >= MaxDeparted)
    Known.Left.clear();
  if (Known.Current.Id != Id) {
    // A node that has just started may receive the leave message first, and an
    // earlier check-in after it.
    if (Known.Left.count(Id) == 0)
      Known.Left[Id] = {UnixMs, after(Now, UnknownStartRetention)};
    return false;
  }
  Known.Left[Id] = {Known.Current.StartedAtUnixMs, std::nullopt};
  Known.Current.State = UpstreamState::Gone;
  return true;
}

bool restoreLeave(Registration &Known, const Upstream &Past, SteadyTime Now) {
  const bool IsRegistered = isSameProcess(Known.Current, Past);
  if (!isLeaving(Past) || (IsRegistered && isLeaving(Known.Current)))
    return false;
  // A process without a stated start time cannot be told from its successor.
  const auto Until = Past.StartedAtUnixMs > 0
                         ? std::nullopt
                         : std::optional(after(Now, UnknownStartRetention));
  DepartedUpstream &Left = Known.Left[Past.Id];
  if (Left.StartedUpTo <= Past.StartedAtUnixMs)
    Left = {Past.StartedAtUnixMs, Until};
  if (IsRegistered)
    Known.Current.State = Past.State;
  return IsRegistered;
}

bool applyStatedLeaving(Registration &Known) {
  if (Known.Current.Id.empty() || isLeaving(Known.Current))
    return false;
  Known.Current.State = UpstreamState::Draining;
  return true;
}

bool isSilent(const Registration &Known, Milliseconds Interval,
              SteadyTime Now) {
  return !Known.Current.Id.empty() &&
         elapsed(Known.HeardAt, Now) > Interval * MaxMissedCheckIns;
}

} // namespace lycheethread::mesh
