#include "sidecar/internal/SidecarNode.h"
#include "sidecar/internal/Allotments.h"
#include "sidecar/internal/CheckIns.h"
#include "sidecar/internal/EvacuatedZones.h"
#include "sidecar/internal/Gossip.h"
#include "sidecar/internal/HopServer.h"
#include "sidecar/internal/OperatorFeed.h"
#include "sidecar/internal/OutboundProxy.h"
#include "sidecar/internal/Signals.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace lycheethread::sidecar {

namespace {

using Poco::Net::HTTPResponse;

constexpr Milliseconds HousekeepingInterval{200};
/// How often the settings file is checked for changes that come without a
/// signal.
constexpr Milliseconds SettingsInterval{1000};
/// How often the number of dropped log lines is reported.
constexpr Milliseconds DroppedReportInterval{5000};
constexpr Milliseconds MinPause{1200};
/// Time within which nodes on the member list have contacted each other.
constexpr Milliseconds MinMemberRecheckDelay{300};
constexpr Milliseconds RecheckDelayPerNode{4};
constexpr Milliseconds MaxMemberRecheckDelay{900};
constexpr Milliseconds JoinRetryDelay{1000};
/// Limits for requests of other nodes and of the platform.
constexpr std::size_t MaxInternalHeadBytes = 64 * 1024;
constexpr std::int64_t MaxInternalBodyBytes = 1LL << 40;
constexpr Milliseconds InternalHeadTimeout{3000};
constexpr Milliseconds InternalIdleTimeout{20000};
constexpr std::int64_t MaxCheckInBytes = 64 * 1024;

std::string readText(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    throw std::runtime_error("cannot read " + Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

settings::SidecarSettings parseOrThrow(const std::string &Path,
                                       const std::string &Text) {
  const settings::ParsedSidecarSettings Parsed =
      settings::parseSidecarSettings(Path, Text);
  std::string Problems;
  for (const Finding &Item : Parsed.Problems)
    Problems += "\n" + toString(Item);
  if (!Problems.empty())
    throw std::runtime_error("the settings file has problems:" + Problems);
  return Parsed.Settings;
}

mesh::CallerLimits internalLimits() {
  return {MaxInternalHeadBytes, MaxInternalBodyBytes, InternalHeadTimeout,
          InternalIdleTimeout};
}

mesh::CallerLimits checkInLimits() {
  mesh::CallerLimits Limits = internalLimits();
  Limits.MaxBodyBytes = MaxCheckInBytes;
  return Limits;
}

} // namespace

struct SidecarNode::Impl {
  std::string SettingsPath;
  std::string SettingsText;
  NodeDependencies Services;
  reactor::EventLoop Loop;
  NodeContext Context;

  std::unique_ptr<StoreClient> Store;
  std::unique_ptr<UpstreamHop> Hop;
  std::unique_ptr<RemoteHop> Remote;
  std::unique_ptr<UpstreamDirectory> Directory;
  std::unique_ptr<Rollouts> ActiveRollouts;
  std::unique_ptr<Allotments> Permits;
  std::unique_ptr<OutboundProxy> Outbound;
  std::unique_ptr<HopServer> Inbound;
  std::unique_ptr<Gossip> NodeGossip;
  std::unique_ptr<CheckIns> UpstreamCheckIns;
  std::unique_ptr<OperatorFeed> Feed;
  std::unique_ptr<HttpServer> OutboundServer;
  std::unique_ptr<HttpServer> InboundServer;
  std::unique_ptr<HttpServer> ReadinessServer;
  std::unique_ptr<HttpServer> CheckInServer;
  std::unique_ptr<HttpServer> MetricsServer;

  SteadyTime LastRound;
  SteadyTime SettingsAt;
  SteadyTime DroppedAt;
  /// The record that adds this node to the list is being written.
  bool JoinRequested = false;
  /// Era of the store in which the list of nodes was last read.
  std::optional<StoreEra> MembersEra;

  Impl(std::string Path, NodeDependencies Dependencies)
      : SettingsPath(std::move(Path)), SettingsText(readText(SettingsPath)),
        Services(std::move(Dependencies)),
        Context(Loop, *Services.Platform,
                parseOrThrow(SettingsPath, SettingsText)) {
    applyBounds();
    Context.Metrics = Services.Recorder;
    Context.KnownNodes.Self = Context.Settings.Id;
  }

  /// A value that cannot be used does not keep the node from its work: the
  /// default is used for it.
  void applyBounds() {
    const mesh::ParsedMeshBounds Parsed =
        Context.Platform.Bounds(Context.Settings.PlatformBounds);
    Context.Bounds = Parsed.Bounds;
    for (const Finding &Item : Parsed.Problems)
      Context.Log.write(LogClass::State, Context.now(), "bound-unusable",
                        {{"problem", toString(Item)}});
  }

  void build() {
    Store = std::make_unique<StoreClient>(Context);
    Hop = std::make_unique<UpstreamHop>(
        Context,
        UpstreamHop::Callbacks{[this](const ServiceName &Service) {
                                 return ActiveRollouts->activeOrder(Service);
                               },
                               // Its answer is passed on first.
                               [this] {
                                 Loop.defer([this] {
                                   UpstreamCheckIns->onStatedLeaving();
                                 });
                               }});
    const auto OwnLoad = [this] { return Hop->load(); };
    ActiveRollouts = std::make_unique<Rollouts>(
        Context, *Store,
        Rollouts::Callbacks{
            [this] { return Hop->evidence(); }, OwnLoad,
            [this](Offset Order, const auto &Own, const auto &Judges) {
              NodeGossip->sendEvidence(Order, Own, Judges);
            },
            [this] { NodeGossip->sendToAll(); },
            [this](Offset From, Offset To) { Hop->moveEvidence(From, To); }});
    Remote = std::make_unique<RemoteHop>(Context);
    Directory = std::make_unique<UpstreamDirectory>(Context, OwnLoad);
    Permits = std::make_unique<Allotments>(
        Context, [this](const Endpoint &To, const GossipMessage &Message) {
          NodeGossip->send(To, Message);
        });
    Outbound = std::make_unique<OutboundProxy>(
        Context, *Hop, *Remote, *Directory, *ActiveRollouts, *Permits);
    Inbound = std::make_unique<HopServer>(Context, *Hop);
    NodeGossip = std::make_unique<Gossip>(
        Context, [this](mesh::NodeReport &Own) { fillOwnReport(Own); },
        [this] {
          Feed->onReports();
          if (!Context.Ready)
            updateReadiness();
        },
        [this](const mesh::Upstream &Past) {
          UpstreamCheckIns->onOwnPast(Past);
        });
    NodeGossip->onEvidence(
        [this](const mesh::EvidenceReport &Report, SteadyTime SentBy) {
          ActiveRollouts->onEvidence(Report, SentBy);
        });
    NodeGossip->onQuota(
        [this](const GossipMessage &Message) { Permits->onMessage(Message); });
    addSeeds();
    UpstreamCheckIns = std::make_unique<CheckIns>(
        Context, *Store,
        CheckIns::Callbacks{[this] { Hop->onCheckIn(); },
                            [this] { onRegistration(); },
                            [this] { Feed->reloadMembers(); }});
    Feed = std::make_unique<OperatorFeed>(
        Context, *Store,
        OperatorFeed::Callbacks{
            [this] { onRecords(); }, [this] { NodeGossip->sendToAll(); },
            [this] { NodeGossip->sendToRegion(); },
            [this] { updateReadiness(); },
            [this](const auto &Items) { ActiveRollouts->onStatus(Items); },
            [this](const auto &Read) { onMembers(Read); }});
    listen();
    housekeep();
  }

  void listen() {
    const settings::SidecarSettings &At = Context.Settings;
    OutboundServer = std::make_unique<HttpServer>(
        Loop, At.Outbound,
        HttpServerOptions{
            [this] {
              return Context.Config ? Context.Config->Limits
                                    : mesh::CallerLimits();
            },
            [this](const auto &Request) { Outbound->handle(Request); },
            Context.HeldAnswers});
    InboundServer = std::make_unique<HttpServer>(
        Loop, At.Inbound,
        HttpServerOptions{internalLimits, [this](const auto &Request) {
                            Inbound->handle(Request);
                          }});
    ReadinessServer = std::make_unique<HttpServer>(
        Loop, At.Readiness,
        HttpServerOptions{internalLimits, [this](const auto &Request) {
                            answerReadiness(Request);
                          }});
    CheckInServer = std::make_unique<HttpServer>(
        Loop, At.CheckIns,
        HttpServerOptions{checkInLimits, [this](const auto &Request) {
                            UpstreamCheckIns->handle(Request);
                          }});
    if (At.Metrics.Port != 0)
      MetricsServer = std::make_unique<HttpServer>(
          Loop, At.Metrics,
          HttpServerOptions{internalLimits, [this](const auto &Request) {
                              Request->answer(HTTPResponse::HTTP_OK,
                                              Services.Registry->Exposition() +
                                                  Outbound->exposition() +
                                                  Permits->exposition() +
                                                  evacuationMetrics(
                                                      Context, Hop->running()) +
                                                  Hop->cold().metrics());
                            }});
  }

  void addSeeds() {
    std::vector<mesh::ListedNode> Found;
    for (const Endpoint &Seed : Context.Settings.Seeds)
      Found.push_back({{Seed.Address, Context.Settings.Gossip.Port}, {}});
    NodeGossip->addSeeds(Found);
  }

  void fillOwnReport(mesh::NodeReport &Own) {
    Own.Place = Context.Join.Place;
    Own.Ready = Context.Ready;
    Own.Stopping = Context.Stopping;
    Own.LocalUpstream = Context.Registered.Current;
    Own.LocalUpstream.ColdRemaining = Hop->cold().remaining();
    Own.Load = Hop->load();
    Own.OperatorPosition = Context.Records.Position;
    Own.KeptRecords = countKept(Context.Records);
    if (Context.ConfirmedAt != SteadyTime())
      Own.ConfirmedAge = elapsed(Context.ConfirmedAt, Context.now());
    Own.Rollouts = ActiveRollouts->reports();
    Own.Crashes = Context.OwnCrashes;
  }

  void onRecords() {
    ActiveRollouts->onRecordsChanged();
    Hop->onRegistrationChanged();
    UpstreamCheckIns->departures().onRecords();
    updateReadiness();
  }

  void onMembers(const StoreRead &Read) {
    std::vector<mesh::ListedNode> Found;
    Offset Place;
    const Endpoint &Own = Context.Settings.Gossip;
    for (const StoreItem &Item : Read.Items) {
      const auto Node = Context.Platform.Operator.ParseMember(Item.Value);
      if (!Node)
        continue;
      Found.push_back(*Node);
      if (Node->Gossip == Own)
        Place = plainOffset(Item.At).next();
    }
    NodeGossip->addSeeds(Found);
    const StoreEra Era = eraOf(Read.End);
    if (MembersEra && *MembersEra < Era)
      restoreMembers(Found);
    MembersEra = Era;
    UpstreamCheckIns->departures().onListRead(Place != Offset());
    if (Place == Offset()) {
      joinMembers();
      return;
    }
    if (!Context.Join.IsNew)
      Context.Join = {true, false, Place, Found.size() - 1};
    UpstreamCheckIns->departures().update();
  }

  /// Writes the entries again that the store has lost. One call each, by the
  /// node that reads the list; the other nodes do not notice.
  void restoreMembers(const std::vector<mesh::ListedNode> &Listed) {
    for (const auto &[Id, Known] : Context.KnownNodes.Nodes) {
      const mesh::NodeReport &Report = Known.LastReport;
      const bool IsListed = std::any_of(Listed.begin(), Listed.end(),
                                        [&](const mesh::ListedNode &Item) {
                                          return Item.Gossip == Report.Gossip;
                                        });
      if (IsListed || !mesh::isAlive(Context.KnownNodes, Known, Context.now()))
        continue;
      Context.Log.write(LogClass::State, Context.now(), "member-restored",
                        {{"node", Id.str()}});
      Store->append(
          StoreTopic::Members, Id.str(),
          Context.Platform.Operator.Member({Report.Gossip, Report.At.Zone}),
          std::nullopt, [](const StoreAppend &) {});
    }
  }

  void joinMembers() {
    if (JoinRequested)
      return;
    JoinRequested = true;
    Store->append(StoreTopic::Members, Context.Settings.Id.str(),
                  Context.Platform.Operator.Member(
                      {Context.Settings.Gossip, Context.Settings.At.Zone}),
                  std::nullopt, [this](const StoreAppend &Written) {
                    JoinRequested = false;
                    if (Written.Outcome == StoreOutcome::Done)
                      onJoined(Written.End);
                    else
                      Loop.runAfter(JoinRetryDelay,
                                    [this] { Feed->reloadMembers(); });
                  });
  }

  /// The end of the list after the own record tells how many nodes joined
  /// before this one, also those that joined after the list was read.
  void onJoined(Offset Position) {
    const Offset End = plainOffset(Position);
    Context.Join = {
        true, true, End,
        static_cast<std::size_t>(std::max<std::int64_t>(0, End.value() - 1))};
    UpstreamCheckIns->departures().update();
    updateReadiness();
    // Among many nodes gossip needs longer; it saves a call to the store.
    const Milliseconds Delay = std::min(
        MaxMemberRecheckDelay,
        MinMemberRecheckDelay + RecheckDelayPerNode * static_cast<std::int64_t>(
                                                          Context.Join.Others));
    Loop.runAfter(Delay, [this] { recheckMembers(); });
  }

  /// Reads the member list again if nodes on it are still unknown: when two
  /// nodes start together and neither finds the other on the list, the one that
  /// is listed later finds the other in this second read.
  void recheckMembers() {
    if (!mesh::knowsListedNodes(Context.Join, Context.KnownNodes))
      Feed->reloadMembers();
  }

  void updateReadiness() {
    // A node that has served once keeps serving: callers have seen its
    // configuration, which is kept up to date but never discarded.
    if (!Context.Stopping && !Context.Serving && Feed && Feed->isCurrent()) {
      Context.Serving = true;
      Outbound->onServing();
    }
    const bool Now = Context.Serving && !Context.Stopping;
    if (Now == Context.Ready)
      return;
    Context.Ready = Now;
    Context.Log.write(
        LogClass::State, Context.now(), Now ? "ready" : "not-ready",
        {{"config", Context.Config
                        ? std::to_string(Context.Config->Version.value())
                        : "none"},
         {"nodes", std::to_string(Context.KnownNodes.Nodes.size())}});
  }

  void answerReadiness(const ServerRequestPtr &Request) const {
    if (Request->head().getURI() != Context.Platform.ReadinessPath)
      Request->answer(HTTPResponse::HTTP_NOT_FOUND, "");
    else if (Context.Ready)
      Request->answer(HTTPResponse::HTTP_OK, "ready");
    else
      Request->answer(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "not ready");
  }

  void onRegistration() {
    UpstreamCheckIns->departures().update();
    Hop->onRegistrationChanged();
    NodeGossip->sendToAll();
  }

  void housekeep() {
    const SteadyTime Now = Context.now();
    UpstreamCheckIns->checkSilence();
    UpstreamCheckIns->departures().update();
    updateReadiness();
    if (elapsed(SettingsAt, Now) >= SettingsInterval)
      reload(false);
    if (elapsed(DroppedAt, Now) >= DroppedReportInterval) {
      DroppedAt = Now;
      Context.Log.reportDropped(Now);
    }
    if (Context.Stopping)
      continueStop();
    Loop.runAfter(HousekeepingInterval, [this] { housekeep(); });
  }

  void reload(bool IsRequested) {
    SettingsAt = Context.now();
    std::string Text;
    try {
      Text = readText(SettingsPath);
      if (Text == SettingsText) {
        if (IsRequested)
          Context.Log.write(LogClass::State, Context.now(), "reload",
                            {{"changed", "no"}});
        return;
      }
      const settings::SidecarSettings Read = parseOrThrow(SettingsPath, Text);
      SettingsText = Text;
      Context.Settings.Seeds = Read.Seeds;
      Context.Settings.Store = Read.Store;
      Context.Settings.CheckInInterval = Read.CheckInInterval;
      Context.Settings.PlatformBounds = Read.PlatformBounds;
      Context.Settings.MaxHedgeShare = Read.MaxHedgeShare;
      Context.Settings.MinFailedRuns = Read.MinFailedRuns;
      Context.Settings.Service = Read.Service;
      applyBounds();
      addSeeds();
      Context.Log.write(
          LogClass::State, Context.now(), "reload",
          {{"changed", "yes"}, {"seeds", std::to_string(Read.Seeds.size())}});
    } catch (const std::exception &Error) {
      // The settings in force stay; the file is read again later.
      Context.Log.write(LogClass::State, Context.now(), "reload-failed",
                        {{"problem", Error.what()}});
    }
  }

  void beginStop() {
    if (Context.Stopping)
      return;
    Context.Stopping = true;
    Context.StopAt = Context.now();
    updateReadiness();
    OutboundServer->announceClose();
    InboundServer->announceClose();
    NodeGossip->sendToAll();
    const mesh::StopPlan Plan = mesh::planStop(Context.Bounds);
    for (const Milliseconds Phase :
         {Plan.AcceptUntil, Plan.SendUntil, Plan.EndAt})
      Loop.runAfter(Phase, [this] { continueStop(); });
    Context.Log.write(
        LogClass::State, Context.now(), "stopping",
        {{"requests", std::to_string(Outbound->inProgress())},
         {"grace_ms", std::to_string(Context.Bounds.GraceTime.count())}});
  }

  void continueStop() {
    const mesh::StopPlan Plan = mesh::planStop(Context.Bounds);
    const Milliseconds Since = elapsed(Context.StopAt, Context.now());
    // Callers without another node keep sending. A request accepted now could
    // not be finished, so it is refused as not run.
    if (Since >= Plan.AcceptUntil)
      Context.Serving = false;
    if (Since >= Plan.SendUntil)
      Hop->refuseUnsent();
    const bool Quiet = Since >= Plan.AcceptUntil && OutboundServer->isQuiet() &&
                       InboundServer->isQuiet() && Hop->inProgress() == 0;
    if (!Quiet && Since < Plan.EndAt)
      return;
    OutboundServer->closeIdle();
    InboundServer->closeIdle();
    Context.Log.write(LogClass::State, Context.now(), "stopped",
                      {{"after_ms", std::to_string(Since.count())},
                       {"open", std::to_string(OutboundServer->inProgress())}});
    Loop.stop();
  }

  /// Detects that the process was suspended: a wait of the event loop is far
  /// shorter than MinPause, and so is any task.
  void detectPause() {
    const SteadyTime Now = Context.now();
    const Milliseconds Gap = elapsed(LastRound, Now);
    const bool IsFirst = LastRound == SteadyTime();
    LastRound = Now;
    if (IsFirst || Gap < MinPause)
      return;
    Context.LastPause = Gap;
    Context.ResumedAt = Now;
    Context.Log.write(LogClass::State, Now, "resumed",
                      {{"paused_ms", std::to_string(Gap.count())}});
  }

  void onRound() {
    detectPause();
    const PendingSignals Signals = takePendingSignals();
    if (Signals.Stop)
      beginStop();
    if (Signals.Reload)
      reload(true);
  }
};

SidecarNode::SidecarNode(std::string SettingsPath, NodeDependencies Services)
    : Impl_(std::make_unique<Impl>(std::move(SettingsPath),
                                   std::move(Services))) {}

SidecarNode::~SidecarNode() = default;

void SidecarNode::run() {
  installSignalHandlers();
  Impl_->build();
  NodeContext &Context = Impl_->Context;
  Context.Log.write(
      LogClass::State, Context.now(), "started",
      {{"node", Context.Settings.Id.str()},
       {"zone", Context.Settings.At.Zone.str()},
       {"service", Context.Settings.Service.str()},
       {"outbound", settings::toString(Context.Settings.Outbound)},
       {"store", settings::toString(Context.Settings.Store)}});
  Impl_->Loop.run([this] { Impl_->onRound(); });
}

} // namespace lycheethread::sidecar
