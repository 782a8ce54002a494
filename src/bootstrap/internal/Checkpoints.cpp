#include "bootstrap/Bootstrap.h"

#include <map>
#include <tuple>

namespace lycheethread::bootstrap {

namespace {

constexpr std::int64_t PartsPerRead = 64;
/// Number of checkpoints whose parts are kept during the search; bounds memory.
constexpr std::size_t MaxCandidates = 8;

/// Identifies a checkpoint. Keys are ordered by position.
struct CheckpointKey {
  Offset Position;
  std::string Digest;
  std::int32_t Parts = 0;

  friend bool operator<(const CheckpointKey &L, const CheckpointKey &R) {
    return std::tie(L.Position, L.Digest, L.Parts) <
           std::tie(R.Position, R.Digest, R.Parts);
  }
};

using PartsByIndex = std::map<std::int32_t, std::string>;

struct CheckpointSearch {
  const streamlog::LogClient &Log;
  Offset AtLeast;
  Offset AtMost;
  const Notice &Report;
  std::map<CheckpointKey, PartsByIndex> Candidates;
};

void collectPart(CheckpointSearch &Search, const streamlog::LogRecord &Item) {
  try {
    const config::CheckpointPart Part = config::describePart(Item.Data);
    if (Part.Position < Search.AtLeast || Part.Position > Search.AtMost)
      return;
    const CheckpointKey Key{Part.Position, Part.Digest, Part.Parts};
    Search.Candidates[Key][Part.Index] = Item.Data;
    if (Search.Candidates.size() > MaxCandidates)
      Search.Candidates.erase(Search.Candidates.begin());
  } catch (const config::BadCheckpoint &Error) {
    Search.Report("checkpoint part " + std::to_string(Item.At.value()) +
                  " has no effect: " + Error.what());
  }
}

/// Collects the parts in [From, To). Trimmed records are skipped.
void readWindow(CheckpointSearch &Search, Offset From, Offset To) {
  while (From < To) {
    try {
      const auto Left = static_cast<std::size_t>(To.value() - From.value());
      const auto Batch =
          Search.Log.Read(checkpointStream(), From, Left, Milliseconds(0));
      if (Batch.Records.empty())
        return;
      for (const streamlog::LogRecord &Item : Batch.Records)
        collectPart(Search, Item);
      From = Batch.Records.back().At.next();
    } catch (const streamlog::LogTrimmed &Error) {
      From = Error.kept().First;
    }
  }
}

std::optional<config::ConfigState> restore(CheckpointSearch &Search,
                                           const PartsByIndex &IndexedParts) {
  std::vector<std::string> Parts;
  for (const auto &Item : IndexedParts)
    Parts.push_back(Item.second);
  try {
    return config::restoreCheckpoint(Parts);
  } catch (const config::BadCheckpoint &Error) {
    Search.Report(std::string("skipped a checkpoint: ") + Error.what());
    return std::nullopt;
  }
}

/// Returns the newest complete candidate and drops damaged ones.
std::optional<config::ConfigState> newestComplete(CheckpointSearch &Search) {
  for (auto It = Search.Candidates.rbegin(); It != Search.Candidates.rend();
       ++It) {
    if (It->second.size() != static_cast<std::size_t>(It->first.Parts))
      continue;
    auto State = restore(Search, It->second);
    if (State)
      return State;
    It->second.clear();
  }
  return std::nullopt;
}

} // namespace

const StreamName &checkpointStream() {
  static const StreamName Name("checkpoints");
  return Name;
}

std::optional<config::ConfigState>
findCheckpoint(const streamlog::LogClient &Log, Offset AtLeast, Offset AtMost,
               const Notice &Report) {
  CheckpointSearch Search{Log, AtLeast, AtMost, Report, {}};
  const streamlog::StreamBounds Bounds = Log.Bounds(checkpointStream());
  Offset To = Bounds.Next;
  // The newest checkpoints are at the end of the stream, so it is searched
  // backwards.
  while (To > Bounds.First) {
    const Offset From(
        std::max(Bounds.First.value(), To.value() - PartsPerRead));
    readWindow(Search, From, To);
    auto State = newestComplete(Search);
    if (State)
      return State;
    To = From;
  }
  return std::nullopt;
}

CheckpointNotice storeCheckpoint(const streamlog::LogClient &Log,
                                 const config::ConfigState &State) {
  const std::vector<std::string> Parts = config::makeCheckpoint(State);
  CheckpointNotice Stored;
  Stored.Position = State.Position;
  Stored.Parts = static_cast<std::int32_t>(Parts.size());
  Stored.Digest = config::describePart(Parts.front()).Digest;
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    const Offset At = Log.Append(checkpointStream(), Parts[I]);
    if (I == 0)
      Stored.FirstPart = At;
  }
  return Stored;
}

} // namespace lycheethread::bootstrap
