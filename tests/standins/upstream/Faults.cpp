#include "Faults.h"

#include <thread>

namespace lycheethread::upstream {

namespace {

using Clock = std::chrono::steady_clock;

/// Factor of the service time during the cold start.
constexpr int ColdFactor = 5;
constexpr std::size_t MaxKeys = 100000;
/// Coprime to 100, so that failures are deterministic and evenly distributed.
constexpr std::uint64_t FailureStride = 37;

} // namespace

Faults::Faults(const Options &Config)
    : Options_(Config), StartTime_(Clock::now()), ActiveFrom_(StartTime_) {
  if (!Config.RunsFile.empty())
    Runs_.open(Config.RunsFile, std::ios::app);
}

void Faults::control(const Poco::URI &Uri) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  for (const auto &[Name, Value] : Uri.getQueryParameters()) {
    if (Name == "fail_percent")
      FailPercent_ = std::stoi(Value);
    else if (Name == "slow_ms")
      SlowMs_ = std::stoi(Value);
    else if (Name == "route")
      Route_ = Value;
    else if (Name == "after_s")
      ActiveFrom_ = Clock::now() + std::chrono::seconds(std::stoi(Value));
    else if (Name == "health")
      ReportsHealth_ = Value != "bad";
    else if (Name == "drain")
      Draining_ = Value == "1";
    else if (Name == "limit")
      StatedLimit_ = Value;
    else if (Name == "leaving")
      SaysItLeaves_ = Value == "1";
  }
}

bool Faults::isActive(const std::string &Path) const {
  return Clock::now() >= ActiveFrom_ && Path.rfind(Route_, 0) == 0;
}

FaultDecision Faults::decideFault(const std::string &Path) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  FaultDecision Result;
  Result.DelayMs = Options_.ServiceTimeMs;
  const auto Uptime = Clock::now() - StartTime_;
  if (Uptime < std::chrono::milliseconds(Options_.ColdStartMs))
    Result.DelayMs *= ColdFactor;
  if (!isActive(Path))
    return Result;
  Result.DelayMs += SlowMs_;
  Result.Fail =
      static_cast<int>(++MatchedRequests_ * FailureStride % 100) < FailPercent_;
  return Result;
}

bool Faults::acquireSlot() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  if (Draining_ || Running_ >= Options_.Slots)
    return false;
  ++Running_;
  return true;
}

void Faults::releaseSlot() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  --Running_;
}

void Faults::work(int DelayMs) {
  const bool Limited = Options_.Workers > 0;
  if (Limited) {
    std::unique_lock<std::mutex> Guard(Lock_);
    WorkerFree_.wait(Guard, [this] { return Working_ < Options_.Workers; });
    ++Working_;
  }
  if (DelayMs > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(DelayMs));
  if (!Limited)
    return;
  const std::lock_guard<std::mutex> Guard(Lock_);
  --Working_;
  WorkerFree_.notify_one();
}

void Faults::countExecution(const std::string &Key) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  if (Executions_.size() < MaxKeys || Executions_.count(Key) != 0)
    ++Executions_[Key];
}

void Faults::recordRun(const std::string &Id) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  if (!Runs_.is_open())
    return;
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  Runs_ << std::chrono::duration_cast<std::chrono::milliseconds>(Now).count()
        << " " << Id << std::endl;
}

std::string Faults::executions() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  std::string Text;
  for (const auto &[Key, Count] : Executions_)
    Text += Key + " " + std::to_string(Count) + "\n";
  return Text;
}

std::string Faults::statedLimit() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  return StatedLimit_;
}

bool Faults::saysItLeaves() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  return SaysItLeaves_;
}

bool Faults::isHealthy() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  return ReportsHealth_;
}

} // namespace lycheethread::upstream
