#include "config/Config.h"
#include "config/internal/Publish.h"
#include "config/internal/Writers.h"

#include <algorithm>

namespace lycheethread::config {

namespace {

constexpr std::size_t MaxWriterLength = 256;

bool isWellFormed(const RecordHeader &Header) {
  return !Header.Writer.empty() &&
         Header.Writer.str().size() <= MaxWriterLength &&
         Header.WrittenAt >= WallTime(0) && Header.WrittenAt <= LatestWrittenAt;
}

void foldBody(ConfigState &State, Offset At, const Record &Item) {
  if (const auto *Publish = std::get_if<PublishRecord>(&Item.Body)) {
    moves::expireMoves(State.Moves, State.LogTime);
    foldPublish(State, At, Item.Header, *Publish);
    return;
  }
  // This also expires moves, but only after it has applied an end record.
  moves::foldMoveRecord(State.Moves, Item, State.LogTime);
}

} // namespace

void foldRecord(ConfigState &State, Offset At, const Record &Item) {
  if (At != State.Position)
    return;
  State.Position = At.next();
  if (Item.Body.valueless_by_exception() || !isWellFormed(Item.Header))
    return;
  State.LogTime = std::max(State.LogTime, Item.Header.WrittenAt);
  if (recordWriterSequence(State, At, Item.Header))
    foldBody(State, At, Item);
  else
    moves::expireMoves(State.Moves, State.LogTime);
}

void skipRecord(ConfigState &State, Offset At) {
  if (At == State.Position)
    State.Position = At.next();
}

const PublishResult *findPublishResult(const ConfigState &State,
                                       const RecordHeader &Header) {
  const auto Found = std::find_if(
      State.PublishResults.rbegin(), State.PublishResults.rend(),
      [&](const PublishResult &Item) {
        return Item.Header.Writer == Header.Writer &&
               Item.Header.IncarnationNumber == Header.IncarnationNumber &&
               Item.Header.Number == Header.Number;
      });
  return Found == State.PublishResults.rend() ? nullptr : &*Found;
}

} // namespace lycheethread::config
