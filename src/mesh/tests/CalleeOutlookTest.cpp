#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

const RouteName Lookup("lookup");
const RouteName Plain("plain");
const ServiceName Index("index");

SteadyTime at(std::int64_t Ms) { return SteadyTime(Ms); }

/// Lookups at the calling service.
struct Load {
  double PerS = 0;
  /// Share of the runs that make calls.
  double CallShare = 0.7;
  /// How long calls wait for a slot of the called service before they are
  /// refused.
  std::int64_t CallWaitMs = 400;
};

/// A service with 34 upstreams of 6 slots. Its lookups work for about 160 ms,
/// then some of them make two calls of 40 ms; other requests make no calls. The
/// called service has slots for a changing number of calls.
class Replay {
public:
  struct Phase {
    std::int64_t EndsAt = 0;
    int CalleeSlots = 0;
  };
  struct Result {
    int Lookups = 0;
    int GoodLookups = 0;
    int LateLookups = 0;
    int GoodPlain = 0;
    int FailedRuns = 0;
    /// Lookups that began to run.
    int Started = 0;
    int Rejected = 0;
  };

  Replay(bool Decides, const Load &Offered)
      : Decides_(Decides), Load_(Offered) {
    LookupGap_ = std::exponential_distribution<double>(Offered.PerS / 1000);
    PlainGap_ = std::exponential_distribution<double>(PlainPerS / 1000);
  }

  /// Returns one result for each second.
  std::vector<Result> run(const std::vector<Phase> &Phases) {
    End_ = Phases.back().EndsAt;
    Seconds_.resize(static_cast<std::size_t>(End_ / 1000 + 1));
    std::int64_t Begin = 0;
    for (const Phase &Item : Phases) {
      schedule(Begin, [this, Item] {
        CalleeSlots_ = Item.CalleeSlots;
        startCalls();
      });
      Begin = Item.EndsAt;
    }
    arrive(true);
    arrive(false);
    while (!Events_.empty() && Events_.begin()->first <= End_) {
      const auto Next = Events_.begin();
      Now_ = Next->first;
      const auto Action = std::move(Next->second);
      Events_.erase(Next);
      Action();
    }
    Seconds_.pop_back();
    return Seconds_;
  }

private:
  static constexpr int Upstreams = 34;
  static constexpr int Slots = 6;
  static constexpr double PlainPerS = 150;
  static constexpr std::int64_t WorkMs = 160;
  static constexpr std::int64_t CallMs = 40;
  static constexpr std::int64_t Objective = 800;
  static constexpr std::int64_t QueueWaitMs = 100;
  /// A third of the deadline of 2 s.
  static constexpr std::int64_t LongestReturnMs = 660;

  struct Request {
    bool IsLookup = true;
    std::int64_t BeganAt = 0;
    int Tries = 0;
    bool HasReturned = false;
  };
  struct Host {
    int Running = 0;
    std::vector<std::pair<std::int64_t, Request>> Waiting;
    CalleeOutlook Outlook;
  };
  struct Run {
    Request Of;
    std::size_t At = 0;
    std::int64_t BeganAt = 0;
    int OpenCalls = 0;
    bool HasFailed = false;
  };
  struct Call {
    std::shared_ptr<Run> Of;
    std::int64_t BeganAt = 0;
  };

  void schedule(std::int64_t Time, std::function<void()> Action) {
    Events_.emplace(Time, std::move(Action));
  }
  Result &second(std::int64_t Time) {
    return Seconds_[static_cast<std::size_t>(Time / 1000)];
  }

  void arrive(bool IsLookup) {
    auto &Gap = IsLookup ? LookupGap_ : PlainGap_;
    Carry_ += Gap(Random_);
    const auto Wait = static_cast<std::int64_t>(Carry_);
    Carry_ -= static_cast<double>(Wait);
    schedule(Now_ + Wait, [this, IsLookup] {
      if (IsLookup)
        ++second(Now_).Lookups;
      offer({IsLookup, Now_, 0, false});
      arrive(IsLookup);
    });
  }

  /// Sends the request to the less loaded of two upstreams.
  void offer(Request Item) {
    std::uniform_int_distribution<std::size_t> Pick(0, Upstreams - 1);
    const std::size_t First = Pick(Random_);
    const std::size_t Second = Pick(Random_);
    const std::size_t To =
        Hosts_[First].Running +
                    static_cast<int>(Hosts_[First].Waiting.size()) <=
                Hosts_[Second].Running +
                    static_cast<int>(Hosts_[Second].Waiting.size())
            ? First
            : Second;
    ++Item.Tries;
    Host &Chosen = Hosts_[To];
    if (Decides_) {
      endedLimits(Chosen.Outlook, at(Now_));
      const auto Delay =
          calleeDelay(Chosen.Outlook,
                      {Item.IsLookup ? Lookup : Plain,
                       Item.HasReturned && Now_ - Item.BeganAt < 600,
                       Chosen.Running < Slots && Chosen.Waiting.empty()},
                      at(Now_));
      if (Delay) {
        if (Item.Tries < 3)
          offer(Item);
        else
          refuse(Item, Delay->count());
        return;
      }
    }
    if (Chosen.Running < Slots) {
      start(Item, To);
      return;
    }
    const auto WaitMs =
        static_cast<std::int64_t>(Chosen.Waiting.size() + 1) * WorkMs / Slots;
    if (WaitMs <= QueueWaitMs)
      Chosen.Waiting.emplace_back(Now_, Item);
    else if (Item.Tries < 5)
      offer(Item);
    else
      refuse(Item, QueueWaitMs);
  }

  /// The caller returns once, within a third of its time.
  void refuse(Request Item, std::int64_t DelayMs) {
    ++second(Now_).Rejected;
    if (Item.HasReturned)
      return;
    Item.HasReturned = true;
    Item.Tries = 0;
    std::uniform_real_distribution<double> Jitter(1, 2);
    if (DelayMs > LongestReturnMs)
      return;
    const auto Delay = std::min<std::int64_t>(
        LongestReturnMs, static_cast<std::int64_t>(
                             static_cast<double>(DelayMs) * Jitter(Random_)));
    schedule(Now_ + Delay, [this, Item] { offer(Item); });
  }

  void start(const Request &Item, std::size_t On) {
    ++Hosts_[On].Running;
    second(Now_).Started += Item.IsLookup ? 1 : 0;
    const auto Started = std::make_shared<Run>(Run{Item, On, Now_, 0, false});
    std::uniform_int_distribution<std::int64_t> Work(WorkMs * 7 / 10,
                                                     WorkMs * 13 / 10);
    schedule(Now_ + Work(Random_), [this, Started] {
      std::bernoulli_distribution MakesCalls(Load_.CallShare);
      if (!Started->Of.IsLookup || !MakesCalls(Random_)) {
        finish(*Started);
        return;
      }
      Started->OpenCalls = 2;
      for (int I = 0; I < 2; ++I)
        call({Started, Now_});
    });
  }

  void call(const Call &Item) {
    const auto Ahead = static_cast<std::int64_t>(Calls_.size());
    if (CalleeSlots_ == 0 || Ahead * CallMs / CalleeSlots_ > Load_.CallWaitMs) {
      schedule(Now_ + 10, [this, Item] { endCall(Item, true); });
      return;
    }
    Calls_.push_back(Item);
    startCalls();
  }

  void startCalls() {
    while (!Calls_.empty() &&
           (RunningCalls_ < CalleeSlots_ || CalleeSlots_ == 0)) {
      const Call Next = Calls_.front();
      Calls_.pop_front();
      if (CalleeSlots_ == 0 || Now_ - Next.BeganAt > Load_.CallWaitMs) {
        endCall(Next, true);
        continue;
      }
      ++RunningCalls_;
      schedule(Now_ + CallMs, [this, Next] {
        --RunningCalls_;
        endCall(Next, false);
        startCalls();
      });
    }
  }

  void endCall(const Call &Item, bool IsRefused) {
    Run &Caller = *Item.Of;
    recordCall(Hosts_[Caller.At].Outlook,
               {Index, at(Item.BeganAt), IsRefused, Milliseconds(50)},
               at(Now_));
    Caller.HasFailed = Caller.HasFailed || IsRefused;
    if (--Caller.OpenCalls == 0)
      finish(Caller);
  }

  void finish(const Run &Ended) {
    Host &At = Hosts_[Ended.At];
    recordRun(At.Outlook,
              {Ended.Of.IsLookup ? Lookup : Plain, at(Ended.BeganAt),
               Ended.HasFailed},
              at(Now_));
    Result &Into = second(Ended.Of.BeganAt);
    const bool IsInTime = Now_ - Ended.Of.BeganAt <= Objective;
    Into.FailedRuns += Ended.HasFailed ? 1 : 0;
    Into.LateLookups +=
        Ended.Of.IsLookup && !Ended.HasFailed && !IsInTime ? 1 : 0;
    if (!Ended.HasFailed && IsInTime)
      ++(Ended.Of.IsLookup ? Into.GoodLookups : Into.GoodPlain);
    --At.Running;
    if (At.Waiting.empty())
      return;
    const Request Next = At.Waiting.front().second;
    At.Waiting.erase(At.Waiting.begin());
    start(Next, Ended.At);
  }

  bool Decides_;
  Load Load_;
  std::exponential_distribution<double> LookupGap_;
  std::exponential_distribution<double> PlainGap_;
  double Carry_ = 0;
  std::mt19937_64 Random_{7};
  std::int64_t Now_ = 0;
  std::int64_t End_ = 0;
  std::multimap<std::int64_t, std::function<void()>> Events_;
  std::vector<Host> Hosts_ = std::vector<Host>(Upstreams);
  std::deque<Call> Calls_;
  int RunningCalls_ = 0;
  int CalleeSlots_ = 0;
  std::vector<Result> Seconds_;
};

/// Adds up the seconds from \p Begin to before \p End.
Replay::Result sumOf(const std::vector<Replay::Result> &Seconds,
                     std::size_t Begin, std::size_t End) {
  Replay::Result Sum;
  for (std::size_t I = Begin; I < End; ++I) {
    Sum.Lookups += Seconds[I].Lookups;
    Sum.GoodLookups += Seconds[I].GoodLookups;
    Sum.LateLookups += Seconds[I].LateLookups;
    Sum.GoodPlain += Seconds[I].GoodPlain;
    Sum.FailedRuns += Seconds[I].FailedRuns;
    Sum.Rejected += Seconds[I].Rejected;
  }
  return Sum;
}

int answered(const Replay::Result &Sum) {
  return Sum.GoodLookups + Sum.LateLookups + Sum.GoodPlain;
}

int inTime(const Replay::Result &Sum) {
  return Sum.GoodLookups + Sum.GoodPlain;
}

/// Room for all calls, for half of them, for all, for none, and for all.
std::vector<Replay::Phase> phasesOf(const Load &Offered) {
  const double Needed = Offered.PerS * Offered.CallShare * 2 * 0.04;
  const int All = static_cast<int>(Needed * 4);
  return {{6000, All},
          {14000, static_cast<int>(Needed / 2)},
          {22000, All},
          {30000, 0},
          {38000, All}};
}

/// Ends \p Count runs of \p Route, one every 50 ms from \p Begin on; each of
/// them makes one call. Returns whether requests are rejected afterwards.
bool isRejectedAfter(CalleeOutlook &Known, const RouteName &Route, int Count,
                     const std::function<bool(int)> &IsRefused,
                     const std::function<bool(int)> &HasFailed) {
  std::int64_t Ms = 1000;
  for (int I = 0; I < Count; ++I) {
    recordCall(Known, {Index, at(Ms + 20), IsRefused(I), Milliseconds(50)},
               at(Ms + 40));
    recordRun(Known, {Route, at(Ms), HasFailed(I)}, at(Ms + 41));
    Ms += 50;
  }
  for (int I = 0; I < 10; ++I)
    if (calleeDelay(Known, {Route, false, true}, at(Ms + I)))
      return true;
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CalleeOutlookTest)

// Guards against requests that are rejected since the upstream itself fails.
BOOST_AUTO_TEST_CASE(ownFaultsOfTheUpstreamRejectNothing) {
  CalleeOutlook Known;
  BOOST_TEST(!isRejectedAfter(
      Known, Lookup, 100, [](int) { return false; }, [](int) { return true; }));
  BOOST_TEST(Known.Callees.empty());
  BOOST_TEST(Known.Routes.empty());
}

// Guards against requests that are rejected for refused calls which the runs
// can do without.
BOOST_AUTO_TEST_CASE(refusedCallsWithoutFailedRunsRejectNothing) {
  CalleeOutlook Known;
  BOOST_TEST(!isRejectedAfter(
      Known, Lookup, 100, [](int) { return true; }, [](int) { return false; }));
}

// Guards against requests that are rejected on days when a called service
// refuses a call now and then.
BOOST_AUTO_TEST_CASE(singleRefusedCallsRejectNothing) {
  CalleeOutlook Known;
  const auto EveryTenth = [](int I) { return I % 10 == 0; };
  BOOST_TEST(!isRejectedAfter(Known, Lookup, 200, EveryTenth, EveryTenth));
}

// Guards against a refused call that is held against several runs, so that an
// upstream's own faults count as those of the called service.
BOOST_AUTO_TEST_CASE(oneRefusedCallExplainsOneFailedRun) {
  CalleeOutlook Known;
  recordCall(Known, {Index, at(90), true, Milliseconds(50)}, at(100));
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(!recordRun(Known, {Lookup, at(50), true}, at(101 + I)));
  BOOST_TEST(Known.Routes[Lookup].Failed < 1.01);
}

// Guards against a route that is rejected although its runs make no calls, and
// against one that gets no request through to notice a recovery.
BOOST_AUTO_TEST_CASE(onlyRoutesWhoseRunsFailAreRejected) {
  CalleeOutlook Known;
  const auto Always = [](int) { return true; };
  BOOST_TEST(isRejectedAfter(Known, Lookup, 40, Always, Always));
  for (int I = 0; I < 10; ++I)
    BOOST_TEST(!calleeDelay(Known, {Plain, false, false}, at(3100 + I)));
  int Admitted = 0;
  for (int I = 0; I < 1000; I += 10)
    Admitted +=
        calleeDelay(Known, {Lookup, false, false}, at(3100 + I)) ? 0 : 1;
  BOOST_TEST(Admitted >= 2);
  BOOST_TEST(Admitted <= 30);
}

// Guards against a limit that stays since the admitted runs make no calls any
// more, as in a cycle of services that wait for each other.
BOOST_AUTO_TEST_CASE(aLimitEndsWithoutFurtherCalls) {
  const auto Always = [](int) { return true; };
  // The last calls may have been counted without a decision.
  for (int Refused = 0; Refused < 4; ++Refused) {
    CalleeOutlook Known;
    BOOST_REQUIRE(isRejectedAfter(Known, Lookup, 40, Always, Always));
    for (int I = 0; I < Refused; ++I)
      recordCall(Known, {Index, at(3500), true, Milliseconds(50)}, at(3510));
    std::size_t Ended = 0;
    for (int Ms = 3550; Ms < 10000; Ms += 50) {
      static_cast<void>(calleeDelay(Known, {Lookup, false, false}, at(Ms)));
      Ended += endedLimits(Known, at(Ms)).size();
    }
    BOOST_TEST(Ended == 1U);
    for (int I = 0; I < 20; ++I)
      BOOST_TEST(!calleeDelay(Known, {Lookup, false, false}, at(10000 + I)));
    BOOST_TEST(Known.Callees.empty());
  }
}

// Guards against callers that return and are refused again while new requests
// are admitted.
BOOST_AUTO_TEST_CASE(returningRequestsGoBeforeNewOnes) {
  CalleeOutlook Known;
  const auto Always = [](int) { return true; };
  BOOST_REQUIRE(isRejectedAfter(Known, Lookup, 40, Always, Always));
  int Returned = 0;
  int New = 0;
  for (int I = 0; I < 1000; I += 10) {
    New += calleeDelay(Known, {Lookup, false, false}, at(3100 + I)) ? 0 : 1;
    Returned += calleeDelay(Known, {Lookup, true, false}, at(3101 + I)) ? 0 : 1;
  }
  BOOST_TEST(Returned > 2 * New);
}

// Guards against work that is lost since its calls are refused, and displaces
// requests that could be served: the slots of the caller are scarce while calls
// wait.
BOOST_AUTO_TEST_CASE(moreRunsEndWellWhileThereIsRoomForHalfTheCalls) {
  const Load Offered{700, 0.7, 400};
  const auto With = Replay(true, Offered).run(phasesOf(Offered));
  const auto Without = Replay(false, Offered).run(phasesOf(Offered));
  const Replay::Result Decided = sumOf(With, 6, 14);
  const Replay::Result Before = sumOf(Without, 6, 14);
  BOOST_TEST_MESSAGE("half: answered "
                     << answered(Decided) << " instead of " << answered(Before)
                     << ", failed " << Decided.FailedRuns << " instead of "
                     << Before.FailedRuns << ", other " << Decided.GoodPlain
                     << " instead of " << Before.GoodPlain);
  BOOST_TEST(answered(Decided) > answered(Before));
  BOOST_TEST(Decided.GoodPlain > Before.GoodPlain);
  BOOST_TEST(Decided.FailedRuns < Before.FailedRuns);
  BOOST_TEST(Decided.Rejected < Before.Rejected);
}

// Guards against rejected requests that would have been answered: without room
// for any call, the runs that make none still succeed in idle slots.
BOOST_AUTO_TEST_CASE(idleSlotsServeRunsThatMakeNoCalls) {
  const Load Offered{700, 0.7, 400};
  const auto With = Replay(true, Offered).run(phasesOf(Offered));
  const auto Without = Replay(false, Offered).run(phasesOf(Offered));
  const Replay::Result Decided = sumOf(With, 22, 30);
  const Replay::Result Before = sumOf(Without, 22, 30);
  BOOST_TEST_MESSAGE("none: answered " << answered(Decided) << " instead of "
                                       << answered(Before));
  BOOST_TEST(answered(Decided) >= answered(Before) * 95 / 100);
}

// Guards against runs that all fail, and against a recovery that is noticed
// late.
BOOST_AUTO_TEST_CASE(requestsThatCannotBeServedAreRejected) {
  const Load Offered{500, 1, 400};
  const auto With = Replay(true, Offered).run(phasesOf(Offered));
  const auto Without = Replay(false, Offered).run(phasesOf(Offered));
  const Replay::Result Decided = sumOf(With, 24, 30);
  const Replay::Result Before = sumOf(Without, 24, 30);
  BOOST_TEST_MESSAGE("all call: failed "
                     << Decided.FailedRuns << " instead of "
                     << Before.FailedRuns << ", good in the second after "
                     << With[31].GoodLookups << " of " << With[31].Lookups);
  BOOST_TEST(Decided.FailedRuns * 3 < Before.FailedRuns);
  BOOST_TEST(inTime(sumOf(With, 6, 14)) > inTime(sumOf(Without, 6, 14)));
  // From the second second after the recovery on.
  BOOST_TEST(With[32].GoodLookups >= With[32].Lookups * 9 / 10);
  BOOST_TEST(With[16].GoodLookups >= With[16].Lookups * 9 / 10);
}

// Guards against a share that swings between all and none while the room of the
// called service stays the same.
BOOST_AUTO_TEST_CASE(theAdmittedShareDoesNotSwing) {
  const Load Offered{500, 1, 200};
  const auto Seconds = Replay(true, Offered).run(phasesOf(Offered));
  for (std::size_t I = 8; I < 14; ++I) {
    BOOST_TEST_MESSAGE("second " << I << ": started " << Seconds[I].Started);
    BOOST_TEST(Seconds[I].Started > 150);
    BOOST_TEST(Seconds[I].Started < 480);
  }
}

// Guards against a request that is rejected while the called service has room.
BOOST_AUTO_TEST_CASE(nothingIsRejectedWhileThereIsRoom) {
  for (const double CallShare : {0.7, 1.0}) {
    const Load Offered{700, CallShare, 400};
    const auto Seconds = Replay(true, Offered).run({{10000, 400}});
    BOOST_TEST(sumOf(Seconds, 0, 10).Rejected == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
