#include "config/internal/Writers.h"

#include <algorithm>
#include <vector>

namespace lycheethread::config {

namespace {

bool isNewer(const WriterProgress &Mark, const RecordHeader &Header) {
  if (Header.IncarnationNumber != Mark.IncarnationNumber)
    return Header.IncarnationNumber > Mark.IncarnationNumber;
  return Header.Number > Mark.Last;
}

/// Drops the longest silent quarter, since each publication brings a writer of
/// its own. A repeat that comes later still has no effect: its builds_on,
/// epoch or step is no longer the next one.
void dropSilentWriters(ConfigState &State) {
  std::vector<Offset> Ages;
  for (const auto &Item : State.Writers)
    Ages.push_back(Item.second.LastRecordAt);
  const auto Cut = Ages.begin() + static_cast<std::ptrdiff_t>(MaxWriters / 4);
  std::nth_element(Ages.begin(), Cut, Ages.end());
  for (auto Item = State.Writers.begin(); Item != State.Writers.end();)
    Item = Item->second.LastRecordAt < *Cut ? State.Writers.erase(Item)
                                            : std::next(Item);
}

} // namespace

bool recordWriterSequence(ConfigState &State, Offset At,
                          const RecordHeader &Header) {
  const auto Found = State.Writers.find(Header.Writer);
  if (Found != State.Writers.end() && !isNewer(Found->second, Header))
    return false;
  State.Writers[Header.Writer] = {Header.IncarnationNumber, Header.Number, At};
  if (State.Writers.size() > MaxWriters)
    dropSilentWriters(State);
  return true;
}

} // namespace lycheethread::config
