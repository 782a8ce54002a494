#ifndef LYCHEETHREAD_TESTS_PLATFORM_UPSTREAMSTANDIN_H
#define LYCHEETHREAD_TESTS_PLATFORM_UPSTREAMSTANDIN_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheethread::platformtest {

/// A request as received by an upstream; header names are in lower case.
struct ReceivedRequest {
  std::string RequestLine;
  std::map<std::string, std::string> Headers;
  /// The header lines as they came.
  std::vector<std::string> HeaderLines;
  std::string Body;
  std::chrono::steady_clock::time_point ReceivedAt;

  /// Returns the lines with this name, which is in lower case.
  std::vector<std::string> linesOf(const std::string &Name) const;
};

/// The bytes that the upstream sends back unchanged.
struct RawResponse {
  std::string Bytes;
  std::chrono::milliseconds Delay{0};
  /// Sent this long after Bytes, also while the next request is being read.
  std::string LateBytes;
  std::chrono::milliseconds LateDelay{0};
  /// Sent again and again until the peer closes the connection.
  std::string EndlessBytes;
  bool CloseAfter = false;
  /// The connection ends with a reset.
  bool ResetAfter = false;
};

/// An upstream whose responses are defined by the test.
class UpstreamStandIn {
public:
  using Behaviour = std::function<RawResponse(const ReceivedRequest &)>;

  UpstreamStandIn();
  ~UpstreamStandIn();

  std::uint16_t port() const;
  void setBehaviour(Behaviour NewBehaviour);
  /// Defines the responses that are sent once the head of a request has been
  /// read, instead of reading its body. The connection ends after Delay.
  void setEarlyBehaviour(Behaviour NewBehaviour);
  /// Returns all requests received so far.
  std::vector<ReceivedRequest> receivedRequests() const;
  /// Requests whose connection the peer closed during RawResponse::Delay.
  std::vector<ReceivedRequest> abandonedRequests() const;
  /// Closes the listening socket and all open connections.
  void crash();
  /// Listens on the same port again after a crash.
  void restart();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Returns a complete response with the attempt id of \p Request and a seal.
RawResponse completeResponse(const ReceivedRequest &Request,
                             const std::string &Body = "ok", int Status = 200);

} // namespace lycheethread::platformtest

#endif // LYCHEETHREAD_TESTS_PLATFORM_UPSTREAMSTANDIN_H
