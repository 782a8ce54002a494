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

/// A request as an upstream reads it; header names are in lower case.
struct SeenRequest {
  std::string Line;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// What the upstream sends back, byte for byte.
struct RawAnswer {
  std::string Bytes;
  std::chrono::milliseconds Delay{0};
  bool CloseAfter = false;
};

/// An upstream whose answers a test chooses freely.
class UpstreamStandIn {
public:
  using Behaviour = std::function<RawAnswer(const SeenRequest &)>;

  UpstreamStandIn();
  ~UpstreamStandIn();

  std::uint16_t port() const;
  void setBehaviour(Behaviour Used);
  /// All requests so far.
  std::vector<SeenRequest> seen() const;
  /// Accepts no connection and ends those that are open.
  void crash();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// A whole answer with the id of \p Request and a seal.
RawAnswer goodAnswer(const SeenRequest &Request, const std::string &Body = "ok",
                     int Status = 200);

} // namespace lycheethread::platformtest

#endif // LYCHEETHREAD_TESTS_PLATFORM_UPSTREAMSTANDIN_H
