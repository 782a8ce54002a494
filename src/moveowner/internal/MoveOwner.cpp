#include "moveowner/internal/MoveOwner.h"

#include "moveowner/internal/Candidate.h"
#include "moveowner/internal/OutcomeSender.h"
#include "moveowner/internal/StopState.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <mutex>

namespace lycheethread::moveowner {

namespace {

/// Records of the owner have a writer of their own: the fold drops a sequence
/// below the writer's last one, and other parts of the node write too.
NodeId writerOf(const NodeId &Self) { return NodeId(Self.str() + "/moves"); }

/// Usual time until a record is read back; a repeat before that is waste.
constexpr Milliseconds ReadBackTime{2'000};
/// Rumours are best effort and are repeated until the move has ended.
constexpr Milliseconds BrakeRepeat{2'000};
/// Reports of a service whose publication is not folded here yet are dropped
/// above this number.
constexpr std::size_t MaxPendingReports = 256;

/// The last append for a move, to tell a repeat.
struct LastAppend {
  moves::MoveAction Action = moves::MoveAction::None;
  std::int32_t StepsTaken = 0;
  SteadyTime At;
};

/// This node's work on one move of its service.
struct OwnedMove {
  moves::CanaryAnalysis Tested;
  LastAppend Last;
  SteadyTime BrakedAt;
};

bool isRepeat(const LastAppend &Last, const moves::Move &Item,
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

bool isRecord(moves::MoveAction Action) {
  return Action != moves::MoveAction::None && Action != moves::MoveAction::Hold;
}

} // namespace

struct MoveOwner::Impl : std::enable_shared_from_this<MoveOwner::Impl> {
  explicit Impl(MoveOwnerDependencies Given)
      : Ports(std::move(Given)),
        IncarnationNumber(Ports.Peers->Self().IncarnationNumber) {}

  MoveOwnerDependencies Ports;
  /// Taken once: the member's incarnation rises with each announced state, and
  /// records of one process belong to one life.
  const Incarnation IncarnationNumber;
  std::mutex Lock;
  StopState Book;
  OutcomeSums Sums;
  std::vector<ServiceReport> Reports;
  std::map<MoveId, OwnedMove> Owned;
  moves::OwnClaims Claims;
  /// Guards the fields below, which the jobs at the log use.
  std::mutex LogLock;
  Sequence LastSequence;
  bool LogFailed = false;

  void tick();
  void applyStops(const config::ConfigState &State);
  void sendOutcomes(const config::ConfigState &State, const Member &Self,
                    const std::optional<Member> &First);
  void takeReports(const config::ConfigState &State, const Member &Self);
  void drive(const config::ConfigState &State, const moves::Move &Item,
             const Member &Self, bool First);
  void brake(OwnedMove &Work, const moves::Move &Item);
  void append(OwnedMove &Work, const moves::Move &Item, const Member &Self,
              const moves::MoveDecision &Next);
  void write(const RecordBody &Body, const Member &Self, bool NeedsLease,
             const std::optional<moves::LeaseClaim> &Claim);
  RecordHeader nextHeader(const Member &Self);
  void noteLog(bool Failed, const std::string &Problem);
  OwnedMove &workOn(const moves::Move &Item, const ServiceDocument &Document);
  void dropEnded(const config::ConfigState &State);
};

void MoveOwner::Impl::tick() {
  const auto State = Ports.Config->load();
  const auto Members = Ports.Members->load();
  if (!State || !Members)
    return;
  const Member Self = Ports.Peers->Self();
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
      drive(*State, Item, Self, IsFirst);
}

void MoveOwner::Impl::applyStops(const config::ConfigState &State) {
  const auto Seen = Ports.Entry->Take();
  for (const MoveId &Id : addEntry(Book, State, Seen, Ports.SteadyNow()))
    BOOST_LOG_TRIVIAL(warning)
        << "moveowner: this node sends nothing more to the new version of "
        << Id;
  const auto Current = Ports.StoppedMoves->load();
  auto Next = stoppedMovesOf(Book, State, Ports.WallNow());
  if (Current && Current->Stopped == Next.Stopped)
    return;
  Ports.StoppedMoves->store(
      std::make_shared<const moves::StoppedMoveSet>(std::move(Next)));
}

void MoveOwner::Impl::sendOutcomes(const config::ConfigState &State,
                                   const Member &Self,
                                   const std::optional<Member> &First) {
  const SteadyTime Now = Ports.SteadyNow();
  const auto &Running = State.Moves.Running;
  const bool Wanted =
      std::any_of(Running.begin(), Running.end(), [&](const auto &Entry) {
        return Entry.second.Service == Self.Service;
      });
  addOutcomeSums(Sums, Self.Service, Ports.LastHop->Take(), Wanted, Now);
  if (!First)
    return;
  auto Report = takeReport(Sums, Self.Service, Self.Id, Now);
  if (!Report)
    return;
  if (First->Id == Self.Id) {
    Reports.push_back(std::move(*Report));
    return;
  }
  Ports.PostToPeers(
      [Peers = Ports.Peers, Target = *First, Payload = encodeReport(*Report)] {
        Peers->Call(Target, "outcomes", Payload);
      });
}

void MoveOwner::Impl::takeReports(const config::ConfigState &State,
                                  const Member &Self) {
  const SteadyTime Now = Ports.SteadyNow();
  const auto Accepted = State.Documents.find(Self.Service);
  if (Accepted != State.Documents.end())
    for (const auto &[Id, Item] : State.Moves.Running)
      if (Item.Service == Self.Service)
        for (const ServiceReport &One : Reports)
          if (One.Service == Self.Service)
            moves::addOutcomes(workOn(Item, Accepted->second.Document).Tested,
                               One.Report, Now);
  Reports.clear();
}

void MoveOwner::Impl::drive(const config::ConfigState &State,
                            const moves::Move &Item, const Member &Self,
                            bool First) {
  const auto Accepted = State.Documents.find(Item.Service);
  if (Accepted == State.Documents.end())
    return;
  const ServiceDocument &Document = Accepted->second.Document;
  OwnedMove &Work = workOn(Item, Document);
  const auto Share =
      moves::trafficSplitOf(State.Moves, Document, Item.Plan.Group);
  moves::Verdict Tested =
      moves::evaluateCanary(Work.Tested, Item, Share, Ports.SteadyNow());
  if (Tested.FoundBad)
    brake(Work, Item);
  // A former owner saw it as bad and did not live to write the end.
  else if (hasStopRumour(Book, Item.Id))
    Tested.FoundBad = true;
  moves::OwnerState Owner;
  Owner.Self = writerOf(Self.Id);
  Owner.FirstCandidate = First;
  Owner.Claim = Claims.Confirmed;
  Owner.SteadyNow = Ports.SteadyNow();
  const moves::MoveDecision Next =
      moves::decideMove(Item, Tested, State.Moves, Owner, Ports.WallNow());
  if (isRecord(Next.Action))
    append(Work, Item, Self, Next);
}

void MoveOwner::Impl::brake(OwnedMove &Work, const moves::Move &Item) {
  const SteadyTime Now = Ports.SteadyNow();
  if (addStopRumour(Book, Item.Id))
    BOOST_LOG_TRIVIAL(warning)
        << "moveowner: the new version of " << Item.Id << " is worse";
  else if (elapsed(Work.BrakedAt, Now) < BrakeRepeat)
    return;
  Work.BrakedAt = Now;
  Ports.Peers->Broadcast("brake", encodeStopNotice(Item.Id));
}

void MoveOwner::Impl::append(OwnedMove &Work, const moves::Move &Item,
                             const Member &Self,
                             const moves::MoveDecision &Next) {
  const SteadyTime Now = Ports.SteadyNow();
  const bool Renews = Next.Action == moves::MoveAction::Renew;
  if (!Renews && isRepeat(Work.Last, Item, Next.Action, Now))
    return;
  const bool NeedsLease =
      !Renews && !moves::pastDeadline(Item, Ports.WallNow());
  const RecordBody Body = bodyOf(Item, Next, writerOf(Self.Id));
  auto Pending = Claims;
  if (Renews && !moves::beginClaim(Pending, Next.Generation, Now))
    return;
  const bool Started = Ports.PostToLog(
      [Me = shared_from_this(), Body, Self, NeedsLease,
       Claim = Claims.Confirmed] { Me->write(Body, Self, NeedsLease, Claim); });
  // The log still works on an earlier record; the next tick decides anew.
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
      (!Claim || !moves::leaseAllowsAppend(*Claim, Ports.SteadyNow())))
    return;
  const Record Item{nextHeader(Self), Body};
  try {
    Ports.Log->Append(StreamName("control"), Ports.Encode(Item));
    noteLog(false, "");
  } catch (const streamlog::LogUnavailable &Error) {
    noteLog(true, Error.what());
  }
}

RecordHeader MoveOwner::Impl::nextHeader(const Member &Self) {
  RecordHeader Result;
  Result.Writer = writerOf(Self.Id);
  Result.IncarnationNumber = IncarnationNumber;
  Result.WrittenAt = Ports.WallNow();
  const std::lock_guard<std::mutex> Guard(LogLock);
  // Starts from the time, so that a node that restarts with the same
  // incarnation does not repeat its earlier sequences.
  LastSequence =
      std::max(LastSequence.next(), Sequence(Result.WrittenAt.value()));
  Result.Number = LastSequence;
  return Result;
}

void MoveOwner::Impl::noteLog(bool Failed, const std::string &Problem) {
  const std::lock_guard<std::mutex> Guard(LogLock);
  if (Failed && !LogFailed)
    BOOST_LOG_TRIVIAL(warning) << "moveowner: no append: " << Problem;
  if (!Failed && LogFailed)
    BOOST_LOG_TRIVIAL(info) << "moveowner: the log answers again";
  LogFailed = Failed;
}

OwnedMove &MoveOwner::Impl::workOn(const moves::Move &Item,
                                   const ServiceDocument &Document) {
  const auto Found = Owned.find(Item.Id);
  if (Found != Owned.end())
    return Found->second;
  OwnedMove &Added = Owned[Item.Id];
  Added.Tested = moves::makeCanaryAnalysis(Item, Document);
  return Added;
}

void MoveOwner::Impl::dropEnded(const config::ConfigState &State) {
  for (auto It = Owned.begin(); It != Owned.end();)
    It = State.Moves.Running.count(It->first) == 0 ? Owned.erase(It)
                                                   : std::next(It);
}

MoveOwner::MoveOwner(MoveOwnerDependencies Ports)
    : Impl_(std::make_shared<Impl>(std::move(Ports))) {}

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
  addStopRumour(Impl_->Book, Id);
}

} // namespace lycheethread::moveowner
