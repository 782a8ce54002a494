#include "refusallog/RefusalLog.h"
#include "refusallog/internal/CollectorOrder.h"
#include "refusallog/internal/Shipper.h"
#include "settings/Settings.h"

#include <boost/log/trivial.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace lycheethread::refusallog {

namespace {

namespace names = kernel::service_names;
using MemberStore = kernel::SnapshotStore<std::vector<Member>>;

constexpr std::chrono::milliseconds TickInterval{2000};
/// Time limit for storing the final batch when the node stops.
constexpr std::chrono::milliseconds FinishTimeout{5000};
constexpr std::chrono::milliseconds FinishRetryDelay{100};
constexpr std::size_t ReasonCount =
    static_cast<std::size_t>(RefusalReason::NotReady) + 1;
constexpr std::size_t ExecutedCount =
    static_cast<std::size_t>(Executed::Unknown) + 1;

WallTime wallNow() {
  using namespace std::chrono;
  return WallTime(
      duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count());
}

SteadyTime steadyNow() {
  using namespace std::chrono;
  return SteadyTime(
      duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
          .count());
}

/// Thread that calls a function periodically until it is stopped.
class Ticker {
public:
  explicit Ticker(std::function<void()> Step)
      : Step_(std::move(Step)), Thread_([this] { run(); }) {}
  ~Ticker() {
    {
      const std::lock_guard<std::mutex> Guard(Lock_);
      Stopped_ = true;
    }
    Wake_.notify_all();
    Thread_.join();
  }

private:
  void run() {
    std::unique_lock<std::mutex> Guard(Lock_);
    while (!Stopped_) {
      Guard.unlock();
      Step_();
      Guard.lock();
      Wake_.wait_for(Guard, TickInterval, [this] { return Stopped_; });
    }
  }

  std::function<void()> Step_;
  std::mutex Lock_;
  std::condition_variable Wake_;
  bool Stopped_ = false;
  std::thread Thread_;
};

/// State of the module.
struct ModuleState {
  /// Refusals since the node started, by reason and execution status.
  std::array<std::atomic<std::int64_t>, ReasonCount * ExecutedCount> Totals{};
  /// Refusals before init, when no shipper exists yet.
  std::mutex EarlyLock;
  std::vector<Refusal> Early;
  std::shared_ptr<Shipper> Sender;
  std::shared_ptr<Collector> Own;
  bool LogDown = false;
  std::unique_ptr<Ticker> SendTicker;
  std::unique_ptr<Ticker> AppendTicker;

  void add(const Refusal &Item);
  std::vector<ReasonTotal> totals() const;
  void append();
  void start(kernel::ServiceRegistry &Registry);
  void stop();
};

void ModuleState::add(const Refusal &Item) {
  const std::size_t Index =
      static_cast<std::size_t>(Item.Reason) * ExecutedCount +
      static_cast<std::size_t>(Item.ExecutionStatus);
  Totals.at(Index).fetch_add(1, std::memory_order_relaxed);
  if (const std::shared_ptr<Shipper> To = std::atomic_load(&Sender)) {
    To->add(Item);
    return;
  }
  const std::lock_guard<std::mutex> Guard(EarlyLock);
  if (const std::shared_ptr<Shipper> To = std::atomic_load(&Sender))
    To->add(Item);
  else
    Early.push_back(Item);
}

std::vector<ReasonTotal> ModuleState::totals() const {
  std::vector<ReasonTotal> Result;
  for (std::size_t I = 0; I < Totals.size(); ++I)
    if (const std::int64_t Count = Totals[I].load(); Count > 0)
      Result.push_back({static_cast<RefusalReason>(I / ExecutedCount),
                        static_cast<Executed>(I % ExecutedCount), Count});
  return Result;
}

void ModuleState::append() {
  try {
    Own->step();
    if (LogDown)
      BOOST_LOG_TRIVIAL(info) << "refusals: the log is reachable again";
    LogDown = false;
  } catch (const streamlog::LogUnavailable &Error) {
    if (!LogDown)
      BOOST_LOG_TRIVIAL(warning)
          << "refusals: the log is not reachable, keeping batches: "
          << Error.what();
    LogDown = true;
  }
}

std::string handleRequest(Collector &Own, const std::string &Payload) {
  const ShipRequest Request = decodeShipRequest(Payload);
  return encodeShipReply(Request.Batch ? Own.accept(*Request.Batch)
                                       : Own.stateOf(Request.Id));
}

void ModuleState::start(kernel::ServiceRegistry &Registry) {
  const auto Settings = Registry.find<settings::NodeSettings>(names::Settings);
  const auto Log = Registry.find<streamlog::LogClient>(names::Log);
  const auto Peers = Registry.find<peer::PeerControl>(names::Peers);
  const auto Members = Registry.find<MemberStore>(names::Members);
  // The start time serves as the incarnation of the batches. It is known before
  // the peer threads run, and it increases with each restart.
  const WallTime Now = wallNow();
  const Incarnation IncarnationNumber(Now.value());
  Own = std::make_shared<Collector>(*Log, Settings->At.Zone, Settings->Id,
                                    IncarnationNumber);
  ShipperDependencies Dependencies;
  Dependencies.Collectors = [Members, At = Settings->At] {
    const std::shared_ptr<const std::vector<Member>> Seen = Members->load();
    return Seen ? collectorOrder(*Seen, At) : std::vector<Member>();
  };
  Dependencies.Call = [Peers](const Member &Target,
                              const std::string &Payload) {
    return Peers->Call(Target, ShipTopic, Payload);
  };
  const auto NewShipper = std::make_shared<Shipper>(
      Settings->Id, IncarnationNumber, Now, std::move(Dependencies), Own);
  Peers->OnCall(ShipTopic, [Own = Own](const std::string &Payload) {
    return handleRequest(*Own, Payload);
  });
  {
    const std::lock_guard<std::mutex> Guard(EarlyLock);
    for (const Refusal &Item : Early)
      NewShipper->add(Item);
    Early.clear();
    std::atomic_store(&Sender, NewShipper);
  }
  AppendTicker = std::make_unique<Ticker>([this] { append(); });
  SendTicker = std::make_unique<Ticker>(
      [this] { Sender->tick(wallNow(), steadyNow()); });
}

void ModuleState::stop() {
  SendTicker.reset();
  AppendTicker.reset();
  const auto Deadline = std::chrono::steady_clock::now() + FinishTimeout;
  bool FirstTry = true;
  const bool Shipped = Sender->finish(wallNow(), [&Deadline, &FirstTry] {
    if (!FirstTry)
      std::this_thread::sleep_for(FinishRetryDelay);
    FirstTry = false;
    return std::chrono::steady_clock::now() < Deadline;
  });
  if (!Shipped)
    BOOST_LOG_TRIVIAL(error)
        << "refusals: the log did not take the final batch; "
        << Sender->unshipped() << " refusals are missing from the report";
}

} // namespace

kernel::Module makeRefusalLogModule() {
  const auto Module = std::make_shared<ModuleState>();
  const auto Register = [Module](kernel::ServiceRegistry &Registry) {
    auto Sink = std::make_shared<refusals::RefusalSink>();
    Sink->Add = [Module](const Refusal &Item) { Module->add(Item); };
    Registry.add(names::Refusals, std::move(Sink));
    auto Status = std::make_shared<RefusalStatus>();
    Status->Totals = [Module] { return Module->totals(); };
    Status->Unshipped = [Module]() -> std::int64_t {
      const std::shared_ptr<Shipper> From = std::atomic_load(&Module->Sender);
      return From ? From->unshipped() : 0;
    };
    Registry.add(StatusName, std::move(Status));
  };
  return {
      "refusallog", Register,
      [Module](kernel::ServiceRegistry &Registry) { Module->start(Registry); },
      [Module] { Module->stop(); }};
}

} // namespace lycheethread::refusallog
