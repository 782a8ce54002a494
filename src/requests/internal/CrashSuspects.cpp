#include "requests/Requests.h"

#include <algorithm>

namespace lycheethread::requests {

namespace {

bool isRecent(SteadyTime Seen, SteadyTime Now) {
  return elapsed(Seen, Now) < QuarantineDuration;
}

SteadyTime lastCrashTime(const Suspect &Item) {
  SteadyTime Last;
  for (const auto &[Crash, Seen] : Item.Crashes)
    Last = std::max(Last, Seen.At);
  return Last;
}

void evictSuspectIfFull(SuspectTable &Table, SteadyTime Now) {
  if (Table.Suspects.size() < MaxSuspects)
    return;
  auto Oldest = Table.Suspects.begin();
  for (auto It = Table.Suspects.begin(); It != Table.Suspects.end();) {
    if (!isRecent(lastCrashTime(It->second), Now)) {
      It = Table.Suspects.erase(It);
      Oldest = Table.Suspects.begin();
      continue;
    }
    if (lastCrashTime(It->second) < lastCrashTime(Oldest->second))
      Oldest = It;
    ++It;
  }
  if (Table.Suspects.size() >= MaxSuspects)
    Table.Suspects.erase(Oldest);
}

} // namespace

void recordCrashSuspect(SuspectTable &Table,
                        const Fingerprint &RequestFingerprint,
                        const CrashId &Crash, SuspectWeight Weight,
                        SteadyTime Now) {
  if (Table.Suspects.count(RequestFingerprint) == 0)
    evictSuspectIfFull(Table, Now);
  Suspect &Item = Table.Suspects[RequestFingerprint];
  if (Item.Crashes.size() >= MaxCrashesPerSuspect &&
      Item.Crashes.count(Crash) == 0) {
    auto Oldest = std::min_element(
        Item.Crashes.begin(), Item.Crashes.end(),
        [](const auto &L, const auto &R) { return L.second.At < R.second.At; });
    Item.Crashes.erase(Oldest);
  }
  Item.Crashes.emplace(Crash, SuspectCrash{Now, Weight});
}

void recordAnswered(AnsweredTable &Table, const Fingerprint &RequestFingerprint,
                    SteadyTime Now) {
  // Clears the whole table when it is full: a frequent request is added again
  // with its next answer.
  if (Table.Last.size() >= MaxAnswered &&
      Table.Last.count(RequestFingerprint) == 0)
    Table.Last.clear();
  Table.Last[RequestFingerprint] = Now;
}

SuspectWeight crashWeight(const AnsweredTable &Table,
                          const Fingerprint &RequestFingerprint,
                          SteadyTime Now) {
  const auto It = Table.Last.find(RequestFingerprint);
  return It != Table.Last.end() && isRecent(It->second, Now)
             ? SuspectWeight::Answered
             : SuspectWeight::NeverAnswered;
}

bool isQuarantined(const SuspectTable &Table,
                   const Fingerprint &RequestFingerprint, SteadyTime Now) {
  const auto It = Table.Suspects.find(RequestFingerprint);
  if (It == Table.Suspects.end())
    return false;
  const Suspect &Item = It->second;
  // Counts the crashes that lie within QuarantineDuration before the last
  // one.
  const SteadyTime Last = lastCrashTime(Item);
  int Weight = 0;
  for (const auto &[Crash, Seen] : Item.Crashes)
    Weight += isRecent(Seen.At, Last) ? static_cast<int>(Seen.Weight) : 0;
  return Weight >= QuarantineWeight && isRecent(Last, Now);
}

} // namespace lycheethread::requests
