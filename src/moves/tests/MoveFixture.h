#ifndef LYCHEETHREAD_MOVES_TESTS_MOVEFIXTURE_H
#define LYCHEETHREAD_MOVES_TESTS_MOVEFIXTURE_H

#include "moves/Moves.h"

#include <algorithm>

namespace lycheethread::moves::test {

inline const ServiceName Desk("ticket-desk");
inline const GroupName Main("main");
inline const MoveId FirstMove("ticket-desk/main/1");
inline constexpr std::int64_t Start = 1'000'000;

inline WallTime at(std::int64_t Seconds) {
  return WallTime(Start + Seconds * 1000);
}

inline MovePlan planUntil(std::int64_t Seconds) {
  MovePlan Plan;
  Plan.Group = Main;
  Plan.From = VersionName("v1");
  Plan.To = VersionName("v2");
  Plan.FinishBy = at(Seconds);
  Plan.Steps = {Permille(10), Permille(250), Permille(1000)};
  Plan.StepDuration = Milliseconds(10'000);
  return Plan;
}

inline void addRoute(ServiceDocument &Document, const std::string &Name,
                     RequestClass Class) {
  Route Added;
  Added.Name = RouteName(Name);
  Added.Path = "/" + Name;
  Added.Class = Class;
  Added.Group = Main;
  Document.Routes[Added.Name] = Added;
}

inline ServiceDocument documentWith(const MovePlan &Plan) {
  ServiceDocument Document;
  Document.Service = Desk;
  Document.Groups[Main] = {Main, {VersionName("v1"), VersionName("v2")}};
  Document.Moves[Main] = Plan;
  addRoute(Document, "tickets", RequestClass::Repeatable);
  addRoute(Document, "releases", RequestClass::OnceOnly);
  return Document;
}

/// Applies records as the fold of the control stream does: log time first.
struct MoveLog {
  MoveTable Table;
  WallTime LogTime{Start};

  bool append(const std::string &Writer, WallTime WrittenAt, RecordBody Body) {
    Record Item;
    Item.Header.Writer = NodeId(Writer);
    Item.Header.WrittenAt = WrittenAt;
    Item.Body = std::move(Body);
    LogTime = std::max(LogTime, WrittenAt);
    return foldMoveRecord(Table, Item, LogTime);
  }
  bool lease(const std::string &Writer, std::int64_t Seconds, int Generation) {
    return append(Writer, at(Seconds),
                  LeaseRecord{leaseSubject(Desk), NodeId(Writer),
                              Epoch(Generation), LeaseDuration});
  }
  bool step(const std::string &Writer, std::int64_t Seconds, int Generation,
            int Share) {
    return append(
        Writer, at(Seconds),
        MoveStepRecord{FirstMove, Epoch(Generation), Permille(Share), "e"});
  }
  bool end(const std::string &Writer, std::int64_t Seconds, int Generation,
           MoveOutcome Outcome) {
    return append(
        Writer, at(Seconds),
        MoveEndRecord{FirstMove, Epoch(Generation), Outcome, "told", "e"});
  }
};

inline MoveLog runningLog(std::int64_t Deadline = 100) {
  MoveLog Log;
  applyDocument(Log.Table, documentWith(planUntil(Deadline)), Revision(1),
                Log.LogTime);
  return Log;
}

} // namespace lycheethread::moves::test

#endif // LYCHEETHREAD_MOVES_TESTS_MOVEFIXTURE_H
