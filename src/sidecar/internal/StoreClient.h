#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_STORECLIENT_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_STORECLIENT_H

#include "sidecar/internal/ConnectionPool.h"
#include "sidecar/internal/NodeContext.h"

namespace lycheethread::sidecar {

/// Calls the platform's store. Each call ends with its callback, which is never
/// called before the function returns. Offsets are positions that hold the era
/// of the store, see StorePosition.h; an answer of another era than the
/// position in the call says nothing about the records there.
class StoreClient {
public:
  explicit StoreClient(NodeContext &Context);
  ~StoreClient();

  /// Reads the records from \p From on; waits up to \p Wait for the first
  /// record. Trimmed if the store is in another era.
  void read(StoreTopic Topic, Offset From, Milliseconds Wait,
            std::function<void(StoreRead)> Done);
  /// Reads the newest record of every key, and the end of the topic before the
  /// first of them was read.
  void readNewest(StoreTopic Topic, std::function<void(StoreRead)> Done);
  /// Reads the newest records of the first keys after \p After.
  void readNewestAfter(StoreTopic Topic, const std::string &After,
                       std::function<void(StoreRead)> Done);
  void append(StoreTopic Topic, const std::string &Key,
              const std::string &Value, std::optional<Offset> At,
              std::function<void(StoreAppend)> Done);

private:
  struct Answer {
    /// 0 if there was no answer.
    int Status = 0;
    StoreEra Era;
    std::string Body;
  };
  using AnswerCallback = std::function<void(const Answer &)>;
  void call(const StoreCall &Call, Milliseconds Timeout, AnswerCallback Done);
  void readPage(StoreTopic Topic, const std::string &After,
                std::shared_ptr<StoreRead> Sum, bool ReadsAll,
                std::function<void(StoreRead)> Done);
  StoreEra readEra(const Poco::Net::HTTPResponse &Head);
  void updateReachable(bool Reachable, int Status);

  NodeContext &Context_;
  ConnectionPool Pool_;
  bool Reachable_ = true;
  /// The newest era in an answer; empty before the first that states one.
  std::optional<StoreEra> Era_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_STORECLIENT_H
