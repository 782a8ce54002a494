#ifndef LYCHEETHREAD_PEER_INTERNAL_PEERSERVER_H
#define LYCHEETHREAD_PEER_INTERNAL_PEERSERVER_H

#include "metrics/types/TrafficSample.h"
#include "peer/gen/peer_types.h"

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheethread::peer {

/// Handlers of the server's calls. They are called from several threads.
struct ServerFunctions {
  std::function<wire::FetchReply(Offset From, std::size_t MaxRecords)> Fetch;
  std::function<wire::SnapshotReply(bool WithState, bool WithMembers)> Snapshot;
  std::function<Offset(const std::vector<wire::RawRecord> &)> Acknowledge;
  /// Throws wire::CallFailed.
  std::function<std::string(const std::string &Topic,
                            const std::string &Payload)>
      Call;
};

/// Thrift server of the control protocol with limits on threads, frame sizes
/// and timeouts.
class PeerServer {
public:
  PeerServer(const Poco::Net::ServerSocket &Socket, Region Own,
             ServerFunctions Functions, metrics::TrafficRecorder Traffic);
  ~PeerServer();

  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_PEERSERVER_H
