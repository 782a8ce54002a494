#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_HOPSERVER_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_HOPSERVER_H

#include "sidecar/internal/HttpServer.h"
#include "sidecar/internal/UpstreamHop.h"

namespace lycheethread::sidecar {

/// Serves the requests of other nodes: those for the upstream beside this node,
/// and fetches of the operator's records.
class HopServer {
public:
  HopServer(NodeContext &Context, UpstreamHop &Hop);

  void handle(const ServerRequestPtr &Request);

private:
  void answerRecords(const ServerRequestPtr &Request);
  void answerOutcome(const ServerRequestPtr &Request, HopOutcome Outcome);

  NodeContext &Context_;
  UpstreamHop &Hop_;
  /// The last encoded records: after a change many nodes request the same
  /// range.
  Offset EncodedFrom_;
  std::int64_t EncodedRevision_ = -1;
  std::string Encoded_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_HOPSERVER_H
