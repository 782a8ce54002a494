#ifndef LYCHEETHREAD_PEER_INTERNAL_RECORDBUFFER_H
#define LYCHEETHREAD_PEER_INTERNAL_RECORDBUFFER_H

#include "streamlog/types/LogClient.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace lycheethread::peer {

/// The newest raw records of the control stream, without gaps. Thread-safe.
class RecordBuffer {
public:
  RecordBuffer();
  ~RecordBuffer();

  /// Forgets all records; the next one to be appended is at \p Next.
  void restart(Offset Next);
  /// Appends those that follow without a gap; returns the offset after the
  /// last record held.
  Offset append(const std::vector<streamlog::LogRecord> &Records);
  Offset next() const;
  /// Records from \p Position on are never dropped to save memory.
  void retainFrom(Offset Position);

  /// Records in [From, To), at most \p MaxRecords and about 512 KiB.
  struct Part {
    bool TooOld = false;
    std::vector<streamlog::LogRecord> Records;
  };
  Part read(Offset From, Offset To, std::size_t MaxRecords) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_RECORDBUFFER_H
