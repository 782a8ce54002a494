#include "moveowner/MoveOwner.h"
#include "moveowner/internal/MoveOwner.h"
#include "moveowner/internal/OutcomeCodec.h"
#include "moveowner/internal/SerialWorker.h"
#include "records/Records.h"

#include <boost/log/trivial.hpp>

#include <condition_variable>
#include <ctime>
#include <mutex>
#include <thread>

namespace lycheethread::moveowner {

namespace {

namespace names = kernel::service_names;

constexpr Milliseconds TickInterval{500};

WallTime wallNow() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(std::chrono::duration_cast<Milliseconds>(Now).count());
}

SteadyTime steadyNow() {
  // Unlike the monotonic clock, it also counts while the instance sleeps.
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return SteadyTime(Now.tv_sec * 1000 + Now.tv_nsec / 1'000'000);
}

/// Calls the owner twice a second until it is stopped.
struct Ticker {
  std::mutex Lock;
  std::condition_variable Changed;
  bool Stopping = false;
  std::thread Thread;

  void run(MoveOwner &Owner) {
    std::unique_lock<std::mutex> Guard(Lock);
    while (!Stopping) {
      Guard.unlock();
      try {
        Owner.tick();
      } catch (const std::exception &Error) {
        BOOST_LOG_TRIVIAL(error) << "moveowner: " << Error.what();
      }
      Guard.lock();
      Changed.wait_for(Guard, TickInterval, [this] { return Stopping; });
    }
  }

  void stop() {
    {
      const std::lock_guard<std::mutex> Guard(Lock);
      Stopping = true;
    }
    Changed.notify_all();
    if (Thread.joinable())
      Thread.join();
  }
};

struct ModuleState {
  std::shared_ptr<kernel::SnapshotStore<moves::StoppedMoveSet>> StoppedMoves =
      std::make_shared<kernel::SnapshotStore<moves::StoppedMoveSet>>(
          std::make_shared<const moves::StoppedMoveSet>());
  std::unique_ptr<SerialWorker> LogWorker;
  std::unique_ptr<SerialWorker> PeerWorker;
  std::shared_ptr<MoveOwner> Owner;
  Ticker Ticks;
};

MoveOwnerDependencies portsOf(const kernel::ServiceRegistry &Registry,
                              ModuleState &State) {
  MoveOwnerDependencies Ports;
  Ports.Config =
      Registry.find<kernel::SnapshotStore<config::ConfigState>>(names::Config);
  Ports.Members =
      Registry.find<kernel::SnapshotStore<std::vector<Member>>>(names::Members);
  Ports.StoppedMoves = State.StoppedMoves;
  Ports.Peers = Registry.find<peer::PeerControl>(names::Peers);
  Ports.Log = Registry.find<streamlog::LogClient>(names::Log);
  Ports.LastHop =
      Registry.find<proxy::OutcomeAccumulator>(names::LastHopOutcomes);
  Ports.Entry = Registry.find<proxy::OutcomeAccumulator>(names::EntryOutcomes);
  Ports.Encode = records::encodeRecord;
  Ports.WallNow = wallNow;
  Ports.SteadyNow = steadyNow;
  Ports.PostToLog = [&Worker = *State.LogWorker](std::function<void()> Job) {
    return Worker.offer(std::move(Job));
  };
  Ports.PostToPeers = [&Worker = *State.PeerWorker](std::function<void()> Job) {
    return Worker.offer(std::move(Job));
  };
  return Ports;
}

/// The handlers stay set after deinit, so that they hold the owner weakly.
void setHandlers(const peer::PeerControl &Peers,
                 const std::weak_ptr<MoveOwner> &Owner) {
  Peers.OnCall("outcomes", [Owner](const std::string &Payload) {
    if (const auto Locked = Owner.lock())
      Locked->handleOutcomeReport(Payload);
    return std::string();
  });
  Peers.OnRumour("brake", [Owner](const std::string &Payload) {
    if (const auto Locked = Owner.lock())
      Locked->handleStopNotice(Payload);
  });
}

void start(const kernel::ServiceRegistry &Registry, ModuleState &State) {
  State.LogWorker = std::make_unique<SerialWorker>();
  State.PeerWorker = std::make_unique<SerialWorker>();
  const MoveOwnerDependencies Ports = portsOf(Registry, State);
  State.Owner = std::make_shared<MoveOwner>(Ports);
  setHandlers(*Ports.Peers, State.Owner);
  State.Ticks.Thread = std::thread([&State] { State.Ticks.run(*State.Owner); });
}

void stop(ModuleState &State) {
  State.Ticks.stop();
  // Jobs in progress use the owner, which they hold themselves.
  State.LogWorker.reset();
  State.PeerWorker.reset();
  State.Owner.reset();
}

} // namespace

kernel::Module makeMoveOwnerModule() {
  const auto State = std::make_shared<ModuleState>();
  kernel::Module Result;
  Result.Name = "moveowner";
  Result.RegisterServices = [State](kernel::ServiceRegistry &Registry) {
    Registry.add(names::StoppedMoves, State->StoppedMoves);
  };
  Result.Init = [State](kernel::ServiceRegistry &Registry) {
    start(Registry, *State);
  };
  Result.Deinit = [State] { stop(*State); };
  return Result;
}

} // namespace lycheethread::moveowner
