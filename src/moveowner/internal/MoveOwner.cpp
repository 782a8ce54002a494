#include "moveowner/internal/MoveOwner.h"

#include "moveowner/internal/Candidate.h"
#include "moveowner/internal/OutcomeSender.h"
#include "moveowner/internal/StopState.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <mutex>

namespace lycheethread::moveowner {

namespace {

/// Returns the writer of the owner's records. The owner needs a separate
/// writer: other modules of the node append records too, and the fold drops a
/// record whose sequence number is below the last one of its writer.
NodeId writerOf(const NodeId &Self) { return NodeId(Self.str() + "/moves"); }

/// Usual time until an appended record is read back. An earlier retry would be
/// redundant.
constexpr Milliseconds ReadBackTime{2'000};
/// Interval at which a stop rumour is repeated until the move has ended, since
/// rumours are sent without acknowledgement.
constexpr Milliseconds StopRepeatInterval{2'000};
/// Limits the reports that are queued until the next tick, also for a service
/// whose document is not folded here yet. Further reports are dropped.
constexpr std::size_t MaxPendingReports = 256;

/// The last append for a move, used to detect a retry.
struct LastAppend {
  moves::MoveAction Action = moves::MoveAction::None;
  std::int32_t StepsTaken = 0;
  SteadyTime At;
};

/// State of this node for one move of its service.
struct OwnedMove {
  moves::CanaryAnalysis Analysis;
  LastAppend Last;
  SteadyTime StopAnnouncedAt;
};

bool isRetry(const LastAppend &Last, const moves::Move &Item,
             moves::MoveAction Action, SteadyTime Now) {
  return Last.Action == Action && Last.StepsTaken == Item.StepsTaken &&
         elapsed(Last.At, Now) < ReadBackTime;
}

RecordBody bodyOf(const moves::Move &Item, const moves::MoveDecision &Next,
                  const NodeId &Writer) {
  switch (Next.Action) {
  case moves::MoveAction::Renew:
    return LeaseRecord{moves::leaseSubject(Item.Service), Writer,
                       Next.Generation, moves::LeaseDuration};
  case moves::MoveAction::Step:
    return MoveStepRecord{Item.Id, Next.Generation, Next.Share, Next.Evidence};
  case moves::MoveAction::Finish:
    return MoveEndRecord{Item.Id, Next.Generation, MoveOutcome::Finished,
                         Next.Reason, Next.Evidence};
  default:
    return MoveEndRecord{Item.Id, Next.Generation, MoveOutcome::Undone,
                         Next.Reason, Next.Evidence};
  }
}

bool needsRecord(moves::MoveAction Action) {
  return Action != moves::MoveAction::None && Action != moves::MoveAction::Hold;
}

} // namespace

struct MoveOwner::Impl : std::enable_shared_from_this<MoveOwner::Impl> {
  explicit Impl(MoveOwnerDependencies Given)
      : Dependencies(std::move(Given)),
        IncarnationNumber(Dependencies.Peers->Self().IncarnationNumber) {}

  MoveOwnerDependencies Dependencies;
  /// Read once at the start: the member's incarnation increases with each
  /// announced state, but all records of a process must have the same one.
  const Incarnation IncarnationNumber;
  std::mutex Lock;
  StopState Stops;
  OutcomeSums Sums;
  std::vector<ServiceReport> Reports;
  std::map<MoveId, OwnedMove> Owned;
  moves::OwnClaims Claims;
  /// Guards the fields below, which the jobs of the log thread use.
  std::mutex LogLock;
  Sequence LastSequence;
  bool LogFailed = false;

  void tick();
  void applyStops(const config::ConfigState &State);
  void sendOutcomes(const config::ConfigState &State, const Member &Self,
                    const std::optional<Member> &First);
  void takeReports(const config::ConfigState &State, const Member &Self);
  void controlMove(const config::ConfigState &State, const moves::Move &Item,
                   const Member &Self, bool First);
  void announceStop(OwnedMove &Work, const moves::Move &Item);
  void append(OwnedMove &Work, const moves::Move &Item, const Member &Self,
              const moves::MoveDecision &Next);
  void write(const RecordBody &Body, const Member &Self, bool NeedsLease,
             const std::optional<moves::LeaseClaim> &Claim);
  RecordHeader nextHeader(const Member &Self);
  void updateLogState(bool Failed, const std::string &Problem);
  OwnedMove &findOrAddWork(const moves::Move &Item,
                           const ServiceDocument &Document);
  void dropEnded(const config::ConfigState &State);
};

void MoveOwner::Impl::tick() {
  const auto State = Dependencies.Config->load();
  const auto Members = Dependencies.Members->load();
  if (!State || !Members)
    return;
  const Member Self = Dependencies.Peers->Self();
  const std::lock_guard<std::mutex> Guard(Lock);
  applyStops(*State);
  if (Self.Service.empty())
    return;
  const auto First = firstCandidate(*Members, Self.Service);
  sendOutcomes(*State, Self, First);
  takeReports(*State, Self);
  dropEnded(*State);
  moves::confirmClaim(Claims, State->Moves, Self.Service, writerOf(Self.Id));
  const bool IsFirst = First && First->Id == Self.Id;
  for (const auto &[Id, Item] : State->Moves.Running)
    if (Item.Service == Self.Service)
      controlMove(*State, Item, Self, IsFirst);
}

void MoveOwner::Impl::applyStops(const config::ConfigState &State) {
  const auto Seen = Dependencies.Entry->Take();
  for (const MoveId &Id :
       evaluateEntryOutcomes(Stops, State, Seen, Dependencies.SteadyNow()))
    BOOST_LOG_TRIVIAL(warning)
        << "moveowner: this node stops sending requests to the new version of "
        << Id;
  const auto Current = Dependencies.StoppedMoves->load();
  auto Next = stoppedMovesOf(Stops, State, Dependencies.WallNow());
  if (Current && Current->Stopped == Next.Stopped)
    return;
  Dependencies.StoppedMoves->store(
      std::make_shared<const moves::StoppedMoveSet>(std::move(Next)));
}

void MoveOwner::Impl::sendOutcomes(const config::ConfigState &State,
                                   const Member &Self,
                                   const std::optional<Member> &First) {
  const SteadyTime Now = Dependencies.SteadyNow();
  const auto &Running = State.Moves.Running;
  const bool Wanted =
      std::any_of(Running.begin(), Running.end(), [&](const auto &Entry) {
        return Entry.second.Service == Self.Service;
      });
  addOutcomeSums(Sums, Self.Service, Dependencies.LastHop->Take(), Wanted, Now);
  if (!First)
    return;
  auto Report = takeReport(Sums, Self.Service, Self.Id, Now);
  if (!Report)
    return;
  if (First->Id == Self.Id) {
    Reports.push_back(std::move(*Report));
    return;
  }
  Dependencies.PostToPeers([Peers = Dependencies.Peers, Target = *First,
                            Payload = encodeReport(*Report)] {
    Peers->Call(Target, "outcomes", Payload);
  });
}

void MoveOwner::Impl::takeReports(const config::ConfigState &State,
                                  const Member &Self) {
  const SteadyTime Now = Dependencies.SteadyNow();
  const auto Accepted = State.Documents.find(Self.Service);
  if (Accepted != State.Documents.end())
    for (const auto &[Id, Item] : State.Moves.Running)
      if (Item.Service == Self.Service)
        for (const ServiceReport &Each : Reports)
          if (Each.Service == Self.Service)
            moves::addOutcomes(
                findOrAddWork(Item, Accepted->second.Document).Analysis,
                Each.Report, Now);
  Reports.clear();
}

void MoveOwner::Impl::controlMove(const config::ConfigState &State,
                                  const moves::Move &Item, const Member &Self,
                                  bool First) {
  const auto Accepted = State.Documents.find(Item.Service);
  if (Accepted == State.Documents.end())
    return;
  const ServiceDocument &Document = Accepted->second.Document;
  OwnedMove &Work = findOrAddWork(Item, Document);
  const auto Split =
      moves::trafficSplitOf(State.Moves, Document, Item.Plan.Group);
  moves::Verdict TestResult = moves::evaluateCanary(Work.Analysis, Item, Split,
                                                    Dependencies.SteadyNow());
  if (TestResult.IsNewVersionBad)
    announceStop(Work, Item);
  // A previous owner found the version bad but did not append the end record.
  else if (hasStopRumour(Stops, Item.Id))
    TestResult.IsNewVersionBad = true;
  moves::OwnerState Owner;
  Owner.Self = writerOf(Self.Id);
  Owner.FirstCandidate = First;
  Owner.Claim = Claims.Confirmed;
  Owner.SteadyNow = Dependencies.SteadyNow();
  const moves::MoveDecision Next = moves::decideMove(
      Item, TestResult, State.Moves, Owner, Dependencies.WallNow());
  if (needsRecord(Next.Action))
    append(Work, Item, Self, Next);
}

void MoveOwner::Impl::announceStop(OwnedMove &Work, const moves::Move &Item) {
  const SteadyTime Now = Dependencies.SteadyNow();
  if (addStopRumour(Stops, Item.Id))
    BOOST_LOG_TRIVIAL(warning) << "moveowner: the new version of " << Item.Id
                               << " is worse than the old one";
  else if (elapsed(Work.StopAnnouncedAt, Now) < StopRepeatInterval)
    return;
  Work.StopAnnouncedAt = Now;
  Dependencies.Peers->Broadcast("brake", encodeStopNotice(Item.Id));
}

void MoveOwner::Impl::append(OwnedMove &Work, const moves::Move &Item,
                             const Member &Self,
                             const moves::MoveDecision &Next) {
  const SteadyTime Now = Dependencies.SteadyNow();
  const bool Renews = Next.Action == moves::MoveAction::Renew;
  if (!Renews && isRetry(Work.Last, Item, Next.Action, Now))
    return;
  const bool NeedsLease =
      !Renews && !moves::pastDeadline(Item, Dependencies.WallNow());
  const RecordBody Body = bodyOf(Item, Next, writerOf(Self.Id));
  auto Pending = Claims;
  if (Renews && !moves::beginClaim(Pending, Next.Generation, Now))
    return;
  const bool Started = Dependencies.PostToLog(
      [Me = shared_from_this(), Body, Self, NeedsLease,
       Claim = Claims.Confirmed] { Me->write(Body, Self, NeedsLease, Claim); });
  // An earlier append is still in progress; the next tick decides again.
  if (!Started)
    return;
  Claims = Pending;
  if (!Renews)
    Work.Last = {Next.Action, Item.StepsTaken, Now};
}

void MoveOwner::Impl::write(const RecordBody &Body, const Member &Self,
                            bool NeedsLease,
                            const std::optional<moves::LeaseClaim> &Claim) {
  // The process may have been suspended since the decision.
  if (NeedsLease &&
      (!Claim || !moves::leaseAllowsAppend(*Claim, Dependencies.SteadyNow())))
    return;
  const Record Item{nextHeader(Self), Body};
  try {
    Dependencies.Log->Append(StreamName("control"), Dependencies.Encode(Item));
    updateLogState(false, "");
  } catch (const streamlog::LogUnavailable &Error) {
    updateLogState(true, Error.what());
  }
}

RecordHeader MoveOwner::Impl::nextHeader(const Member &Self) {
  RecordHeader Result;
  Result.Writer = writerOf(Self.Id);
  Result.IncarnationNumber = IncarnationNumber;
  Result.WrittenAt = Dependencies.WallNow();
  const std::lock_guard<std::mutex> Guard(LogLock);
  // Sequence numbers start at the current time, so that a node that restarts
  // with the same incarnation does not reuse its earlier ones.
  LastSequence =
      std::max(LastSequence.next(), Sequence(Result.WrittenAt.value()));
  Result.Number = LastSequence;
  return Result;
}

void MoveOwner::Impl::updateLogState(bool Failed, const std::string &Problem) {
  const std::lock_guard<std::mutex> Guard(LogLock);
  if (Failed && !LogFailed)
    BOOST_LOG_TRIVIAL(warning)
        << "moveowner: cannot append to the control stream: " << Problem;
  if (!Failed && LogFailed)
    BOOST_LOG_TRIVIAL(info) << "moveowner: the log is reachable again";
  LogFailed = Failed;
}

OwnedMove &MoveOwner::Impl::findOrAddWork(const moves::Move &Item,
                                          const ServiceDocument &Document) {
  const auto Found = Owned.find(Item.Id);
  if (Found != Owned.end())
    return Found->second;
  OwnedMove &Added = Owned[Item.Id];
  Added.Analysis = moves::makeCanaryAnalysis(Item, Document);
  return Added;
}

void MoveOwner::Impl::dropEnded(const config::ConfigState &State) {
  for (auto It = Owned.begin(); It != Owned.end();)
    It = State.Moves.Running.count(It->first) == 0 ? Owned.erase(It)
                                                   : std::next(It);
}

MoveOwner::MoveOwner(MoveOwnerDependencies Dependencies)
    : Impl_(std::make_shared<Impl>(std::move(Dependencies))) {}

MoveOwner::~MoveOwner() = default;

void MoveOwner::tick() { Impl_->tick(); }

void MoveOwner::handleOutcomeReport(const std::string &Payload) {
  ServiceReport Report = decodeReport(Payload);
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  if (Impl_->Reports.size() < MaxPendingReports)
    Impl_->Reports.push_back(std::move(Report));
}

void MoveOwner::handleStopNotice(const std::string &Payload) {
  const MoveId Id = decodeStopNotice(Payload);
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  addStopRumour(Impl_->Stops, Id);
}

} // namespace lycheethread::moveowner
