#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <set>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

constexpr Milliseconds Objective{400};
constexpr Milliseconds Deadline{1500};
constexpr double WorkMs = 80;
constexpr std::int32_t Slots = 13;
constexpr std::int64_t BeatIntervalMs = 500;
constexpr std::int64_t WindowMs = 4000;
constexpr int MaxTries = 10;
constexpr std::size_t NodesPerZone = 25;

/// The limit that an upstream states from a time on; none if empty.
struct LimitChange {
  std::int64_t FromMs = 0;
  std::optional<double> PerSecond;
};

/// Requests of many entries to the upstreams of one service.
struct Fleet {
  std::size_t Entries = 0;
  std::size_t Upstreams = 0;
  /// Requests a second of all entries, for each upstream.
  double PerUpstream = 10;
  /// A tenth of the entries sends ten times as much as each of the others.
  bool IsUneven = false;
  /// Part of the entries that start only at JoinMs.
  double JoiningShare = 0;
  std::int64_t JoinMs = 0;
  double LimitedShare = 1;
  std::vector<LimitChange> Changes;
  std::int64_t LengthMs = 14'000;
};

struct FleetResult {
  int Offered = 0;
  int Served = 0;
  int Refused = 0;
  std::int64_t Tries = 0;
  std::int64_t LongestRefusalMs = 0;
  /// Requests of entries that have joined late.
  int OfferedByJoined = 0;
  int ServedByJoined = 0;
  /// The largest excess over 1.5 times the limit in any window.
  double LargestExcess = 0;
  /// Requests that limited upstreams got, and what their limits allow.
  double Used = 0;
  double Allowed = 0;
};

struct SimulatedHop {
  HopQueue Queue;
  std::multimap<std::int64_t, std::int64_t> Ends;
  std::vector<std::int64_t> Starts;
  LoadReport Beat;
  std::int64_t BeatMs = 0;
};

/// What an entry knows of one upstream.
struct EntryView {
  requests::LimitShare Share;
  std::optional<LoadReport> Load;
  std::int64_t LoadMs = 0;
  std::int32_t SentSince = 0;
};

class Simulation {
public:
  Simulation(const Fleet &Of, unsigned Seed)
      : Of_(Of), Random_(Seed), Hops_(Of.Upstreams),
        Views_(Of.Entries, std::vector<EntryView>(Of.Upstreams)) {
    for (SimulatedHop &Hop : Hops_)
      Hop.Queue.Slots = Slots;
    for (std::size_t Entry = 0; Entry < Of.Entries; ++Entry)
      Weights_.push_back(Of.IsUneven && Entry % 10 == 0 ? 10 : 1);
  }

  FleetResult run() {
    const double PerMs =
        Of_.PerUpstream * static_cast<double>(Of_.Upstreams) / 1000;
    std::poisson_distribution<int> Arrivals(PerMs);
    std::discrete_distribution<std::size_t> Entry(Weights_.begin(),
                                                  Weights_.end());
    for (Now_ = 0; Now_ < Of_.LengthMs; ++Now_) {
      for (std::size_t At = 0; At < Hops_.size(); ++At)
        step(At);
      for (int Count = Arrivals(Random_); Count > 0; --Count) {
        const std::size_t From = Entry(Random_);
        if (Now_ >= Of_.JoinMs || !isJoining(From))
          arrive(From);
      }
    }
    for (std::size_t At = 0; At < Hops_.size(); ++At)
      measure(At);
    return Result_;
  }

private:
  bool isJoining(std::size_t Entry) const {
    return static_cast<double>(Entry) >=
           static_cast<double>(Of_.Entries) * (1 - Of_.JoiningShare);
  }

  std::size_t nodes() const {
    return Now_ >= Of_.JoinMs
               ? Of_.Entries
               : static_cast<std::size_t>(static_cast<double>(Of_.Entries) *
                                          (1 - Of_.JoiningShare));
  }

  std::optional<double> limitOf(std::size_t Upstream, std::int64_t At) const {
    std::optional<double> Limit;
    if (static_cast<double>(Upstream) >=
        static_cast<double>(Of_.Upstreams) * Of_.LimitedShare)
      return Limit;
    for (const LimitChange &Change : Of_.Changes)
      if (At >= Change.FromMs)
        Limit = Change.PerSecond;
    return Limit;
  }

  LoadReport loadOf(const SimulatedHop &Hop) const {
    LoadReport Load;
    Load.Running = Hop.Queue.Running;
    Load.Waiting = static_cast<std::int32_t>(Hop.Queue.Waiting.size());
    Load.ServiceTime = Milliseconds(static_cast<std::int64_t>(WorkMs));
    Load.LimitPerSecond = Hop.Queue.Limit.PerSecond;
    Load.PermitWait =
        requests::permitDelay(Hop.Queue.Limit, Load.Waiting, SteadyTime(Now_));
    return Load;
  }

  void start(SimulatedHop &Hop) {
    std::exponential_distribution<double> Work(1 / WorkMs);
    Hop.Ends.emplace(Now_ + 1 + static_cast<std::int64_t>(Work(Random_)), Now_);
    Hop.Starts.push_back(Now_);
  }

  void step(std::size_t At) {
    SimulatedHop &Hop = Hops_[At];
    while (!Hop.Ends.empty() && Hop.Ends.begin()->first <= Now_) {
      requests::recordStatedLimit(Hop.Queue.Limit, limitOf(At, Now_),
                                  SteadyTime(Hop.Ends.begin()->second),
                                  SteadyTime(Now_));
      Hop.Ends.erase(Hop.Ends.begin());
      --Hop.Queue.Running;
    }
    for (const JobId Id : removeOverdue(Hop.Queue, SteadyTime(Now_)))
      refuse(Id.value());
    while (const auto Next = startNext(Hop.Queue, SteadyTime(Now_))) {
      serve(Next->value());
      start(Hop);
    }
    if (Now_ - Hop.BeatMs >= BeatIntervalMs) {
      Hop.Beat = loadOf(Hop);
      Hop.BeatMs = Now_;
    }
  }

  void serve(std::int64_t Request) {
    ++Result_.Served;
    if (isJoining(Requests_[Request].first))
      ++Result_.ServedByJoined;
  }

  void refuse(std::int64_t Request) {
    ++Result_.Refused;
    Result_.LongestRefusalMs =
        std::max(Result_.LongestRefusalMs, Now_ - Requests_[Request].second);
  }

  Candidate describe(std::size_t Entry, std::size_t At) {
    EntryView &View = Views_[Entry][At];
    const SimulatedHop &Hop = Hops_[At];
    const bool IsNewer = View.Load && View.LoadMs > Hop.BeatMs;
    const LoadReport &Load = IsNewer ? *View.Load : Hop.Beat;
    const std::int32_t Sent = IsNewer ? View.SentSince : 0;
    Candidate Found;
    Found.Distance = Entry / NodesPerZone == At / NodesPerZone
                         ? Proximity::SameZone
                         : Proximity::SameRegion;
    Found.Capacity = Slots;
    Found.Outstanding = Load.Running + Load.Waiting + Sent;
    Found.ServiceTime = Milliseconds(static_cast<std::int64_t>(WorkMs));
    if (!Load.LimitPerSecond) {
      View.Share = {};
      return Found;
    }
    std::uniform_real_distribution<double> FirstTokens(0, 1);
    requests::setShareBounds(View.Share, *Load.LimitPerSecond, nodes(),
                             FirstTokens(Random_), SteadyTime(Now_));
    Found.PermitWait = permitWaitSince(
        Load, Sent, Milliseconds(Now_ - (IsNewer ? View.LoadMs : Hop.BeatMs)));
    Found.IsBeyondShare =
        !requests::isWithinShare(View.Share, SteadyTime(Now_));
    return Found;
  }

  void arrive(std::size_t Entry) {
    const auto Id = static_cast<std::int64_t>(Requests_.size());
    Requests_.emplace_back(Entry, Now_);
    ++Result_.Offered;
    if (isJoining(Entry))
      ++Result_.OfferedByJoined;
    std::vector<Candidate> Candidates;
    for (std::size_t At = 0; At < Hops_.size(); ++At) {
      Candidates.push_back(describe(Entry, At));
      Candidates.back().Instance = UpstreamId(std::to_string(At));
    }
    PlacementRequest Wanted;
    Wanted.Objective = Objective;
    Wanted.ObjectiveLeft = Objective;
    Wanted.LongestWait = longestWait(Objective);
    Wanted.MayExplore = true;
    for (int Try = 0; Try < MaxTries && !Candidates.empty(); ++Try) {
      const auto Chosen = chooseCandidate(Candidates, Wanted, Random_);
      ++Result_.Tries;
      Wanted.MayExplore = false;
      const auto At = static_cast<std::size_t>(
          std::stoul(Candidates[Chosen->Index].Instance.str()));
      if (offer(Id, Entry, At))
        return;
      Candidates.erase(Candidates.begin() +
                       static_cast<std::ptrdiff_t>(Chosen->Index));
    }
    refuse(Id);
  }

  /// Returns whether the last hop takes the request.
  bool offer(std::int64_t Id, std::size_t Entry, std::size_t At) {
    SimulatedHop &Hop = Hops_[At];
    EntryView &View = Views_[Entry][At];
    QueuedJob Job;
    Job.Id = JobId(Id);
    Job.Arrived = SteadyTime(Now_);
    Job.Objective = Objective;
    Job.ObjectiveAt = after(SteadyTime(Now_), Objective);
    Job.DeadlineAt = after(SteadyTime(Now_), Deadline);
    Job.ServiceTime = Milliseconds(static_cast<std::int64_t>(WorkMs));
    requests::recordSent(View.Share, SteadyTime(Now_));
    const QueueDecision Decision =
        admitJob(Hop.Queue, Job, Job.ServiceTime, SteadyTime(Now_));
    if (Decision.Choice == QueueDecision::Action::Run) {
      startNow(Hop.Queue, SteadyTime(Now_));
      serve(Id);
      start(Hop);
    } else if (Decision.Choice == QueueDecision::Action::Wait) {
      Hop.Queue.Waiting.push_back(Job);
    }
    View.Load = loadOf(Hop);
    View.LoadMs = Now_;
    View.SentSince = 0;
    if (!View.Load->LimitPerSecond || View.Share.PerSecond <= 0)
      return Decision.Choice != QueueDecision::Action::Refuse;
    const double Limit = *View.Load->LimitPerSecond;
    if (Decision.Choice != QueueDecision::Action::Refuse)
      requests::recordAdmitted(View.Share, Limit);
    else if (Decision.IsRateLimited)
      requests::recordRefused(View.Share, Limit, nodes(), SteadyTime(Now_));
    return Decision.Choice != QueueDecision::Action::Refuse;
  }

  /// Compares the starts at one upstream with its limits, from half a second
  /// after it first stated one.
  void measure(std::size_t At) {
    if (Of_.Changes.empty() || !limitOf(At, Of_.Changes.front().FromMs))
      return;
    constexpr std::int64_t StepMs = 100;
    const std::int64_t First = Of_.Changes.front().FromMs + 500;
    std::vector<std::int64_t> &Starts = Hops_[At].Starts;
    std::sort(Starts.begin(), Starts.end());
    for (std::int64_t From = First; From + WindowMs <= Of_.LengthMs;
         From += StepMs) {
      double Allowed = 0;
      bool IsLimited = true;
      for (std::int64_t Ms = From; Ms < From + WindowMs; Ms += StepMs) {
        // A lower limit is known after the next answer.
        const auto Now = limitOf(At, Ms);
        const auto Before = limitOf(At, std::max(First, Ms - 500));
        IsLimited = IsLimited && Now && Before;
        if (Now && Before)
          Allowed += std::max(*Now, *Before) * StepMs / 1000;
      }
      if (!IsLimited)
        continue;
      const auto Got = static_cast<double>(
          std::lower_bound(Starts.begin(), Starts.end(), From + WindowMs) -
          std::lower_bound(Starts.begin(), Starts.end(), From));
      Result_.LargestExcess =
          std::max(Result_.LargestExcess, Got - 1.5 * Allowed);
      Result_.Used += Got;
      Result_.Allowed += Allowed;
    }
  }

  Fleet Of_;
  std::mt19937_64 Random_;
  std::vector<SimulatedHop> Hops_;
  std::vector<std::vector<EntryView>> Views_;
  std::vector<double> Weights_;
  /// The entry and the arrival of each request.
  std::vector<std::pair<std::size_t, std::int64_t>> Requests_;
  std::int64_t Now_ = 0;
  FleetResult Result_;
};

double share(double Part, double Whole) { return Whole > 0 ? Part / Whole : 1; }

/// Upstreams get up to 5 requests more than 1.5 times their limit.
constexpr double AllowedBurst = 5;

void checkLimits(const FleetResult &Result) {
  BOOST_TEST(Result.LargestExcess <= AllowedBurst);
  // Refused without waiting for longer than a queue may keep a request.
  BOOST_TEST(Result.LongestRefusalMs <= longestWait(Objective).count() + 30);
}

const std::vector<std::pair<std::size_t, std::size_t>> Sizes{
    {13, 9}, {80, 24}, {195, 159}, {1000, 100}};

} // namespace

BOOST_AUTO_TEST_SUITE(LimitSharing)

// Guards against limited upstreams that get more than they take, while the
// others have room for the rest.
BOOST_AUTO_TEST_CASE(othersServeWhatLimitedUpstreamsDoNotTake) {
  for (const auto &[Entries, Upstreams] : Sizes) {
    Fleet Of;
    Of.Entries = Entries;
    Of.Upstreams = Upstreams;
    Of.LimitedShare = 0.7;
    Of.Changes = {{1000, 5.0}, {9000, std::nullopt}};
    const FleetResult Result = Simulation(Of, 1).run();
    BOOST_TEST_MESSAGE(
        Entries << " entries, some limited: served "
                << share(Result.Served, Result.Offered) << ", tries "
                << share(static_cast<double>(Result.Tries), Result.Offered)
                << ", used " << share(Result.Used, Result.Allowed));
    checkLimits(Result);
    BOOST_TEST(share(Result.Served, Result.Offered) > 0.99);
    BOOST_TEST(share(static_cast<double>(Result.Tries), Result.Offered) < 1.5);
  }
}

// Guards against limits that are exceeded or left unused when all upstreams
// have one and the load is more than they take, also with entries of very
// different load.
BOOST_AUTO_TEST_CASE(limitsAreUsedAndKeptUnderOverload) {
  for (const bool IsUneven : {false, true})
    for (const auto &[Entries, Upstreams] : Sizes) {
      Fleet Of;
      Of.Entries = Entries;
      Of.Upstreams = Upstreams;
      Of.IsUneven = IsUneven;
      Of.Changes = {{1000, 6.0}};
      Of.LengthMs = 10'000;
      const FleetResult Result = Simulation(Of, 2).run();
      BOOST_TEST_MESSAGE(
          Entries << " entries, all limited" << (IsUneven ? ", uneven" : "")
                  << ": served " << share(Result.Served, Result.Offered)
                  << ", used " << share(Result.Used, Result.Allowed)
                  << ", tries "
                  << share(static_cast<double>(Result.Tries), Result.Offered));
      checkLimits(Result);
      BOOST_TEST(share(Result.Used, Result.Allowed) > 0.9);
    }
}

// Guards against entries that join and get no part of the limits, and against
// limits that are exceeded because entries are added.
BOOST_AUTO_TEST_CASE(entriesThatJoinGetTheirPart) {
  for (const auto &[Entries, Upstreams] : Sizes) {
    Fleet Of;
    Of.Entries = Entries;
    Of.Upstreams = Upstreams;
    Of.JoiningShare = 0.3;
    Of.JoinMs = 4000;
    Of.Changes = {{1000, 6.0}};
    Of.LengthMs = 12'000;
    const FleetResult Result = Simulation(Of, 3).run();
    checkLimits(Result);
    const double Joined = share(Result.ServedByJoined, Result.OfferedByJoined);
    const double Others = share(Result.Served - Result.ServedByJoined,
                                Result.Offered - Result.OfferedByJoined);
    BOOST_TEST_MESSAGE(Entries << " entries: served of those that joined "
                               << Joined << ", of the others " << Others);
    BOOST_TEST(Joined > Others * 0.6);
  }
}

// Guards against a limit that is kept at its earlier value after it has been
// lowered, raised or withdrawn.
BOOST_AUTO_TEST_CASE(changedLimitsAreFollowed) {
  for (const auto &[Entries, Upstreams] : Sizes) {
    Fleet Of;
    Of.Entries = Entries;
    Of.Upstreams = Upstreams;
    Of.Changes = {{500, 8.0}, {6000, 2.0}, {11'000, 8.0}};
    Of.LengthMs = 16'000;
    checkLimits(Simulation(Of, 4).run());
    Of.Changes = {{500, 2.0}, {5000, std::nullopt}};
    Of.LengthMs = 9000;
    const FleetResult Lapsed = Simulation(Of, 5).run();
    checkLimits(Lapsed);
    // 4.5 of 9 s are limited to a fifth of the load.
    BOOST_TEST(share(Lapsed.Served, Lapsed.Offered) > 0.52);
  }
}

// Guards against an upstream that takes nothing and is never asked again.
BOOST_AUTO_TEST_CASE(limitOfZeroIsAskedNowAndThen) {
  Fleet Of;
  Of.Entries = 13;
  Of.Upstreams = 9;
  Of.LimitedShare = 0.4;
  Of.Changes = {{1000, 0.0}, {9000, std::nullopt}};
  Of.LengthMs = 16'000;
  const FleetResult Result = Simulation(Of, 6).run();
  checkLimits(Result);
  BOOST_TEST(share(Result.Served, Result.Offered) > 0.99);
  BOOST_TEST(Result.Used > 0);
}

BOOST_AUTO_TEST_SUITE_END()
