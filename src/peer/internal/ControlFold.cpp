#include "peer/internal/ControlFold.h"

#include "bootstrap/Bootstrap.h"
#include "records/Records.h"

#include <boost/log/trivial.hpp>

#include <variant>

namespace lycheethread::peer {

namespace {

std::optional<CheckpointNotice>
applyRawRecord(config::ConfigState &State, Offset At, const std::string &Raw) {
  try {
    const Record Item = records::decodeRecord(Raw);
    config::foldRecord(State, At, Item);
    if (const auto *Notice = std::get_if<CheckpointNotice>(&Item.Body))
      return *Notice;
  } catch (const records::BadRecord &Problem) {
    config::skipRecord(State, At);
    BOOST_LOG_TRIVIAL(warning)
        << "peer: record " << At << " has no effect: " << Problem.what();
  }
  return std::nullopt;
}

void report(const std::string &Text) {
  BOOST_LOG_TRIVIAL(warning) << "peer: " << Text;
}

void storeCheckpoint(const streamlog::LogClient &Log,
                     const config::ConfigState &State,
                     const RecordHeader &Header) {
  const CheckpointNotice Notice = bootstrap::storeCheckpoint(Log, State);
  Log.Append(bootstrap::controlStream(),
             records::encodeRecord(Record{Header, Notice}));
}

} // namespace

ControlFold makeControlFold() {
  ControlFold Operations;
  Operations.ApplyRecord = applyRawRecord;
  Operations.MakeCheckpoint = config::makeCheckpoint;
  Operations.RestoreCheckpoint = config::restoreCheckpoint;
  Operations.FindCheckpoint = [](const streamlog::LogClient &Log,
                                 Offset AtLeast, Offset AtMost) {
    return bootstrap::findCheckpoint(Log, AtLeast, AtMost, report);
  };
  Operations.StoreCheckpoint = storeCheckpoint;
  Operations.BuildView = requests::buildRoutingView;
  return Operations;
}

} // namespace lycheethread::peer
