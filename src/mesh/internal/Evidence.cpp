#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

std::int64_t answers(const RouteEvidence &Item) {
  return std::int64_t{Item.Good} + Item.Bad;
}

void add(RouteEvidence &To, const RouteEvidence &From) {
  To.Good += From.Good;
  To.Bad += From.Bad;
  To.Timed += From.Timed;
  To.TotalTime += From.TotalTime;
}

/// A route that has outcomes which were not sent yet.
struct ChangedRoute {
  std::int32_t NewBad = 0;
  const RouteEvidence *Route = nullptr;
};

std::vector<ChangedRoute> changedRoutes(const EvidenceByRoute &Own,
                                        const EvidenceByRoute &Sent) {
  std::vector<ChangedRoute> Changed;
  for (const auto &[Name, Item] : Own) {
    const auto Before = Sent.find(Name);
    if (Before == Sent.end())
      Changed.push_back({Item.Bad, &Item});
    else if (answers(Item) != answers(Before->second))
      Changed.push_back({Item.Bad - Before->second.Bad, &Item});
  }
  std::stable_sort(Changed.begin(), Changed.end(),
                   [](const ChangedRoute &L, const ChangedRoute &R) {
                     return L.NewBad > R.NewBad;
                   });
  return Changed;
}

/// Fills reports one after the other.
class ReportWriter {
public:
  ReportWriter(Offset Order, const EvidencePlan &Plan,
               const RouteEvidence &Total)
      : Order_(Order), Plan_(Plan), Total_(Total) {
    begin();
  }

  /// Returns false if no report has room for \p Item.
  bool add(const RouteEvidence &Item, std::size_t MaxReports) {
    const std::size_t Size = Plan_.RouteBytes(Item);
    if (Used_ + Size > Plan_.Bytes) {
      if (Reports_.size() >= MaxReports ||
          Plan_.RouteBytes(Total_) + Size > Plan_.Bytes)
        return false;
      begin();
    }
    Used_ += Size;
    Reports_.back().Routes.push_back(Item);
    return true;
  }

  std::size_t count() const { return Reports_.size(); }
  std::vector<EvidenceReport> take() { return std::move(Reports_); }

private:
  void begin() {
    EvidenceReport Next;
    Next.Order = Order_;
    Next.Routes.push_back(Total_);
    Reports_.push_back(std::move(Next));
    Used_ = Plan_.RouteBytes(Total_);
  }

  const Offset Order_;
  const EvidencePlan &Plan_;
  const RouteEvidence &Total_;
  std::vector<EvidenceReport> Reports_;
  std::size_t Used_ = 0;
};

} // namespace

RouteEvidence sumOf(const EvidenceByRoute &Own) {
  RouteEvidence Total;
  for (const auto &[Name, Item] : Own)
    add(Total, Item);
  return Total;
}

// The sum goes into each datagram, so that a version that fails on all routes
// together is found whatever else is late. Routes with new failures go first.
// A datagram may be lost, and a node may judge that has not got the earlier
// ones, so routes without new outcomes follow in turn in the room that is left.
std::vector<EvidenceReport> composeEvidence(Offset Order,
                                            const EvidenceByRoute &Own,
                                            const EvidencePlan &Plan,
                                            EvidenceCursor &State) {
  const RouteEvidence Total = sumOf(Own);
  ReportWriter Writer(Order, Plan, Total);
  for (const ChangedRoute &Changed : changedRoutes(Own, State.Sent))
    if (Writer.add(*Changed.Route, Plan.MaxReports))
      State.Sent[Changed.Route->Route] = *Changed.Route;
  auto Next = Own.upper_bound(State.Last);
  for (std::size_t Left = Own.size(); Left > 0; --Left, ++Next) {
    if (Next == Own.end())
      Next = Own.begin();
    if (!Writer.add(Next->second, Writer.count()))
      break;
    State.Last = Next->first;
  }
  return Writer.take();
}

bool mergeEvidence(std::map<NodeId, KnownEvidence> &Known,
                   const EvidenceReport &Report, SteadyTime Now) {
  KnownEvidence &Node = Known[Report.Node];
  if (Report.IncarnationNumber < Node.IncarnationNumber ||
      (Report.IncarnationNumber == Node.IncarnationNumber &&
       Report.Order < Node.Order))
    return false;
  if (Report.IncarnationNumber != Node.IncarnationNumber ||
      Report.Order != Node.Order)
    Node = {Report.IncarnationNumber, Report.Order, Now, {}};
  Node.At = std::max(Node.At, Now);
  for (const RouteEvidence &Item : Report.Routes) {
    const auto [Place, IsNew] = Node.Routes.try_emplace(Item.Route, Item);
    // Datagrams overtake each other; counts only grow.
    if (!IsNew && answers(Item) > answers(Place->second))
      Place->second = Item;
  }
  return true;
}

RouteEvidence evidenceSince(const EvidenceByRoute &Before, RouteEvidence Now) {
  const auto Found = Before.find(Now.Route);
  // Counts that are lower belong to a restarted node.
  if (Found == Before.end() || Found->second.Good > Now.Good ||
      Found->second.Bad > Now.Bad)
    return Now;
  const RouteEvidence &Earlier = Found->second;
  Now.Good -= Earlier.Good;
  Now.Bad -= Earlier.Bad;
  Now.Timed = std::max(0, Now.Timed - Earlier.Timed);
  Now.TotalTime = std::max(Milliseconds(0), Now.TotalTime - Earlier.TotalTime);
  return Now;
}

} // namespace lycheethread::mesh
