#include "peer/internal/RealFold.h"

#include "records/Records.h"

#include <boost/log/trivial.hpp>

namespace lycheethread::peer {

namespace {

std::optional<CheckpointNotice> foldRaw(config::ConfigState &State, Offset At,
                                        const std::string &Raw) {
  Record Item;
  try {
    Item = records::decodeRecord(Raw);
  } catch (const records::BadRecord &Error) {
    BOOST_LOG_TRIVIAL(warning)
        << "peer: record " << At
        << " of the control stream is passed over: " << Error.what();
    config::skipRecord(State, At);
    return std::nullopt;
  }
  config::foldRecord(State, At, Item);
  const auto *Notice = std::get_if<CheckpointNotice>(&Item.Body);
  return Notice == nullptr ? std::nullopt : std::make_optional(*Notice);
}

std::string encodeNotice(const RecordHeader &Header,
                         const CheckpointNotice &Notice) {
  return records::encodeRecord({Header, Notice});
}

} // namespace

ControlFold realFold() {
  return {foldRaw, config::makeCheckpoint, config::restoreCheckpoint,
          encodeNotice, requests::buildRoutingView};
}

} // namespace lycheethread::peer
