#ifndef LYCHEETHREAD_MOVES_TYPES_CANARYANALYSIS_H
#define LYCHEETHREAD_MOVES_TYPES_CANARYANALYSIS_H

#include "model/Model.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheethread::moves {

/// Outcomes of the requests at one node since its previous report.
struct OutcomeReport {
  NodeId Hop;
  /// Time since the first request to the reporting node's upstream.
  Milliseconds TimeSinceFirstRequest{0};
  std::vector<RouteOutcomes> Routes;
};

/// Sums of outcomes. Latency does not include requests to a cold upstream.
struct OutcomeCounts {
  std::int64_t Requests = 0;
  std::int64_t Failures = 0;
  std::array<std::int64_t, LatencyBuckets> Latency{};
};

/// Outcomes of one route that were reported within one AnalysisWindow.
struct RouteWindow {
  OutcomeCounts Old;
  std::map<NodeId, OutcomeCounts> New;
};

/// Sequential probability ratio test of one Bernoulli stream.
struct StreamTest {
  /// Log-likelihood ratio of "bad" against "good" in the current cycle, in
  /// total and by reporting node.
  double Total = 0;
  std::map<NodeId, double> ByHop;
  /// Number of nodes that recently reported the new version.
  std::size_t Hops = 0;
  /// Counted from 1. A cycle ends when the lower threshold is reached.
  std::int64_t Cycle = 1;
  std::int64_t EventsInCycle = 0;
  /// Whether the lower threshold was reached since the last step.
  bool Accepted = false;
  bool IsNewVersionBad = false;
  /// Events and samples of the new version during the whole move.
  std::int64_t Events = 0;
  std::int64_t Samples = 0;
};

/// Tests of one stream against two alternatives. The mild test detects a small
/// degradation and decides when a step has passed; the severe test detects a
/// large degradation within a few requests.
struct StreamTests {
  StreamTest Mild;
  StreamTest Severe;
};

/// Analysis of one route.
struct RouteAnalysis {
  /// Newest last; the last window is still open. At most MaxAnalysisWindows.
  std::deque<RouteWindow> Windows{1};
  /// Counts of the old version from windows that are already tested, without
  /// windows in which the old version was degraded.
  OutcomeCounts Baseline;
  StreamTests Failed;
  StreamTests Slow;
  /// Number of the open window, and of the last window in which each node
  /// reported the new version.
  std::int64_t WindowNumber = 0;
  std::map<NodeId, std::int64_t> LastSeen;
  /// Requests since the last step.
  std::int64_t OldSinceStep = 0;
  std::int64_t NewSinceStep = 0;
  /// Successful responses of the new version during the whole move.
  std::int64_t NewAnswered = 0;
  /// Whether both versions are worse than the baseline.
  bool BothWorse = false;
};

/// Sequential analysis of one move at one node: compares the new version with
/// the old one.
struct CanaryAnalysis {
  MoveId Id;
  GroupName Group;
  VersionName From;
  VersionName To;
  /// Number of tests among which the false alarm rate is divided.
  std::int32_t Tests = 4;
  double FalseAlarmRate = 0.01;
  bool TestsLatency = true;
  /// Failure rate that is tolerated regardless of the old version.
  double ToleratedFailures = 0;
  /// Routes whose requests must not be retried.
  std::set<RouteName> Guarded;
  std::int32_t StepsTaken = 0;
  Permille Share;
  Permille NonRetryableShare;
  SteadyTime WindowStart;
  std::map<RouteName, RouteAnalysis> Routes;
};

/// Result of the tests so far.
struct Verdict {
  bool IsNewVersionBad = false;
  /// Both versions are worse than the baseline on at least one route.
  bool BothWorse = false;
  /// At least one test has passed half of its upper threshold.
  bool Doubtful = false;
  /// On some route the new version gets no requests although its share of the
  /// route's requests would be enough to expect some.
  bool GetsNoRequests = false;
  /// The new version has answered at least one request.
  bool Answered = false;
  /// Every route on which the new version got requests passed its tests.
  bool Sufficient = false;
  /// Counts, likelihood ratios and thresholds.
  std::string Evidence;
};

/// Consecutive failures per route, counted at the entry node.
struct LocalStop {
  std::map<RouteName, std::int64_t> ConsecutiveFailures;
};

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_TYPES_CANARYANALYSIS_H
