#ifndef LYCHEETHREAD_PROXY_INTERNAL_ENTRY_H
#define LYCHEETHREAD_PROXY_INTERNAL_ENTRY_H

#include "proxy/internal/HttpConnection.h"
#include "proxy/internal/LastHop.h"
#include "proxy/internal/NodeServices.h"

#include <memory>

namespace lycheethread::proxy {

/// Serves requests of callers and requests forwarded by other nodes.
/// Thread-safe.
class Entry {
public:
  /// \p LocalHop is null if the node has no upstream.
  Entry(const NodeServices &Services, LastHop *LocalHop);
  ~Entry();

  /// Serves a request of a caller. Returns false if the connection must be
  /// closed.
  bool serveCaller(HttpConnection &From, const Poco::Net::HTTPRequest &Request,
                   const Framing &Body);

  /// Serves a request that another node forwarded to the local upstream.
  /// Returns false if the connection must be closed.
  bool serveNode(HttpConnection &From, const Poco::Net::HTTPRequest &Request,
                 const Framing &Body);

  /// Refuses a request that could not be parsed or a connection above the
  /// limit. Counts the refusal if \p IsFromCaller is set.
  void refuseInvalid(HttpConnection &From, RefusalReason Reason,
                     bool IsFromCaller);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_ENTRY_H
