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

/// Drops the quarter of the writers that have been silent for longest. The list
/// grows with each publication, which has its own writer. A late duplicate of a
/// dropped writer still has no effect, because its builds_on, epoch or step is
/// no longer the next.
void dropSilentWriters(ConfigState &State) {
  std::vector<Offset> LastOffsets;
  for (const auto &Item : State.Writers)
    LastOffsets.push_back(Item.second.LastRecordAt);
  const auto Oldest =
      LastOffsets.begin() + static_cast<std::ptrdiff_t>(MaxWriters / 4);
  std::nth_element(LastOffsets.begin(), Oldest, LastOffsets.end());
  for (auto Item = State.Writers.begin(); Item != State.Writers.end();)
    Item = Item->second.LastRecordAt < *Oldest ? State.Writers.erase(Item)
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
