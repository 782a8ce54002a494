#include "requests/Requests.h"

#include <algorithm>

namespace lycheethread::requests {

namespace {

bool isRecent(SteadyTime Seen, SteadyTime Now) {
  return elapsed(Seen, Now) < QuarantineLength;
}

SteadyTime lastSeen(const Suspect &Item) {
  SteadyTime Last;
  for (const auto &[Crash, Seen] : Item.Crashes)
    Last = std::max(Last, Seen);
  return Last;
}

void makeRoom(SuspectTable &Table, SteadyTime Now) {
  if (Table.Suspects.size() < MaxSuspects)
    return;
  auto Oldest = Table.Suspects.begin();
  for (auto It = Table.Suspects.begin(); It != Table.Suspects.end();) {
    if (!isRecent(lastSeen(It->second), Now)) {
      It = Table.Suspects.erase(It);
      Oldest = Table.Suspects.begin();
      continue;
    }
    if (lastSeen(It->second) < lastSeen(Oldest->second))
      Oldest = It;
    ++It;
  }
  if (Table.Suspects.size() >= MaxSuspects)
    Table.Suspects.erase(Oldest);
}

} // namespace

void noteSuspect(SuspectTable &Table, const Fingerprint &Print,
                 const CrashId &Crash, SteadyTime Now) {
  if (Table.Suspects.count(Print) == 0)
    makeRoom(Table, Now);
  Suspect &Item = Table.Suspects[Print];
  if (Item.Crashes.size() >= CrashesForQuarantine &&
      Item.Crashes.count(Crash) == 0) {
    auto Oldest = std::min_element(
        Item.Crashes.begin(), Item.Crashes.end(),
        [](const auto &L, const auto &R) { return L.second < R.second; });
    Item.Crashes.erase(Oldest);
  }
  Item.Crashes.emplace(Crash, Now);
}

bool isQuarantined(const SuspectTable &Table, const Fingerprint &Print,
                   SteadyTime Now) {
  const auto It = Table.Suspects.find(Print);
  if (It == Table.Suspects.end())
    return false;
  const Suspect &Item = It->second;
  // Counted from the last crash; the earlier one lies within the same length
  // before it.
  const SteadyTime Last = lastSeen(Item);
  std::size_t Present = 0;
  for (const auto &[Crash, Seen] : Item.Crashes)
    Present += isRecent(Seen, Last) ? 1 : 0;
  return Present >= CrashesForQuarantine && isRecent(Last, Now);
}

} // namespace lycheethread::requests
