#ifndef LYCHEETHREAD_PROXY_INTERNAL_ENTRY_H
#define LYCHEETHREAD_PROXY_INTERNAL_ENTRY_H

#include "proxy/internal/HttpConnection.h"
#include "proxy/internal/LastHop.h"
#include "proxy/internal/NodeServices.h"

#include <memory>

namespace lycheethread::proxy {

/// Serves callers, and requests that other nodes send on. Thread-safe.
class Entry {
public:
  /// \p Own is null when the node has no upstream.
  Entry(const NodeServices &Services, LastHop *Own);
  ~Entry();

  /// Serves a request of a caller; false when the connection must be closed.
  bool serveCaller(HttpConnection &From, const Poco::Net::HTTPRequest &Request,
                   const Framing &Body);

  /// Serves a request of another node for the own upstream.
  bool serveNode(HttpConnection &From, const Poco::Net::HTTPRequest &Request,
                 const Framing &Body);

  /// Refuses what could not be parsed; \p CallersSide counts the refusal.
  void refuseInvalid(HttpConnection &From, RefusalReason Reason,
                     bool CallersSide);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_ENTRY_H
