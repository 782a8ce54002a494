#include "sidecar/internal/Rollouts.h"

#include <algorithm>
#include <iterator>

namespace lycheethread::sidecar {

using mesh::RolloutState;

std::string Rollouts::judgeSubject(const ServiceName &Service) {
  return "judge/" + Service.str();
}

// Among many nodes gossip passes evidence on too slowly, and each node would
// judge by another part of it. A few nodes judge, and get it directly, also
// from an upstream without outcomes: it tells that there have been none.
void Rollouts::sendEvidence() {
  EvidenceSentAt_ = Context_.now();
  for (const auto &[Service, Current] : Items_)
    if (Current.State == RolloutState::Running &&
        Service == Context_.Registered.Current.Service)
      Callbacks_.SendEvidence(
          Current.Order.At, Callbacks_.OwnEvidence(),
          mesh::rendezvousFirst(Context_.KnownNodes, judgeSubject(Service),
                                Current.Judges, Context_.now()));
}

void Rollouts::onEvidence(const mesh::EvidenceReport &Report,
                          SteadyTime SentBy) {
  // Without its report, the version of the upstream is not known.
  if (Context_.KnownNodes.Nodes.count(Report.Node) != 0)
    mesh::mergeEvidence(Evidence_, Report, SentBy);
}

void Rollouts::expireEvidence() {
  for (auto It = Evidence_.begin(); It != Evidence_.end();)
    It = Context_.KnownNodes.Nodes.count(It->first) != 0 ? std::next(It)
                                                         : Evidence_.erase(It);
}

mesh::EvidenceByRoute Rollouts::ownEvidence(const Item &Current) const {
  if (Context_.Registered.Current.Service != Current.Order.Service)
    return {};
  mesh::EvidenceByRoute Own = Callbacks_.OwnEvidence();
  Own[RouteName()] = mesh::sumOf(Own);
  return Own;
}

const mesh::KnownEvidence *Rollouts::evidenceOf(const NodeId &Id,
                                                const Item &Current) const {
  const auto Found = Evidence_.find(Id);
  return Found == Evidence_.end() || Found->second.Order != Current.Order.At
             ? nullptr
             : &Found->second;
}

/// Returns the newest judgement with its present age.
std::optional<mesh::Judgement>
Rollouts::judgementOf(const Item &Current) const {
  std::optional<mesh::Judgement> Judged = Current.Judged;
  if (Judged)
    Judged->Age += elapsed(Current.JudgedAt, Context_.now());
  return Judged;
}

/// Returns how many nodes judge. A node that judges since others are silent
/// goes on when the silence has ended.
std::size_t Rollouts::judgeCountOf(const Item &Current) const {
  const std::size_t Nodes = Context_.KnownNodes.Nodes.size() + 1;
  const auto Judged = judgementOf(Current);
  // The first judgement takes some time.
  const Milliseconds Silence = Judged
                                   ? Judged->Age
                                   : elapsed(Current.SeenAt, Context_.now()) -
                                         mesh::judgementTimeout(Nodes);
  return std::max(Current.Judges, mesh::judgeCount(Silence, Nodes));
}

bool Rollouts::mayJudge(const Item &Current) const {
  const SteadyTime Now = Context_.now();
  if (mesh::rendezvousRank(Context_.KnownNodes,
                           judgeSubject(Current.Order.Service),
                           Now) >= Current.Judges)
    return false;
  mesh::EvidenceCoverage Old;
  mesh::EvidenceCoverage New;
  const auto Count = [&](const mesh::Upstream &Upstream, bool IsStopping,
                         Milliseconds EvidenceAge, Milliseconds HeardAge) {
    if (Upstream.Service != Current.Order.Service || IsStopping ||
        Upstream.State != mesh::UpstreamState::Ready)
      return;
    mesh::countUpstream(Upstream.Version == Current.Order.Target ? New : Old,
                        EvidenceAge, HeardAge);
  };
  Count(Context_.Registered.Current, Context_.Stopping, Milliseconds(0),
        Milliseconds(0));
  for (const auto &[Id, Known] : Context_.KnownNodes.Nodes) {
    if (!mesh::isAlive(Context_.KnownNodes, Known, Now))
      continue;
    const mesh::KnownEvidence *const Evidence = evidenceOf(Id, Current);
    Count(Known.LastReport.LocalUpstream, Known.LastReport.Stopping,
          Evidence == nullptr ? Milliseconds::max()
                              : elapsed(Evidence->At, Now),
          elapsed(Known.HeardAt, Now));
  }
  return mesh::coversVersions(Old, New);
}

void Rollouts::updateJudge(Item &Current) {
  const std::size_t Judges = judgeCountOf(Current);
  const bool HasMoreJudges = Judges > Current.Judges && Current.Judges > 0;
  Current.Judges = Judges;
  // Those that are to judge from now on need the evidence at once.
  if (HasMoreJudges)
    sendEvidence();
  const bool MayJudge = mayJudge(Current);
  if (MayJudge == Current.JudgingSince.has_value())
    return;
  Current.JudgingSince =
      MayJudge ? std::optional(Context_.now()) : std::nullopt;
  // What was counted before this node got the evidence stands by itself: it
  // would hide a fault that has begun since.
  if (MayJudge)
    closeShare(Current, viewOf(Current));
  Context_.Log.write(LogClass::State, Context_.now(), "rollout-judge",
                     {{"service", Current.Order.Service.str()},
                      {"judging", MayJudge ? "yes" : "no"},
                      {"judges", std::to_string(Judges)}});
}

void Rollouts::recordJudgement(Item &Current,
                               const mesh::RolloutDecision &Decided) {
  const mesh::Judgement Own{Milliseconds(0), Decided.StepLimit,
                            Decided.IsComparing,
                            Decided.End == RolloutState::Completed};
  const std::optional<mesh::Judgement> Before = judgementOf(Current);
  const bool IsNews = !Before || Before->StepLimit < Own.StepLimit ||
                      (Own.HasPassed && !Before->HasPassed);
  Current.Judged = Own;
  Current.JudgedAt = Context_.now();
  // The first judge that allows a further step tells all nodes.
  if (IsNews && Own.StepLimit > 0)
    Callbacks_.OnChange();
}

void Rollouts::addEvidence(mesh::RolloutView &View, const Item &Current,
                           const NodeId &Id,
                           const mesh::EvidenceByRoute &Counted,
                           bool IsNew) const {
  const auto Before = Current.EvidenceBefore.find(Id);
  for (const auto &[Name, Route] : Counted) {
    const mesh::RouteEvidence Seen =
        Before == Current.EvidenceBefore.end()
            ? Route
            : mesh::evidenceSince(Before->second, Route);
    mesh::RouteTotals &Totals = View.Routes[Name];
    mesh::VersionTotals &Into = IsNew ? Totals.New : Totals.Old;
    Into.Good += Seen.Good;
    Into.Bad += Seen.Bad;
    Into.Timed += Seen.Timed;
    Into.TotalTime += Seen.TotalTime;
  }
}

void Rollouts::closeShare(Item &Current, const mesh::RolloutView &View) {
  Current.Earlier.push_back(View.Routes);
  Current.EvidenceBefore.clear();
  Current.EvidenceBefore[Context_.Settings.Id] = ownEvidence(Current);
  for (const auto &[Id, Known] : Evidence_)
    if (Known.Order == Current.Order.At)
      Current.EvidenceBefore[Id] = Known.Routes;
}

} // namespace lycheethread::sidecar
