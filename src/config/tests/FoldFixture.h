#ifndef LYCHEETHREAD_CONFIG_TESTS_FOLDFIXTURE_H
#define LYCHEETHREAD_CONFIG_TESTS_FOLDFIXTURE_H

#include "config/Config.h"

#include <string>

namespace lycheethread::config {

/// 2026-12-05T12:00:00Z.
inline constexpr WallTime Noon{1'796'472'000'000};

/// Returns the document of one service, with \p Extra appended.
inline std::string documentText(const std::string &Service, int BaseRevision,
                                const std::string &Groups,
                                const std::string &Extra = "") {
  std::string Text =
      "[service]\nname = " + Service +
      "\nteam = office\nbuilds_on = " + std::to_string(BaseRevision) + "\n";
  for (const std::string &Group : splitList(Groups))
    Text += "[upstreams." + Group + "]\nversions = v1\n";
  return Text + Extra;
}

inline std::string usesText(const std::string &Service,
                            const std::string &Group) {
  return "[uses.other]\nservice = " + Service + "\nupstreams = " + Group + "\n";
}

/// Control stream whose records are folded as soon as they are written.
struct FoldFixture {
  ConfigState State;
  int Writers = 0;

  Record publish(const std::string &Service, int BaseRevision,
                 const std::string &Text) {
    const NodeId Writer("publish-" + std::to_string(++Writers));
    return {{Writer, Incarnation(1), Sequence(1),
             after(Noon, Milliseconds(Writers))},
            PublishRecord{ServiceName(Service), Revision(BaseRevision), Text}};
  }

  PublishResult fold(const Record &Item) {
    foldRecord(State, State.Position, Item);
    const PublishResult *Result = findPublishResult(State, Item.Header);
    return Result == nullptr ? PublishResult{} : *Result;
  }

  PublishResult foldPublish(const std::string &Service, int BaseRevision,
                            const std::string &Groups,
                            const std::string &Extra = "") {
    return fold(publish(Service, BaseRevision,
                        documentText(Service, BaseRevision, Groups, Extra)));
  }

  Revision inForce(const std::string &Service) const {
    const auto Found = State.Documents.find(ServiceName(Service));
    return Found == State.Documents.end() ? Revision(0)
                                          : Found->second.Accepted;
  }
};

} // namespace lycheethread::config

#endif // LYCHEETHREAD_CONFIG_TESTS_FOLDFIXTURE_H
