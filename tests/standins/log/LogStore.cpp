#include "LogStore.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>

namespace lycheethread::testlog {

namespace {

/// Limit of the record data in one response; a single larger record is still
/// returned.
constexpr std::size_t MaxResponseBytes = 2 * 1024 * 1024;

struct Stream {
  std::int64_t First = 0;
  std::deque<std::string> Records;
  StreamCounts Counts;

  std::int64_t next() const {
    return First + static_cast<std::int64_t>(Records.size());
  }
};

void dropBelow(Stream &In, std::int64_t First) {
  while (In.First < First && !In.Records.empty()) {
    In.Records.pop_front();
    ++In.First;
  }
}

void copyRecords(Stream &From, const ReadQuery &Query, ReadResult &To) {
  std::size_t Bytes = 0;
  for (std::int64_t RecordOffset = Query.From; RecordOffset < From.next();
       ++RecordOffset) {
    const std::string &Data =
        From.Records[std::size_t(RecordOffset - From.First)];
    Bytes += Data.size();
    const bool Full = To.Records.size() >= Query.MaxRecords ||
                      (Bytes > MaxResponseBytes && !To.Records.empty());
    if (Full)
      return;
    To.Records.push_back({RecordOffset, Data});
    From.Counts.BytesOut += static_cast<std::int64_t>(Data.size());
  }
}

} // namespace

struct LogStore::Impl {
  std::size_t RetainRecords = 0;
  mutable std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Stream> Streams;
  bool Outage = false;
  int ResponsesToDrop = 0;
  std::chrono::milliseconds Delay{0};

  ReadResult boundsOf(const std::string &Name) {
    const Stream &Found = Streams[Name];
    return {ReadStatus::Ok, Found.First, Found.next(), {}};
  }
};

LogStore::LogStore(std::size_t RetainRecords)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->RetainRecords = RetainRecords;
}

LogStore::~LogStore() = default;

AppendResult LogStore::append(const std::string &Name,
                              const std::string &Data) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  if (Impl_->Outage)
    return {true, false, 0};
  Stream &Into = Impl_->Streams[Name];
  const std::int64_t RecordOffset = Into.next();
  Into.Records.push_back(Data);
  ++Into.Counts.Appends;
  Into.Counts.BytesIn += static_cast<std::int64_t>(Data.size());
  const auto Retained = static_cast<std::int64_t>(Impl_->RetainRecords);
  dropBelow(Into, Into.next() - Retained);
  const bool Drop = Impl_->ResponsesToDrop > 0;
  if (Drop)
    --Impl_->ResponsesToDrop;
  Impl_->Changed.notify_all();
  return {false, Drop, RecordOffset};
}

ReadResult LogStore::read(const ReadQuery &Query) {
  std::unique_lock<std::mutex> Guard(Impl_->Lock);
  const auto Ready = [&] {
    return Impl_->Outage || Impl_->Streams[Query.Stream].next() > Query.From;
  };
  Impl_->Changed.wait_for(Guard, Query.Wait, Ready);
  ReadResult Result = Impl_->boundsOf(Query.Stream);
  Stream &From = Impl_->Streams[Query.Stream];
  ++From.Counts.Reads;
  if (Impl_->Outage)
    Result.Status = ReadStatus::Outage;
  else if (Query.From < From.First)
    Result.Status = ReadStatus::Trimmed;
  else
    copyRecords(From, Query, Result);
  return Result;
}

ReadResult LogStore::bounds(const std::string &Name) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  ReadResult Result = Impl_->boundsOf(Name);
  if (Impl_->Outage)
    Result.Status = ReadStatus::Outage;
  return Result;
}

void LogStore::setOutage(bool Enabled) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->Outage = Enabled;
  Impl_->Changed.notify_all();
}

void LogStore::setDelay(std::chrono::milliseconds Delay) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->Delay = Delay;
}

std::chrono::milliseconds LogStore::delay() const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  return Impl_->Delay;
}

void LogStore::loseAnswers(int Count) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->ResponsesToDrop = Count;
}

void LogStore::trim(const std::string &Name, std::int64_t First) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  dropBelow(Impl_->Streams[Name], First);
}

std::map<std::string, StreamCounts> LogStore::counts() const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  std::map<std::string, StreamCounts> Result;
  for (const auto &[Name, From] : Impl_->Streams) {
    StreamCounts Counts = From.Counts;
    Counts.First = From.First;
    Counts.Next = From.next();
    Result.emplace(Name, Counts);
  }
  return Result;
}

} // namespace lycheethread::testlog
