#include "moveowner/internal/SerialWorker.h"

#include <boost/log/trivial.hpp>

#include <condition_variable>
#include <exception>
#include <mutex>
#include <thread>

namespace lycheethread::moveowner {

struct SerialWorker::Impl {
  std::mutex Lock;
  std::condition_variable Changed;
  std::function<void()> Job;
  bool Stopping = false;
  std::thread Thread;

  void runJob() {
    try {
      Job();
    } catch (const std::exception &Error) {
      BOOST_LOG_TRIVIAL(warning) << "moveowner: " << Error.what();
    }
  }

  void loop() {
    std::unique_lock<std::mutex> Guard(Lock);
    while (true) {
      Changed.wait(Guard, [this] { return Stopping || Job; });
      if (Stopping)
        return;
      Guard.unlock();
      runJob();
      Guard.lock();
      Job = nullptr;
    }
  }
};

SerialWorker::SerialWorker() : Impl_(std::make_unique<Impl>()) {
  Impl_->Thread = std::thread([this] { Impl_->loop(); });
}

SerialWorker::~SerialWorker() {
  {
    const std::lock_guard<std::mutex> Guard(Impl_->Lock);
    Impl_->Stopping = true;
  }
  Impl_->Changed.notify_all();
  Impl_->Thread.join();
}

bool SerialWorker::offer(std::function<void()> Job) {
  {
    const std::lock_guard<std::mutex> Guard(Impl_->Lock);
    if (Impl_->Job || Impl_->Stopping)
      return false;
    Impl_->Job = std::move(Job);
  }
  Impl_->Changed.notify_all();
  return true;
}

} // namespace lycheethread::moveowner
