#include "app/internal/MovesText.h"
#include "app/internal/Commands.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace lycheethread::app {

namespace {

const char *statusName(moves::MoveStatus Status) {
  switch (Status) {
  case moves::MoveStatus::Running:
    return "running";
  case moves::MoveStatus::Finished:
    return "finished";
  default:
    return "undone";
  }
}

std::string timeText(WallTime Time) {
  return Poco::DateTimeFormatter::format(Poco::Timestamp(Time.value() * 1000),
                                         Poco::DateTimeFormat::ISO8601_FORMAT);
}

Poco::JSON::Object moveJson(const moves::Move &Item) {
  Poco::JSON::Object Result(Poco::JSON_PRESERVE_KEY_ORDER);
  Result.set("id", Item.Id.str());
  Result.set("service", Item.Service.str());
  Result.set("group", Item.Plan.Group.str());
  Result.set("from", Item.Plan.From.str());
  Result.set("to", Item.Plan.To.str());
  Result.set("status", statusName(Item.Status));
  Result.set("share_permille", Item.Share.value());
  Result.set("steps_taken", Item.StepsTaken);
  Result.set("steps", Item.Plan.Steps.size());
  Result.set("finish_by", timeText(Item.Plan.FinishBy));
  Result.set("started_at", timeText(Item.StartedAt));
  if (Item.Status != moves::MoveStatus::Running)
    Result.set("ended_at", timeText(Item.EndedAt));
  Result.set("reason", Item.Reason);
  Result.set("evidence", Item.Evidence);
  return Result;
}

void writeMove(std::ostream &Out, const moves::Move &Item) {
  Out << std::left << std::setw(36) << Item.Id.str() << " " << std::setw(9)
      << statusName(Item.Status) << " " << Item.Plan.From << " -> "
      << Item.Plan.To << "  share "
      << static_cast<double>(Item.Share.value()) / 10 << "%  step "
      << Item.StepsTaken << "/" << Item.Plan.Steps.size() << "  finish by "
      << timeText(Item.Plan.FinishBy) << "\n";
  if (!Item.Reason.empty())
    Out << "    reason: " << Item.Reason << "\n";
  if (!Item.Evidence.empty())
    Out << "    evidence: " << Item.Evidence << "\n";
}

} // namespace

std::vector<moves::Move> listMoves(const moves::MoveTable &Table,
                                   const ServiceName &Service) {
  std::vector<moves::Move> Result(Table.Ended.begin(), Table.Ended.end());
  for (const auto &[Id, Item] : Table.Running)
    Result.push_back(Item);
  const auto IsOtherService = [&](const moves::Move &Item) {
    return !Service.empty() && Item.Service != Service;
  };
  Result.erase(std::remove_if(Result.begin(), Result.end(), IsOtherService),
               Result.end());
  return Result;
}

std::string movesTable(const std::vector<moves::Move> &Moves) {
  std::ostringstream Out;
  for (const moves::Move &Item : Moves)
    writeMove(Out, Item);
  if (Moves.empty())
    Out << "no moves\n";
  return Out.str();
}

std::string movesJson(const std::vector<moves::Move> &Moves) {
  Poco::JSON::Array Result;
  for (const moves::Move &Item : Moves)
    Result.add(moveJson(Item));
  std::ostringstream Out;
  Result.stringify(Out, 2);
  Out << "\n";
  return Out.str();
}

std::optional<int> exitCodeOf(const moves::MoveTable &Table, const MoveId &Id) {
  if (Table.Running.count(Id) != 0)
    return std::nullopt;
  for (const moves::Move &Item : Table.Ended)
    if (Item.Id == Id)
      return Item.Status == moves::MoveStatus::Finished ? ExitOk : ExitRefused;
  return ExitUnavailable;
}

} // namespace lycheethread::app
