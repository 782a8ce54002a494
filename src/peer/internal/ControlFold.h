#ifndef LYCHEETHREAD_PEER_INTERNAL_CONTROLFOLD_H
#define LYCHEETHREAD_PEER_INTERNAL_CONTROLFOLD_H

#include "config/Config.h"
#include "model/Model.h"
#include "requests/Requests.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheethread::peer {

/// What the feed does with the contents of the control stream.
struct ControlFold {
  /// Folds one raw record; an undecodable one counts as folded, without
  /// effect. Returns the notice when the record is a checkpoint notice.
  std::function<std::optional<CheckpointNotice>(
      config::ConfigState &State, Offset At, const std::string &Raw)>
      Fold;
  std::function<std::vector<std::string>(const config::ConfigState &)>
      MakeCheckpoint;
  /// Throws when the parts are damaged or incomplete.
  std::function<config::ConfigState(const std::vector<std::string> &)>
      RestoreCheckpoint;
  /// Raw record of the control stream that announces a checkpoint.
  std::function<std::string(const RecordHeader &, const CheckpointNotice &)>
      EncodeNotice;
  std::function<requests::RoutingView(
      const config::ConfigState &, const std::vector<Member> &, const Place &)>
      BuildView;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_CONTROLFOLD_H
