#include "bootstrap/Bootstrap.h"

#include <map>
#include <tuple>

namespace lycheethread::bootstrap {

namespace {

constexpr std::int64_t PartsPerRead = 64;
/// Checkpoints whose parts are kept while the stream is searched.
constexpr std::size_t MaxCandidates = 8;

/// Identifies a checkpoint; the order is that of the positions.
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

struct Search {
  const streamlog::LogClient &Log;
  Offset AtLeast;
  Offset AtMost;
  const Notice &Report;
  std::map<CheckpointKey, PartsByIndex> Candidates;
};

void collect(Search &In, const streamlog::LogRecord &Item) {
  try {
    const config::CheckpointPart Part = config::describePart(Item.Data);
    if (Part.Position < In.AtLeast || Part.Position > In.AtMost)
      return;
    const CheckpointKey Key{Part.Position, Part.Digest, Part.Parts};
    In.Candidates[Key][Part.Index] = Item.Data;
    if (In.Candidates.size() > MaxCandidates)
      In.Candidates.erase(In.Candidates.begin());
  } catch (const config::BadCheckpoint &Error) {
    In.Report("checkpoint part " + std::to_string(Item.At.value()) +
              " has no effect: " + Error.what());
  }
}

/// Reads the window from \p From up to \p To; what is trimmed is left out.
void readWindow(Search &In, Offset From, Offset To) {
  while (From < To) {
    try {
      const auto Left = static_cast<std::size_t>(To.value() - From.value());
      const auto Batch =
          In.Log.Read(checkpointStream(), From, Left, Milliseconds(0));
      if (Batch.Records.empty())
        return;
      for (const streamlog::LogRecord &Item : Batch.Records)
        collect(In, Item);
      From = Batch.Records.back().At.next();
    } catch (const streamlog::LogTrimmed &Error) {
      From = Error.kept().First;
    }
  }
}

std::optional<config::ConfigState> restore(Search &In, const PartsByIndex &Of) {
  std::vector<std::string> Parts;
  for (const auto &Item : Of)
    Parts.push_back(Item.second);
  try {
    return config::restoreCheckpoint(Parts);
  } catch (const config::BadCheckpoint &Error) {
    In.Report(std::string("a checkpoint is passed over: ") + Error.what());
    return std::nullopt;
  }
}

/// The newest complete candidate; damaged ones are dropped.
std::optional<config::ConfigState> newestComplete(Search &In) {
  for (auto It = In.Candidates.rbegin(); It != In.Candidates.rend(); ++It) {
    if (It->second.size() != static_cast<std::size_t>(It->first.Parts))
      continue;
    auto State = restore(In, It->second);
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
  Search In{Log, AtLeast, AtMost, Report, {}};
  const streamlog::StreamBounds Bounds = Log.Bounds(checkpointStream());
  Offset To = Bounds.Next;
  // The newest checkpoints stand last, so the stream is searched backwards.
  while (To > Bounds.First) {
    const Offset From(
        std::max(Bounds.First.value(), To.value() - PartsPerRead));
    readWindow(In, From, To);
    auto State = newestComplete(In);
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
