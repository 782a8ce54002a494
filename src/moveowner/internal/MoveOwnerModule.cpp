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
  // Unlike CLOCK_MONOTONIC, this clock also advances while the instance is
  // suspended.
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return SteadyTime(Now.tv_sec * 1000 + Now.tv_nsec / 1'000'000);
}

/// Thread that calls MoveOwner::tick() twice a second until it is stopped.
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

MoveOwnerDependencies makeDependencies(const kernel::ServiceRegistry &Registry,
                                       ModuleState &State) {
  MoveOwnerDependencies Dependencies;
  Dependencies.Config =
      Registry.find<kernel::SnapshotStore<config::ConfigState>>(names::Config);
  Dependencies.Members =
      Registry.find<kernel::SnapshotStore<std::vector<Member>>>(names::Members);
  Dependencies.StoppedMoves = State.StoppedMoves;
  Dependencies.Peers = Registry.find<peer::PeerControl>(names::Peers);
  Dependencies.Log = Registry.find<streamlog::LogClient>(names::Log);
  Dependencies.LastHop =
      Registry.find<proxy::OutcomeAccumulator>(names::LastHopOutcomes);
  Dependencies.Entry =
      Registry.find<proxy::OutcomeAccumulator>(names::EntryOutcomes);
  Dependencies.Encode = records::encodeRecord;
  Dependencies.WallNow = wallNow;
  Dependencies.SteadyNow = steadyNow;
  Dependencies.PostToLog = [&Worker =
                                *State.LogWorker](std::function<void()> Job) {
    return Worker.offer(std::move(Job));
  };
  Dependencies.PostToPeers =
      [&Worker = *State.PeerWorker](std::function<void()> Job) {
        return Worker.offer(std::move(Job));
      };
  return Dependencies;
}

/// Sets the handlers. They stay set after deinit and therefore hold only a weak
/// pointer to the owner.
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
  const MoveOwnerDependencies Dependencies = makeDependencies(Registry, State);
  State.Owner = std::make_shared<MoveOwner>(Dependencies);
  setHandlers(*Dependencies.Peers, State.Owner);
  State.Ticks.Thread = std::thread([&State] { State.Ticks.run(*State.Owner); });
}

void stop(ModuleState &State) {
  State.Ticks.stop();
  // Jobs in progress keep the owner alive through their own pointers.
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
