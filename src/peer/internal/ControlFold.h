#ifndef LYCHEETHREAD_PEER_INTERNAL_CONTROLFOLD_H
#define LYCHEETHREAD_PEER_INTERNAL_CONTROLFOLD_H

#include "config/Config.h"
#include "model/Model.h"
#include "requests/Requests.h"
#include "streamlog/types/LogClient.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheethread::peer {

/// Operations of the feed on the contents of the control stream.
struct ControlFold {
  /// Applies one raw record. An undecodable one only advances the position.
  /// Returns the notice if the record is a checkpoint notice.
  std::function<std::optional<CheckpointNotice>(
      config::ConfigState &State, Offset At, const std::string &Raw)>
      ApplyRecord;
  std::function<std::vector<std::string>(const config::ConfigState &)>
      MakeCheckpoint;
  /// Throws if the parts are damaged or incomplete.
  std::function<config::ConfigState(const std::vector<std::string> &)>
      RestoreCheckpoint;
  /// Returns the newest complete checkpoint in the log with a position in
  /// [AtLeast, AtMost]. Throws LogUnavailable.
  std::function<std::optional<config::ConfigState>(
      const streamlog::LogClient &Log, Offset AtLeast, Offset AtMost)>
      FindCheckpoint;
  /// Appends a checkpoint and its notice. Throws LogUnavailable.
  std::function<void(const streamlog::LogClient &Log,
                     const config::ConfigState &State,
                     const RecordHeader &Header)>
      StoreCheckpoint;
  std::function<requests::RoutingView(const config::ConfigState &,
                                      const std::vector<Member> &,
                                      const Location &)>
      BuildView;
};

/// Returns the operations of the config library.
ControlFold makeControlFold();

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_CONTROLFOLD_H
