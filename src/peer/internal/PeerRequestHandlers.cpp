#include "peer/internal/PeerRequestHandlers.h"

#include "peer/internal/Clock.h"
#include "peer/internal/Wire.h"

#include <algorithm>

namespace lycheethread::peer {

namespace {

/// Releases a snapshot slot on destruction.
class SlotGuard {
public:
  explicit SlotGuard(PeerContext &Context) : Context_(Context) {}
  SlotGuard(const SlotGuard &) = delete;
  SlotGuard &operator=(const SlotGuard &) = delete;
  ~SlotGuard() {
    const std::lock_guard<std::mutex> Guard(Context_.Lock);
    --Context_.Snapshots.Serving;
  }

private:
  PeerContext &Context_;
};

wire::FetchReply answerFetch(PeerContext &Context, Offset From,
                             std::size_t MaxRecords) {
  Offset InForce;
  {
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    InForce = Context.Feed.Position;
  }
  wire::FetchReply Reply;
  Reply.position = InForce.value();
  const RecordBuffer::Part Part =
      Context.Records.read(From, InForce, MaxRecords);
  Reply.tooOld = Part.TooOld;
  Reply.records = toWire(Part.Records);
  return Reply;
}

wire::SnapshotReply answerSnapshot(PeerContext &Context, bool WithState,
                                   bool WithMembers) {
  wire::SnapshotReply Reply;
  std::vector<membership::Update> Members;
  {
    const std::lock_guard<std::mutex> Guard(Context.Lock);
    const distribution::SnapshotAdmission Admission =
        distribution::admitSnapshot(Context.Snapshots, Context.Feed.Seed);
    if (!Admission.Admitted) {
      Reply.busy = true;
      Reply.retryAfterMs =
          static_cast<std::int32_t>(Admission.RetryAfter.count());
      return Reply;
    }
    Reply.serving = Context.Feed.Serving;
    Reply.named =
        std::max(Context.Feed.HighestKnown, Context.Feed.Stored).value();
    if (WithMembers)
      Members = membership::allUpdates(Context.Table);
  }
  const SlotGuard Slot(Context);
  for (const membership::Update &Item : Members)
    Reply.members.push_back(toWire(Item));
  const auto State = Context.Config->load();
  Reply.position = State->Position.value();
  if (WithState && Reply.serving)
    Reply.parts = Context.Options.Operations.MakeCheckpoint(*State);
  return Reply;
}

Offset answerAcknowledge(PeerContext &Context,
                         const std::vector<wire::RawRecord> &Records) {
  const Offset Next = Context.Records.append(fromWire(Records));
  const std::lock_guard<std::mutex> Guard(Context.Lock);
  distribution::recordStoredPosition(Context.Feed, Next, steadyNow());
  return Next;
}

} // namespace

std::vector<wire::RawRecord>
toWire(const std::vector<streamlog::LogRecord> &Records) {
  std::vector<wire::RawRecord> Out;
  Out.reserve(Records.size());
  for (const streamlog::LogRecord &Item : Records) {
    wire::RawRecord Raw;
    Raw.offset = Item.At.value();
    Raw.data = Item.Data;
    Out.push_back(std::move(Raw));
  }
  return Out;
}

std::vector<streamlog::LogRecord>
fromWire(const std::vector<wire::RawRecord> &Records) {
  std::vector<streamlog::LogRecord> Out;
  Out.reserve(Records.size());
  for (const wire::RawRecord &Item : Records) {
    if (Item.offset < 0 ||
        (!Out.empty() && Item.offset != Out.back().At.value() + 1))
      throw BadMessage("records do not follow each other");
    Out.push_back({Offset(Item.offset), Item.data});
  }
  return Out;
}

ServerFunctions makeServerFunctions(PeerContext &Context) {
  ServerFunctions Functions;
  Functions.Fetch = [&Context](Offset From, std::size_t MaxRecords) {
    return answerFetch(Context, From, MaxRecords);
  };
  Functions.Snapshot = [&Context](bool WithState, bool WithMembers) {
    return answerSnapshot(Context, WithState, WithMembers);
  };
  Functions.Acknowledge =
      [&Context](const std::vector<wire::RawRecord> &Records) {
        return answerAcknowledge(Context, Records);
      };
  return Functions;
}

} // namespace lycheethread::peer
