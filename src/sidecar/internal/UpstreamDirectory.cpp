#include "sidecar/internal/UpstreamDirectory.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::sidecar {

namespace {

/// Weight of the newest outcome in the failure rate.
constexpr double FailureWeight = 0.12;
/// Half-life of the failure rate without new outcomes, so that an upstream that
/// was avoided is tried again.
constexpr double FailureHalfLifeMs = 2000;
/// A node that accepts no connection is avoided for this time, which doubles
/// with each failure up to the maximum.
constexpr Milliseconds MinAvoidance{500};
constexpr Milliseconds MaxAvoidance{4000};
constexpr std::int32_t MaxDoublings = 3;
/// The report of a living node is usually newer than this, and so is its newest
/// answer to several requests.
constexpr Milliseconds StaleReportAge{1200};
constexpr Milliseconds StaleAnswerAge{500};
/// Used while no upstream's service time is known.
constexpr Milliseconds UnknownServiceTime{50};

/// Without a service time a new upstream would look like the fastest one, and
/// all nodes would send to it.
void fillInServiceTimes(std::vector<mesh::Candidate> &Candidates) {
  Milliseconds Sum{0};
  std::int64_t Known = 0;
  for (const mesh::Candidate &Item : Candidates) {
    Sum += Item.ServiceTime;
    Known += Item.ServiceTime > Milliseconds(0) ? 1 : 0;
  }
  const Milliseconds Assumed = Known == 0 ? UnknownServiceTime : Sum / Known;
  for (mesh::Candidate &Item : Candidates)
    if (Item.ServiceTime <= Milliseconds(0))
      Item.ServiceTime = Item.IsCold ? Assumed * mesh::ColdFactor : Assumed;
}

} // namespace

UpstreamDirectory::UpstreamDirectory(NodeContext &Context,
                                     std::function<mesh::LoadReport()> OwnLoad)
    : Context_(Context), OwnLoad_(std::move(OwnLoad)) {}

bool UpstreamDirectory::isUsable(const mesh::NodeReport &Report,
                                 const ServiceName &Service) const {
  return Report.LocalUpstream.Service == Service &&
         Report.LocalUpstream.State == mesh::UpstreamState::Ready &&
         !Report.Stopping;
}

double UpstreamDirectory::decayedFailureRate(UpstreamStats &Item) const {
  const auto Age =
      static_cast<double>(elapsed(Item.FailureAt, Context_.now()).count());
  return Item.FailureRate * std::exp2(-Age / FailureHalfLifeMs);
}

mesh::Candidate UpstreamDirectory::describe(const mesh::NodeReport &Report,
                                            SteadyTime HeardAt,
                                            SteadyTime ReportedAt) {
  UpstreamStats &Item = Stats_[Report.Id];
  const bool HasNewerLoad = Item.Load && Item.LoadAt > HeardAt;
  const mesh::LoadReport Load = HasNewerLoad ? *Item.Load : Report.Load;
  mesh::Candidate Found;
  Found.Node = Report.Id;
  Found.Instance = Report.LocalUpstream.Id;
  Found.Version = Report.LocalUpstream.Version;
  Found.At = Report.At;
  Found.Distance =
      mesh::proximityOf(Context_.Settings.At, Context_.Settings.Id, Report);
  Found.Capacity = std::max(1, Report.LocalUpstream.Capacity);
  Found.Outstanding = std::max(Load.Running + Load.Waiting +
                                   (HasNewerLoad ? Item.SentSince : 0),
                               Item.Outstanding);
  Found.ServiceTime = Load.ServiceTime;
  Found.BodyWait = Load.BodyWait;
  describeLimit(Item, Load, HasNewerLoad ? Item.LoadAt : HeardAt,
                HasNewerLoad ? Item.SentSince : 0, Found);
  Found.IsCold =
      Report.LocalUpstream.ColdRemaining > elapsed(ReportedAt, Context_.now());
  Found.FailureRate = decayedFailureRate(Item);
  return Found;
}

std::size_t UpstreamDirectory::entries() const {
  return Context_.KnownNodes.Nodes.size() + 1;
}

void UpstreamDirectory::describeLimit(UpstreamStats &Item,
                                      const mesh::LoadReport &Load,
                                      SteadyTime LoadAt, std::int32_t SentSince,
                                      mesh::Candidate &Into) {
  if (!Load.LimitPerSecond) {
    Item.Share = {};
    return;
  }
  const SteadyTime Now = Context_.now();
  std::uniform_real_distribution<double> FirstTokens(0, 1);
  requests::setShareBounds(Item.Share, *Load.LimitPerSecond, entries(),
                           FirstTokens(Context_.Random), Now);
  Into.PermitWait =
      mesh::permitWaitSince(Load, SentSince, elapsed(LoadAt, Now));
  Into.IsBeyondShare = !requests::isWithinShare(Item.Share, Now);
}

std::optional<StatedLimit>
UpstreamDirectory::knownLimit(const NodeId &Node) const {
  const auto Found = Stats_.find(Node);
  return Found == Stats_.end() ? std::nullopt : Found->second.Stated;
}

/// A node that accepts no connection is tried again when it is heard of anew:
/// in a large fleet it counts as alive for much longer than it takes to notice.
bool UpstreamDirectory::seemsDown(const UpstreamStats &Item,
                                  SteadyTime HeardAt) const {
  const SteadyTime Now = Context_.now();
  return Item.AvoidUntil > Now || (Item.ConnectFailedAt != SteadyTime() &&
                                   HeardAt <= Item.ConnectFailedAt);
}

/// Without reports and answers the instance may be frozen or disconnected. Its
/// connections stay open, so requests sent there would wait without an answer.
bool UpstreamDirectory::seemsUnresponsive(const UpstreamStats &Item,
                                          SteadyTime HeardAt) const {
  const SteadyTime Now = Context_.now();
  return elapsed(HeardAt, Now) > StaleReportAge && Item.Outstanding > 0 &&
         elapsed(Item.WaitingSince, Now) > StaleAnswerAge;
}

/// Whether a request whose random number from 0 to 1 is \p Draw may go to a
/// zone that was evacuated. One number decides for all upstreams of a zone:
/// each for itself, a zone with many would always have one to offer.
bool UpstreamDirectory::mayUseNow(const AvailabilityZone &Zone,
                                  double Draw) const {
  return Draw < mesh::requestShare(Context_.Evacuated, Zone, Context_.now());
}

std::vector<mesh::Candidate>
UpstreamDirectory::candidates(const ServiceName &Service,
                              const std::set<NodeId> &Excluded,
                              const organisations::ServingRegions &Allowed) {
  std::vector<mesh::Candidate> Found;
  std::vector<mesh::Candidate> Avoided;
  /// Upstreams of zones that get only a part of their requests yet.
  std::vector<mesh::Candidate> Returning;
  const SteadyTime Now = Context_.now();
  const double Draw =
      std::uniform_real_distribution<double>(0, 1)(Context_.Random);
  for (const auto &[Id, Known] : Context_.KnownNodes.Nodes) {
    if (Excluded.count(Id) != 0 || !isUsable(Known.LastReport, Service) ||
        !organisations::allows(Allowed, Known.LastReport.At.RegionName) ||
        mesh::isEvacuated(Context_.Evacuated, Known.LastReport.At.Zone) ||
        !mesh::isAlive(Context_.KnownNodes, Known, Now))
      continue;
    const UpstreamStats &Item = Stats_[Id];
    const bool IsAvoided = seemsDown(Item, Known.HeardAt) ||
                           seemsUnresponsive(Item, Known.HeardAt);
    const bool IsUsedNow = mayUseNow(Known.LastReport.At.Zone, Draw);
    auto &List = IsAvoided ? Avoided : (IsUsedNow ? Found : Returning);
    List.push_back(describe(Known.LastReport, Known.HeardAt, Known.ReportedAt));
  }
  const NodeId &Self = Context_.Settings.Id;
  mesh::NodeReport Own;
  Own.Id = Self;
  Own.At = Context_.Settings.At;
  Own.LocalUpstream = Context_.Registered.Current;
  if (Excluded.count(Self) == 0 && isUsable(Own, Service) &&
      organisations::allows(Allowed, Own.At.RegionName) &&
      !mesh::isEvacuated(Context_.Evacuated, Own.At.Zone)) {
    Own.Load = OwnLoad_();
    mesh::Candidate Item = describe(Own, Now, Context_.Registered.HeardAt);
    Item.Outstanding = Own.Load.Running + Own.Load.Waiting;
    auto &List = mayUseNow(Own.At.Zone, Draw) ? Found : Returning;
    List.push_back(std::move(Item));
  }
  if (Found.empty())
    Found = std::move(Returning);
  // If all upstreams are suspect, trying one is better than refusing.
  if (Found.empty())
    Found = std::move(Avoided);
  fillInServiceTimes(Found);
  return Found;
}

Endpoint UpstreamDirectory::hopOf(const NodeId &Node) const {
  const auto Found = Context_.KnownNodes.Nodes.find(Node);
  return Found == Context_.KnownNodes.Nodes.end()
             ? Endpoint()
             : Found->second.LastReport.Hop;
}

void UpstreamDirectory::onSent(const NodeId &Node) {
  UpstreamStats &Item = Stats_[Node];
  if (Item.Outstanding++ == 0)
    Item.WaitingSince = Context_.now();
  ++Item.SentSince;
  requests::recordSent(Item.Share, Context_.now());
}

void UpstreamDirectory::onCancelled(const NodeId &Node) {
  UpstreamStats &Item = Stats_[Node];
  Item.Outstanding = std::max(0, Item.Outstanding - 1);
}

void UpstreamDirectory::onOutcome(const NodeId &Node,
                                  const HopOutcome &Outcome) {
  UpstreamStats &Item = Stats_[Node];
  Item.Outstanding = std::max(0, Item.Outstanding - 1);
  const SteadyTime Now = Context_.now();
  if (Outcome.Load) {
    Item.WaitingSince = Now;
    Item.Load = Outcome.Load;
    Item.LoadAt = Now;
    Item.SentSince = 0;
  }
  updateShare(Item, Outcome);
  const bool HopIsDown = Outcome.End == HopResult::NotRun && !Outcome.Load;
  if (HopIsDown) {
    const std::int32_t Doublings =
        std::min(Item.ConnectFailures++, MaxDoublings);
    Item.ConnectFailedAt = Now;
    Item.AvoidUntil =
        after(Now, std::min(MaxAvoidance, MinAvoidance * (1 << Doublings)));
  } else {
    Item.ConnectFailures = 0;
    Item.ConnectFailedAt = SteadyTime();
  }
  const bool Failed = Outcome.End == HopResult::Failed ||
                      (Outcome.End == HopResult::NotRun && Outcome.Reached) ||
                      (Outcome.End == HopResult::Answered &&
                       http::isServerError(Outcome.Answer.Head.getStatus()));
  // A refusal by the last hop itself says nothing about the upstream.
  if (Outcome.End == HopResult::NotRun && !Outcome.Reached)
    return;
  const double Rate = decayedFailureRate(Item);
  Item.FailureRate = Rate + FailureWeight * ((Failed ? 1 : 0) - Rate);
  Item.FailureAt = Now;
}

void UpstreamDirectory::updateShare(UpstreamStats &Item,
                                    const HopOutcome &Outcome) {
  if (!Outcome.Load || !Outcome.Load->LimitPerSecond ||
      Item.Share.PerSecond <= 0)
    return;
  const double Limit = *Outcome.Load->LimitPerSecond;
  if (Outcome.End == HopResult::NotRun &&
      Outcome.Reason == RefusalReason::RateLimited)
    requests::recordRefused(Item.Share, Limit, entries(), Context_.now());
  else if (Outcome.End == HopResult::Answered)
    requests::recordAdmitted(Item.Share, Limit);
}

void UpstreamDirectory::onStatement(const NodeId &Node,
                                    const mesh::UpstreamId &By,
                                    const UpstreamStatement &Stated) {
  const auto Found = Context_.KnownNodes.Nodes.find(Node);
  if (Found == Context_.KnownNodes.Nodes.end())
    return;
  const mesh::Upstream &Upstream = Found->second.LastReport.LocalUpstream;
  // Its report may already describe the process that has replaced it.
  if (Upstream.Id != By)
    return;
  if (Stated.PerSecond)
    Stats_[Node].Stated =
        StatedLimit{By, Upstream.StartedAtUnixMs, *Stated.PerSecond};
  else if (!Stated.IsUnreadable)
    Stats_[Node].Stated = std::nullopt;
  if (Stated.IsLeaving &&
      mesh::recordLeaving(Context_.KnownNodes, Node, Upstream))
    Context_.Log.write(LogClass::State, Context_.now(), "upstream-avoided",
                       {{"node", Node.str()},
                        {"upstream", By.str()},
                        {"reason", "it says that it leaves"}});
}

} // namespace lycheethread::sidecar
