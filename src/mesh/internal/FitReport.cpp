#include "mesh/Mesh.h"

#include <iterator>
#include <utility>

namespace lycheethread::mesh {

namespace {

/// Adds items of a report as long as it has room for them.
class ReportFiller {
public:
  ReportFiller(NodeReport &Report, const ReportLimit &Limit)
      : Report_(Report), Limit_(Limit), Base_(Report),
        Used_(Limit.ReportBytes(Report)) {}

  template <typename Item>
  void add(std::vector<Item> NodeReport::*List, const Item &Each) {
    NodeReport Alone = Base_;
    (Alone.*List).push_back(Each);
    const std::size_t Size = Limit_.ReportBytes(Alone) - BaseBytes_;
    if (Used_ + Size > Limit_.Bytes) {
      ++LeftOut_;
      return;
    }
    Used_ += Size;
    (Report_.*List).push_back(Each);
  }

  /// Adds \p Items from the position \p Turn on and around.
  template <typename Item>
  void addInTurn(std::vector<Item> NodeReport::*List,
                 const std::vector<Item> &Items, std::size_t Turn) {
    for (std::size_t At = 0; At < Items.size(); ++At)
      add(List, Items[(Turn + At) % Items.size()]);
  }

  std::size_t leftOut() const { return LeftOut_; }

private:
  NodeReport &Report_;
  const ReportLimit &Limit_;
  const NodeReport Base_;
  std::size_t Used_;
  const std::size_t BaseBytes_ = Used_;
  std::size_t LeftOut_ = 0;
};

} // namespace

std::size_t fitReport(NodeReport &Report, const ReportLimit &Limit,
                      std::size_t Turn) {
  if (Limit.ReportBytes(Report) <= Limit.Bytes)
    return 0;
  const auto Rollouts = std::exchange(Report.Rollouts, {});
  const auto Crashes = std::exchange(Report.Crashes, {});
  std::vector<RolloutReport> Bad;
  std::vector<RolloutReport> Running;
  std::vector<RolloutReport> Ended;
  for (const RolloutReport &Item : Rollouts) {
    const bool IsRunning = Item.State == RolloutState::Running;
    (!IsRunning ? Ended : Item.IsNewVersionBad ? Bad : Running).push_back(Item);
  }
  ReportFiller Filler(Report, Limit);
  Filler.addInTurn(&NodeReport::Rollouts, Bad, Turn);
  if (!Crashes.empty())
    Filler.add(&NodeReport::Crashes, Crashes.back());
  Filler.addInTurn(&NodeReport::Rollouts, Running, Turn);
  if (Crashes.size() > 1)
    Filler.addInTurn(&NodeReport::Crashes,
                     {Crashes.begin(), std::prev(Crashes.end())}, Turn);
  Filler.addInTurn(&NodeReport::Rollouts, Ended, Turn);
  return Filler.leftOut();
}

} // namespace lycheethread::mesh
