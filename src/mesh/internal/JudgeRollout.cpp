#include "mesh/Mesh.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::mesh {

namespace {

/// A judgement that is older than this may be the last one of judges that are
/// lost. Gossip takes longer to reach more nodes; its rounds grow with the
/// logarithm of their number.
constexpr Milliseconds MinJudgementTimeout{750};
constexpr double TimeoutPerDoublingMs = 100;
/// Evidence is sent twice a second, and datagrams may be lost.
constexpr Milliseconds MaxEvidenceAge{1500};

bool isCovered(const EvidenceCoverage &Version) {
  return Version.Ready == 0 ||
         (Version.Reporting > 0 && Version.Reporting >= Version.Missing);
}

} // namespace

Milliseconds judgementTimeout(std::size_t Nodes) {
  const double Doublings =
      std::log2(static_cast<double>(std::max<std::size_t>(1, Nodes)));
  return MinJudgementTimeout +
         Milliseconds(std::llround(TimeoutPerDoublingMs * Doublings));
}

std::size_t judgeCount(Milliseconds SinceJudged, std::size_t Nodes) {
  // Each silent timeout doubles the number: whichever nodes are lost, some of
  // those that are left soon judge.
  std::size_t Count = UsualJudges;
  Milliseconds Left = SinceJudged;
  const Milliseconds Timeout = judgementTimeout(Nodes);
  for (; Left >= Timeout && Count < Nodes; Left -= Timeout)
    Count *= 2;
  return Count;
}

void countUpstream(EvidenceCoverage &Version, Milliseconds EvidenceAge,
                   Milliseconds HeardAge) {
  ++Version.Ready;
  if (EvidenceAge <= MaxEvidenceAge)
    ++Version.Reporting;
  else if (HeardAge <= MaxEvidenceAge)
    ++Version.Missing;
}

bool coversVersions(const EvidenceCoverage &Old, const EvidenceCoverage &New) {
  return isCovered(Old) && isCovered(New);
}

bool isJudged(const RolloutView &View) {
  return View.Judged && View.Judged->Age < View.JudgementTimeout;
}

void mergeJudgement(std::optional<Judgement> &Known, const Judgement &Read) {
  if (!Known) {
    Known = Read;
    return;
  }
  Judgement Newest = Read.Age < Known->Age ? Read : *Known;
  Newest.HasPassed = Read.HasPassed || Known->HasPassed;
  Known = Newest;
}

} // namespace lycheethread::mesh
