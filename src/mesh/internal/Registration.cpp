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

/// A process without a stated start time cannot be told from its successor.
std::optional<SteadyTime> retentionOf(std::int64_t StartedAtUnixMs,
                                      SteadyTime Now) {
  return StartedAtUnixMs > 0 ? std::nullopt
                             : std::optional(after(Now, UnknownStartRetention));
}

void addDeparture(Registration &Known, const Upstream &Process,
                  SteadyTime Now) {
  const auto [Place, IsNew] = Known.Left.try_emplace(Process.Id);
  DepartedUpstream &Left = Place->second;
  if (IsNew || Left.StartedUpTo < Process.StartedAtUnixMs)
    Left = {Process.StartedAtUnixMs, retentionOf(Process.StartedAtUnixMs, Now)};
}

Departure departureOf(const UpstreamId &Id, const DepartedUpstream &Left) {
  return {Id, Left.StartedUpTo, !Left.Until.has_value()};
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
  if (isLeaving(Known.Current))
    addDeparture(Known, Known.Current, Now);
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
  DepartedUpstream &Left = Known.Left[Id];
  const bool IsRecorded =
      Left.IsRecorded && Left.StartedUpTo >= Known.Current.StartedAtUnixMs;
  Left = {Known.Current.StartedAtUnixMs, std::nullopt, IsRecorded};
  Known.Current.State = UpstreamState::Gone;
  return true;
}

bool restoreLeave(Registration &Known, const Upstream &Past, SteadyTime Now) {
  const bool IsRegistered = isSameProcess(Known.Current, Past);
  if (!isLeaving(Past) || (IsRegistered && isLeaving(Known.Current)))
    return false;
  addDeparture(Known, Past, Now);
  if (IsRegistered)
    Known.Current.State = Past.State;
  return IsRegistered;
}

bool applyStatedLeaving(Registration &Known, SteadyTime Now) {
  if (Known.Current.Id.empty() || isLeaving(Known.Current))
    return false;
  Known.Current.State = UpstreamState::Draining;
  addDeparture(Known, Known.Current, Now);
  return true;
}

std::vector<Departure> unrecordedDepartures(const Registration &Known) {
  std::vector<Departure> Found;
  for (const auto &[Id, Left] : Known.Left)
    if (!Left.IsRecorded)
      Found.push_back(departureOf(Id, Left));
  return Found;
}

bool isUnrecorded(const Registration &Known, const UpstreamId &Id) {
  const auto Found = Known.Left.find(Id);
  return Found != Known.Left.end() && !Found->second.IsRecorded;
}

void markRecorded(Registration &Known, const Departure &Item) {
  const auto Found = Known.Left.find(Item.Id);
  // Meanwhile a later process with this id may have left.
  if (Found != Known.Left.end() &&
      Found->second.StartedUpTo <= Item.StartedUpTo)
    Found->second.IsRecorded = true;
}

void markLost(Registration &Known, const UpstreamId &Id) {
  const auto Found = Known.Left.find(Id);
  if (Found != Known.Left.end())
    Found->second.IsRecorded = false;
}

bool restoreDeparture(Registration &Known, const Departure &Item,
                      SteadyTime Now) {
  const auto Until = Item.IsStartKnown
                         ? std::nullopt
                         : std::optional(after(Now, UnknownStartRetention));
  const auto [Place, IsNew] = Known.Left.try_emplace(Item.Id);
  DepartedUpstream &Left = Place->second;
  if (IsNew || Left.StartedUpTo < Item.StartedUpTo)
    Left = {Item.StartedUpTo, Until, true};
  else if (Left.StartedUpTo == Item.StartedUpTo)
    Left.IsRecorded = true;
  const bool IsRegistered = Known.Current.Id == Item.Id &&
                            !isLeaving(Known.Current) &&
                            Known.Current.StartedAtUnixMs <= Item.StartedUpTo;
  if (IsRegistered)
    Known.Current.State = UpstreamState::Gone;
  return IsRegistered;
}

// A late check-in is not followed by newer ones of the same process, one that
// runs is.
bool confirmsProcess(UnverifiedCheckIns &Known, const CheckIn &Item,
                     Milliseconds Interval, SteadyTime Now) {
  const bool IsSame =
      Known.Newest && isSameProcess(Known.Newest->From, Item.From);
  const bool IsLater = !Known.Newest || Known.Newest->From.StartedAtUnixMs <=
                                            Item.From.StartedAtUnixMs;
  if (!IsSame && IsLater) {
    Known = {Item, Item.Number, Now};
    return false;
  }
  if (!IsSame || Item.Number <= Known.Newest->Number)
    return false;
  Known.Newest = Item;
  return Item.Number > Known.FirstNumber &&
         elapsed(Known.FirstAt, Now) >= Interval / 2;
}

bool isSilent(const Registration &Known, Milliseconds Interval,
              SteadyTime Now) {
  return !Known.Current.Id.empty() &&
         elapsed(Known.HeardAt, Now) > Interval * MaxMissedCheckIns;
}

} // namespace lycheethread::mesh
