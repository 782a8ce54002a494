#ifndef LYCHEETHREAD_PEER_INTERNAL_RECORDBUFFER_H
#define LYCHEETHREAD_PEER_INTERNAL_RECORDBUFFER_H

#include "streamlog/types/LogClient.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace lycheethread::peer {

/// Buffers the newest raw records of the control stream without gaps.
/// Thread-safe.
class RecordBuffer {
public:
  RecordBuffer();
  ~RecordBuffer();

  /// Removes all records. The next record to append is at \p Next.
  void restart(Offset Next);
  /// Appends the records that follow without a gap. Returns the offset after
  /// the last stored record.
  Offset append(const std::vector<streamlog::LogRecord> &Records);
  /// Returns the offset after the last stored record.
  Offset next() const;
  /// Never drops the records from \p Position on to save memory.
  void retainFrom(Offset Position);

  struct Part {
    /// Set if the first record is no longer stored.
    bool TooOld = false;
    std::vector<streamlog::LogRecord> Records;
  };
  /// Returns the records in [From, To), but at most \p MaxRecords and about
  /// 512 KiB.
  Part read(Offset From, Offset To, std::size_t MaxRecords) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_RECORDBUFFER_H
