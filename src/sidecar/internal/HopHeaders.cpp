#include "sidecar/internal/HopHeaders.h"

#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <Poco/URI.h>

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

/// Escaped in names.
constexpr const char *Separator = ";";
constexpr std::size_t InfoFields = 10;
/// Only where the configuration has organisations: nodes of earlier builds
/// reject further fields.
constexpr std::size_t InfoFieldsWithOrganisation = 11;
constexpr std::size_t LoadFields = 4;
constexpr std::size_t RefusalFields = 4;
constexpr std::size_t LimitFields = 2;
constexpr std::size_t StatedFields = 3;

std::string join(std::initializer_list<std::string> Parts) {
  std::string Text;
  for (const std::string &Part : Parts)
    Text.append(Text.empty() ? "" : Separator).append(Part);
  return Text;
}

/// Names come from records and check-ins, which may hold any character.
std::string escape(const std::string &Name) {
  std::string Text;
  Poco::URI::encode(Name, Separator, Text);
  return Text;
}

std::optional<std::string> unescape(const std::string &Text) {
  try {
    std::string Name;
    Poco::URI::decode(Text, Name);
    return Name;
  } catch (const Poco::URISyntaxException &) {
    return std::nullopt;
  }
}

std::optional<std::int64_t> numberAt(const Poco::StringTokenizer &Parts,
                                     std::size_t Index) {
  Poco::Int64 Value = 0;
  if (!Poco::NumberParser::tryParse64(Parts[Index], Value))
    return std::nullopt;
  return Value;
}

/// The reason is QueueFull for nodes of earlier builds, which would take a
/// refusal with an unknown reason for a failed run. They read any third field
/// but "1" as: the request has not reached the upstream.
std::string encodeCalleeFull(const HopOutcome &Outcome) {
  return join({std::string(toString(RefusalReason::QueueFull)),
               std::string(toString(Executed::No)),
               std::string(toString(Outcome.Reason)),
               std::to_string(Outcome.RetryDelay.count())});
}

/// A request that has certainly not run may be sent elsewhere, also if a later
/// build states a reason that is not known here.
std::optional<RefusalReason> parseReason(const std::string &Text,
                                         Executed Execution) {
  const auto Reason = parseRefusalReason(Text);
  if (!Reason && Execution == Executed::No)
    return RefusalReason::QueueFull;
  return Reason;
}

} // namespace

std::string encodeInfo(const HopInfo &Info, SteadyTime Now) {
  std::string Text =
      join({escape(Info.Service.str()), escape(Info.Version.str()),
            escape(Info.Route.str()), std::string(toString(Info.Class)),
            std::to_string(Info.Rank),
            std::to_string(elapsed(Now, Info.ObjectiveAt).count()),
            std::to_string(elapsed(Now, Info.DeadlineAt).count()),
            escape(Info.Caller.str()), Info.RequestFingerprint.str(),
            std::to_string(Info.Objective.count())});
  if (Info.HasOrganisations)
    Text.append(Separator).append(escape(Info.Organisation.str()));
  return Text;
}

std::optional<HopInfo> decodeInfo(const std::string &Text, SteadyTime Now) {
  const Poco::StringTokenizer Parts(Text, Separator);
  if (Parts.count() != InfoFields &&
      Parts.count() != InfoFieldsWithOrganisation)
    return std::nullopt;
  const auto Class = parseRequestClass(Parts[3]);
  const auto Rank = numberAt(Parts, 4);
  const auto Objective = numberAt(Parts, 5);
  const auto Deadline = numberAt(Parts, 6);
  const auto FullObjective = numberAt(Parts, 9);
  const auto Service = unescape(Parts[0]);
  const auto Version = unescape(Parts[1]);
  const auto Route = unescape(Parts[2]);
  const auto Caller = unescape(Parts[7]);
  if (!Class || !Rank || !Objective || !Deadline || !FullObjective ||
      !Service || !Version || !Route || !Caller)
    return std::nullopt;
  HopInfo Info;
  Info.Service = ServiceName(*Service);
  Info.Version = VersionName(*Version);
  Info.Route = RouteName(*Route);
  Info.Class = *Class;
  Info.Rank = static_cast<std::int32_t>(*Rank);
  Info.ObjectiveAt = after(Now, Milliseconds(*Objective));
  Info.DeadlineAt = after(Now, Milliseconds(*Deadline));
  Info.Caller = ServiceName(*Caller);
  Info.RequestFingerprint = requests::Fingerprint(Parts[8]);
  Info.Objective = Milliseconds(*FullObjective);
  if (Parts.count() == InfoFieldsWithOrganisation) {
    const auto Organisation = unescape(Parts[10]);
    if (!Organisation)
      return std::nullopt;
    Info.HasOrganisations = true;
    Info.Organisation = organisations::OrganisationId(*Organisation);
  }
  return Info;
}

std::string encodeLoad(const mesh::LoadReport &Load) {
  return join({std::to_string(Load.Running), std::to_string(Load.Waiting),
               std::to_string(Load.ServiceTime.count()),
               std::to_string(Load.BodyWait.count())});
}

std::optional<mesh::LoadReport> decodeLoad(const std::string &Text) {
  const Poco::StringTokenizer Parts(Text, Separator);
  if (Parts.count() != LoadFields)
    return std::nullopt;
  const auto Running = numberAt(Parts, 0);
  const auto Waiting = numberAt(Parts, 1);
  const auto Service = numberAt(Parts, 2);
  const auto BodyWait = numberAt(Parts, 3);
  if (!Running || !Waiting || !Service || !BodyWait)
    return std::nullopt;
  return mesh::LoadReport{static_cast<std::int32_t>(*Running),
                          static_cast<std::int32_t>(*Waiting),
                          Milliseconds(*Service), Milliseconds(*BodyWait)};
}

std::string encodeLimit(const mesh::LoadReport &Load) {
  return join({Poco::NumberFormatter::format(*Load.LimitPerSecond),
               std::to_string(Load.PermitWait.count())});
}

void decodeLimit(const std::string &Text, mesh::LoadReport &Load) {
  const Poco::StringTokenizer Parts(Text, Separator);
  if (Parts.count() != LimitFields)
    return;
  const auto Rate = requests::parseRate(Parts[0]);
  const auto Wait = numberAt(Parts, 1);
  if (!Rate || !Wait)
    return;
  Load.LimitPerSecond = Rate;
  Load.PermitWait = Milliseconds(std::max<std::int64_t>(0, *Wait));
}

std::string encodeStated(const StatedLimit &Limit) {
  return join({escape(Limit.By.str()), std::to_string(Limit.StartedAtUnixMs),
               Poco::NumberFormatter::format(Limit.PerSecond)});
}

std::optional<StatedLimit> decodeStated(const std::string &Text) {
  const Poco::StringTokenizer Parts(Text, Separator);
  if (Parts.count() != StatedFields)
    return std::nullopt;
  const auto Started = numberAt(Parts, 1);
  const auto Rate = requests::parseRate(Parts[2]);
  const auto By = unescape(Parts[0]);
  if (!Started || !Rate || !By)
    return std::nullopt;
  return StatedLimit{mesh::UpstreamId(*By), *Started, *Rate};
}

std::string encodeRefusal(const HopOutcome &Outcome) {
  if (Outcome.Reason == RefusalReason::CalleeFull &&
      Outcome.End == HopResult::NotRun && !Outcome.Reached)
    return encodeCalleeFull(Outcome);
  return join({std::string(toString(Outcome.Reason)),
               std::string(toString(Outcome.End == HopResult::NotRun
                                        ? Executed::No
                                        : Executed::Unknown)),
               Outcome.Reached ? "1" : "0",
               std::to_string(Outcome.RetryDelay.count())});
}

std::optional<HopOutcome> decodeRefusal(const std::string &Text) {
  const Poco::StringTokenizer Parts(Text, Separator);
  if (Parts.count() != RefusalFields)
    return std::nullopt;
  const auto ExecutionStatus = parseExecuted(Parts[1]);
  const auto RetryDelay = numberAt(Parts, 3);
  if (!ExecutionStatus || !RetryDelay)
    return std::nullopt;
  const auto Reason = parseReason(Parts[0], *ExecutionStatus);
  if (!Reason)
    return std::nullopt;
  HopOutcome Outcome;
  Outcome.End =
      *ExecutionStatus == Executed::No ? HopResult::NotRun : HopResult::Failed;
  Outcome.Reason = parseRefusalReason(Parts[2]).value_or(*Reason);
  Outcome.Reached = Parts[2] == "1";
  Outcome.RetryDelay = Milliseconds(*RetryDelay);
  return Outcome;
}

} // namespace lycheethread::sidecar
