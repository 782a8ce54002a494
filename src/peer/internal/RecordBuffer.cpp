#include "peer/internal/RecordBuffer.h"

#include <deque>
#include <mutex>

namespace lycheethread::peer {

namespace {

constexpr std::size_t MaxStoredRecords = 2000;
constexpr std::size_t MaxStoredBytes = 4 * 1024 * 1024;
constexpr std::size_t MaxPartBytes = 512 * 1024;

} // namespace

struct RecordBuffer::Impl {
  mutable std::mutex Lock;
  std::deque<streamlog::LogRecord> Records;
  Offset Next;
  Offset RetainFrom;
  std::size_t Bytes = 0;

  Offset first() const { return Records.empty() ? Next : Records.front().At; }

  void trim() {
    while ((Records.size() > MaxStoredRecords || Bytes > MaxStoredBytes) &&
           Records.front().At < RetainFrom) {
      Bytes -= Records.front().Data.size();
      Records.pop_front();
    }
  }
};

RecordBuffer::RecordBuffer() : Impl_(std::make_unique<Impl>()) {}

RecordBuffer::~RecordBuffer() = default;

void RecordBuffer::restart(Offset Next) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->Records.clear();
  Impl_->Bytes = 0;
  Impl_->Next = Next;
  Impl_->RetainFrom = Next;
}

Offset RecordBuffer::append(const std::vector<streamlog::LogRecord> &Records) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  for (const streamlog::LogRecord &Item : Records) {
    if (Item.At != Impl_->Next)
      continue;
    Impl_->Records.push_back(Item);
    Impl_->Bytes += Item.Data.size();
    Impl_->Next = Item.At.next();
  }
  Impl_->trim();
  return Impl_->Next;
}

Offset RecordBuffer::next() const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  return Impl_->Next;
}

void RecordBuffer::retainFrom(Offset Position) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->RetainFrom = Position;
  Impl_->trim();
}

RecordBuffer::Part RecordBuffer::read(Offset From, Offset To,
                                      std::size_t MaxRecords) const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Part Answer;
  if (From < Impl_->first()) {
    Answer.TooOld = true;
    return Answer;
  }
  std::size_t Bytes = 0;
  const auto Skip =
      static_cast<std::size_t>(From.value() - Impl_->first().value());
  for (std::size_t At = Skip; At < Impl_->Records.size(); ++At) {
    const streamlog::LogRecord &Item = Impl_->Records[At];
    if (Item.At >= To || Answer.Records.size() >= MaxRecords ||
        (Bytes > 0 && Bytes + Item.Data.size() > MaxPartBytes))
      break;
    Bytes += Item.Data.size();
    Answer.Records.push_back(Item);
  }
  return Answer;
}

} // namespace lycheethread::peer
