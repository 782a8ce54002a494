#ifndef LYCHEETHREAD_MOVES_TYPES_CANARYANALYSIS_H
#define LYCHEETHREAD_MOVES_TYPES_CANARYANALYSIS_H

#include "model/Model.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheethread::moves {

/// What one node saw of its requests since its previous report.
struct OutcomeReport {
  NodeId Hop;
  /// Time since the first request to the reporting node's upstream.
  Milliseconds TimeSinceFirstRequest{0};
  std::vector<RouteOutcomes> Routes;
};

/// Sums of outcomes; Latency leaves out the requests of a cold start.
struct OutcomeCounts {
  std::int64_t Requests = 0;
  std::int64_t Failures = 0;
  std::array<std::int64_t, LatencyBuckets> Latency{};
};

/// Outcomes of one route that arrived within AnalysisWindow.
struct RouteWindow {
  OutcomeCounts Old;
  std::map<NodeId, OutcomeCounts> New;
};

/// Sequential probability ratio test of one Bernoulli stream.
struct StreamTest {
  /// Log-likelihood ratio "bad against good" of the present cycle, in total
  /// and the part of each node.
  double Total = 0;
  std::map<NodeId, double> ByHop;
  /// Nodes that reported the new version lately.
  std::size_t Hops = 0;
  /// Counted from 1; a cycle ends when the lower threshold is reached.
  std::int64_t Cycle = 1;
  std::int64_t EventsInCycle = 0;
  /// The lower threshold was reached since the last step.
  bool Accepted = false;
  bool FoundBad = false;
  /// Whole move: events and samples of the new version.
  std::int64_t Events = 0;
  std::int64_t Samples = 0;
};

/// Tests of one stream against two alternatives. The mild one finds a small
/// worsening and decides when a step has passed; the severe one finds a large
/// worsening in a few requests.
struct StreamTests {
  StreamTest Mild;
  StreamTest Severe;
};

/// Evidence on one route.
struct RouteAnalysis {
  /// Newest last; the last one is still open. At most MaxAnalysisWindows.
  std::deque<RouteWindow> Windows{1};
  /// The old version before the windows, without those of a general fault.
  OutcomeCounts Baseline;
  StreamTests Failed;
  StreamTests Slow;
  /// Number of the open window, and of the last one in which a node reported
  /// the new version.
  std::int64_t WindowNumber = 0;
  std::map<NodeId, std::int64_t> LastSeen;
  /// Requests since the last step.
  std::int64_t OldSinceStep = 0;
  std::int64_t NewSinceStep = 0;
  /// Successful answers of the new version in the whole move.
  std::int64_t NewAnswered = 0;
  /// Both versions are worse than the baseline.
  bool BothWorse = false;
};

/// Evidence on one move at one node.
struct CanaryAnalysis {
  MoveId Id;
  GroupName Group;
  VersionName From;
  VersionName To;
  /// Number of tests that share the false alarm rate.
  std::int32_t Tests = 4;
  double FalseAlarmRate = 0.01;
  bool TestsLatency = true;
  /// Failure rate that is tolerated whatever the old version does.
  double ToleratedFailures = 0;
  /// Routes whose requests may not be repeated.
  std::set<RouteName> Guarded;
  std::int32_t StepsTaken = 0;
  Permille Share;
  Permille NonRetryableShare;
  SteadyTime WindowStart;
  std::map<RouteName, RouteAnalysis> Routes;
};

/// Outcome of the tests so far.
struct Verdict {
  bool FoundBad = false;
  /// Both versions are worse together on some route.
  bool BothWorse = false;
  /// A test is more than half of the way to its upper threshold.
  bool Doubtful = false;
  /// The new version gets no requests although its share says that it should.
  bool GetsNoRequests = false;
  /// The new version answered at least one request.
  bool Answered = false;
  /// Every route on which the new version was asked passed its tests.
  bool Sufficient = false;
  /// Counts, likelihood ratios and thresholds.
  std::string Evidence;
};

/// Failures in a row per route, as the entry node counts them.
struct LocalStop {
  std::map<RouteName, std::int64_t> ConsecutiveFailures;
};

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_TYPES_CANARYANALYSIS_H
