#include "proxy/Proxy.h"
#include "proxy/internal/Entry.h"
#include "proxy/internal/HttpServer.h"
#include "proxy/internal/LastHop.h"
#include "proxy/internal/NodeServices.h"
#include "proxy/internal/OutcomeSums.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <memory>
#include <mutex>

namespace lycheethread::proxy {

namespace {

namespace names = kernel::service_names;

class ProxyModule {
public:
  void registerServices(kernel::ServiceRegistry &Registry) {
    LastHopOutcomes_ = makeOutcomeAccumulator();
    EntryOutcomes_ = makeOutcomeAccumulator();
    Registry.add(names::LastHopOutcomes, LastHopOutcomes_);
    Registry.add(names::EntryOutcomes, EntryOutcomes_);
    auto Drain = std::make_shared<DrainControl>();
    Drain->Begin = [this] { beginDrain(); };
    Drain->InProgress = [this] { return inProgress(); };
    Drain->LastHopInProgress = [this] { return lastHopInProgress(); };
    Drain->StopListening = [this] { stopListening(); };
    Registry.add(names::Drain, Drain);
  }

  void init(kernel::ServiceRegistry &Registry) {
    const NodeServices Services = findServices(Registry);
    const settings::NodeSettings &Settings = *Services.Settings;
    const std::lock_guard<std::mutex> Guard(Lock_);
    if (!Settings.Service.empty())
      LocalHop_ = std::make_unique<LastHop>(Services);
    Entry_ = std::make_unique<Entry>(Services, LocalHop_.get());
    const std::int32_t ConnectionsPerServer =
        std::max(1, Settings.MaxConnections / 2);
    if (LocalHop_)
      HopServer_ = std::make_unique<HttpServer>(
          Settings.Hop, ConnectionsPerServer, nodeCallbacks());
    ListenServer_ = std::make_unique<HttpServer>(
        Settings.Listen, ConnectionsPerServer, callerCallbacks());
    BOOST_LOG_TRIVIAL(info) << "proxy: listens on " << Settings.Listen.Address
                            << ":" << Settings.Listen.Port;
  }

  void deinit() {
    const std::lock_guard<std::mutex> Guard(Lock_);
    ListenServer_.reset();
    HopServer_.reset();
    Entry_.reset();
    LocalHop_.reset();
  }

private:
  NodeServices findServices(kernel::ServiceRegistry &Registry) const {
    NodeServices Found;
    Found.Settings = Registry.find<settings::NodeSettings>(names::Settings);
    Found.View = Registry.find<kernel::SnapshotStore<requests::RoutingView>>(
        names::View);
    Found.StoppedMoves =
        Registry.find<kernel::SnapshotStore<moves::StoppedMoveSet>>(
            names::StoppedMoves);
    Found.Refusals = Registry.find<refusals::RefusalSink>(names::Refusals);
    Found.Metrics =
        Registry.find<metrics::RequestRecorder>(names::RequestMetrics);
    Found.Peers = Registry.find<peer::PeerControl>(names::Peers);
    Found.Log = Registry.find<streamlog::LogClient>(names::Log);
    Found.LastHopOutcomes = LastHopOutcomes_;
    Found.EntryOutcomes = EntryOutcomes_;
    return Found;
  }

  ServerCallbacks callerCallbacks() {
    Entry *Handler = Entry_.get();
    return {[Handler](HttpConnection &From,
                      const Poco::Net::HTTPRequest &Request,
                      const Framing &Body) {
              return Handler->serveCaller(From, Request, Body);
            },
            [Handler](HttpConnection &From, RefusalReason Reason) {
              Handler->refuseInvalid(From, Reason, true);
            }};
  }

  ServerCallbacks nodeCallbacks() {
    Entry *Handler = Entry_.get();
    return {[Handler](HttpConnection &From,
                      const Poco::Net::HTTPRequest &Request,
                      const Framing &Body) {
              return Handler->serveNode(From, Request, Body);
            },
            [Handler](HttpConnection &From, RefusalReason Reason) {
              Handler->refuseInvalid(From, Reason, false);
            }};
  }

  void beginDrain() {
    const std::lock_guard<std::mutex> Guard(Lock_);
    if (LocalHop_)
      LocalHop_->beginDrain();
    if (ListenServer_)
      ListenServer_->closeAfterNextResponse();
  }

  void stopListening() {
    const std::lock_guard<std::mutex> Guard(Lock_);
    if (ListenServer_)
      ListenServer_->stopAccepting();
  }

  std::int64_t lastHopInProgress() {
    const std::lock_guard<std::mutex> Guard(Lock_);
    std::int64_t Sum = 0;
    if (HopServer_)
      Sum += HopServer_->inProgress();
    if (LocalHop_)
      Sum += LocalHop_->inProgress() + LocalHop_->unwrittenOutcomes();
    return Sum;
  }

  std::int64_t inProgress() {
    const std::lock_guard<std::mutex> Guard(Lock_);
    std::int64_t Sum = 0;
    if (ListenServer_)
      Sum += ListenServer_->inProgress();
    if (HopServer_)
      Sum += HopServer_->inProgress();
    if (LocalHop_)
      Sum += LocalHop_->unwrittenOutcomes();
    return Sum;
  }

  std::shared_ptr<OutcomeAccumulator> LastHopOutcomes_;
  std::shared_ptr<OutcomeAccumulator> EntryOutcomes_;
  std::mutex Lock_;
  std::unique_ptr<LastHop> LocalHop_;
  std::unique_ptr<Entry> Entry_;
  std::unique_ptr<HttpServer> HopServer_;
  std::unique_ptr<HttpServer> ListenServer_;
};

} // namespace

kernel::Module makeProxyModule() {
  auto Module = std::make_shared<ProxyModule>();
  return {
      "proxy",
      [Module](kernel::ServiceRegistry &Registry) {
        Module->registerServices(Registry);
      },
      [Module](kernel::ServiceRegistry &Registry) { Module->init(Registry); },
      [Module] { Module->deinit(); }};
}

} // namespace lycheethread::proxy
