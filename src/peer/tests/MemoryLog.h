#ifndef LYCHEETHREAD_PEER_TESTS_MEMORYLOG_H
#define LYCHEETHREAD_PEER_TESTS_MEMORYLOG_H

#include "streamlog/types/LogClient.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace lycheethread::peer {

/// In-memory append-only log.
class MemoryLog {
public:
  streamlog::LogClient client();

  Offset append(const std::string &Stream, const std::string &Data);
  void trim(const std::string &Stream, Offset First);
  std::size_t size(const std::string &Stream);

  std::atomic<bool> Down{false};
  /// Makes only the stream "members" unavailable.
  std::atomic<bool> MembersDown{false};
  std::atomic<std::int64_t> Reads{0};

private:
  struct KeptStream {
    std::int64_t First = 0;
    std::deque<std::string> Records;

    streamlog::StreamBounds bounds() const {
      return {Offset(First),
              Offset(First + static_cast<std::int64_t>(Records.size()))};
    }
  };

  void checkAvailable(const std::string &Stream) const;
  streamlog::LogBatch read(const StreamName &Stream, Offset From,
                           std::size_t MaxRecords, Milliseconds Wait);

  std::mutex Lock_;
  std::condition_variable Appended_;
  std::map<std::string, KeptStream> Streams_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_TESTS_MEMORYLOG_H
