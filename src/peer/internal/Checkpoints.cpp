#include "peer/internal/Checkpoints.h"

#include "distribution/Distribution.h"
#include "peer/internal/Wire.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lycheethread::peer {

namespace {

constexpr std::size_t PartsPerRead = 64;
constexpr std::int32_t MaxParts = 4096;

const StreamName &checkpointStream() {
  static const StreamName Name("checkpoints");
  return Name;
}

/// Parts of one checkpoint that were found so far.
struct Collected {
  std::string Id;
  std::int32_t Count = 0;
  std::map<std::int32_t, std::string> Parts;
};

/// By position, highest last.
using Collection = std::multimap<std::int64_t, Collected>;

void collect(Collection &Found, const std::string &Data, Offset AtLeast) {
  wire::CheckpointPart Part = decodePart(Data);
  if (Part.position < AtLeast.value() || Part.count <= 0 ||
      Part.count > MaxParts || Part.number < 0 || Part.number >= Part.count)
    return;
  const auto Range = Found.equal_range(Part.position);
  auto It = std::find_if(Range.first, Range.second, [&](const auto &Item) {
    return Item.second.Id == Part.id && Item.second.Count == Part.count;
  });
  if (It == Range.second)
    It = Found.emplace(Part.position, Collected{Part.id, Part.count, {}});
  It->second.Parts[Part.number] = std::move(Part.data);
}

Collection readParts(const platform::LogClient &Log, Offset AtLeast) {
  Collection Found;
  const platform::StreamBounds Bounds = Log.Bounds(checkpointStream());
  Offset At = Bounds.First;
  while (At < Bounds.Next) {
    const platform::LogBatch Batch =
        Log.Read(checkpointStream(), At, PartsPerRead, Milliseconds(0));
    if (Batch.Records.empty())
      break;
    for (const platform::LogRecord &Item : Batch.Records) {
      try {
        collect(Found, Item.Data, AtLeast);
      } catch (const BadMessage &Problem) {
        BOOST_LOG_TRIVIAL(warning) << "peer: checkpoint part at " << Item.At
                                   << " is not valid: " << Problem.what();
      }
    }
    At = Batch.Records.back().At.next();
  }
  return Found;
}

std::vector<std::string> inOrder(Collected &Complete) {
  std::vector<std::string> Parts;
  for (auto &Item : Complete.Parts)
    Parts.push_back(std::move(Item.second));
  return Parts;
}

} // namespace

std::optional<config::ConfigState>
restoreFromLog(const platform::LogClient &Log, const ControlFold &Fold,
               Offset AtLeast) {
  Collection Found = readParts(Log, AtLeast);
  for (auto It = Found.rbegin(); It != Found.rend(); ++It) {
    Collected &Each = It->second;
    if (Each.Parts.size() != static_cast<std::size_t>(Each.Count))
      continue;
    try {
      config::ConfigState State = Fold.RestoreCheckpoint(inOrder(Each));
      if (State.Position >= AtLeast)
        return State;
    } catch (const std::exception &Problem) {
      BOOST_LOG_TRIVIAL(warning) << "peer: checkpoint " << Each.Id
                                 << " is damaged: " << Problem.what();
    }
  }
  return std::nullopt;
}

void writeCheckpointToLog(const platform::LogClient &Log,
                          const ControlFold &Fold,
                          const config::ConfigState &State,
                          RecordHeader Header) {
  const std::vector<std::string> Parts = Fold.MakeCheckpoint(State);
  CheckpointNotice Notice;
  Notice.Position = State.Position;
  Notice.Parts = static_cast<std::int32_t>(Parts.size());
  std::string Whole;
  for (std::size_t Number = 0; Number < Parts.size(); ++Number) {
    wire::CheckpointPart Part;
    Part.id = Header.Writer.str() + '/' + std::to_string(Header.Life.value()) +
              '/' + std::to_string(State.Position.value());
    Part.number = static_cast<std::int32_t>(Number);
    Part.count = Notice.Parts;
    Part.position = State.Position.value();
    Part.data = Parts[Number];
    const Offset At = Log.Append(checkpointStream(), encodePart(Part));
    if (Number == 0)
      Notice.FirstPart = At;
    Whole += Parts[Number];
  }
  Notice.Digest = std::to_string(distribution::stableHash(Whole));
  Header.Number = Sequence(State.Position.value());
  Log.Append(StreamName("control"), Fold.EncodeNotice(Header, Notice));
  BOOST_LOG_TRIVIAL(info) << "peer: wrote a checkpoint of position "
                          << State.Position << " in " << Parts.size()
                          << " parts";
}

} // namespace lycheethread::peer
