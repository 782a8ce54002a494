#include "peer/tests/MemoryLog.h"

#include <algorithm>

namespace lycheethread::peer {

void MemoryLog::checkAvailable(const std::string &Stream) const {
  if (Down || (MembersDown && Stream == "members"))
    throw streamlog::LogUnavailable("the log is down");
}

Offset MemoryLog::append(const std::string &Stream, const std::string &Data) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  KeptStream &Target = Streams_[Stream];
  const Offset At = Target.bounds().Next;
  Target.Records.push_back(Data);
  Appended_.notify_all();
  return At;
}

void MemoryLog::trim(const std::string &Stream, Offset First) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  KeptStream &Target = Streams_[Stream];
  while (Target.First < First.value() && !Target.Records.empty()) {
    Target.Records.pop_front();
    ++Target.First;
  }
}

std::size_t MemoryLog::size(const std::string &Stream) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  return Streams_[Stream].Records.size();
}

streamlog::LogBatch MemoryLog::read(const StreamName &Stream, Offset From,
                                    std::size_t MaxRecords, Milliseconds Wait) {
  ++Reads;
  checkAvailable(Stream.str());
  std::unique_lock<std::mutex> Guard(Lock_);
  KeptStream &Source = Streams_[Stream.str()];
  Appended_.wait_for(Guard, Wait,
                     [&] { return Down || Source.bounds().Next > From; });
  checkAvailable(Stream.str());
  if (From < Source.bounds().First)
    throw streamlog::LogTrimmed("trimmed", Source.bounds());
  streamlog::LogBatch Batch;
  Batch.Bounds = Source.bounds();
  for (Offset At = From;
       At < Batch.Bounds.Next && Batch.Records.size() < MaxRecords;
       At = At.next())
    Batch.Records.push_back(
        {At,
         Source.Records[static_cast<std::size_t>(At.value() - Source.First)]});
  return Batch;
}

streamlog::LogClient MemoryLog::client() {
  streamlog::LogClient Client;
  Client.Append = [this](const StreamName &Stream, const std::string &Data) {
    checkAvailable(Stream.str());
    return append(Stream.str(), Data);
  };
  Client.Read = [this](const StreamName &Stream, Offset From,
                       std::size_t MaxRecords, Milliseconds Wait) {
    return read(Stream, From, MaxRecords, Wait);
  };
  Client.Bounds = [this](const StreamName &Stream) {
    checkAvailable(Stream.str());
    const std::lock_guard<std::mutex> Guard(Lock_);
    return Streams_[Stream.str()].bounds();
  };
  return Client;
}

} // namespace lycheethread::peer
