#define BOOST_TEST_MODULE Robustness
#include "Mutator.h"
#include "config/Config.h"
#include "records/Records.h"

#include <Poco/SHA2Engine.h>
#include <boost/test/unit_test.hpp>
#include <checkpoint_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>

using namespace lycheethread;
using robustness::Mutator;

namespace {

constexpr std::uint64_t Seed = 20261204;

const std::string DeskDocument =
    "[service]\nname = desk\nteam = office\nbuilds_on = 0\n"
    "[limits]\nslots = 13\nqueue = 4\n"
    "[upstreams.main]\nversions = v1\n[upstreams.side]\nversions = v1\n"
    "[uses.own]\nservice = store\nupstreams = berths\n"
    "[resource.big]\nmax_body_bytes = 1000\n"
    "[route.tickets]\npath = /tickets\nclass = once-only\nupstreams = main\n"
    "timeout_ms = 2000 ; ms\nresource = big\n"
    "[route.views]\npath = /views\nclass = repeatable\nupstreams = side\n"
    "timeout_ms = 2000\n";

const std::string DocumentWithMove =
    "[service]\nname = store\nteam = office\nbuilds_on = 1\n"
    "[upstreams.berths]\nversions = v1, v2\n[move.berths]\nfrom = v1\n"
    "to = v2\nfinish_by = 2026-12-05T18:00:00Z\nsteps_percent = 1, 100\n";

const std::string DocumentWithoutMove =
    "[service]\nname = store\nteam = office\n"
    "builds_on = 0\n[upstreams.berths]\nversions = v1\n";

Record publishRecord(int Number, const std::string &Service, int BaseRevision,
                     const std::string &Text) {
  return {{NodeId("w" + std::to_string(Number)), Incarnation(1), Sequence(1),
           WallTime(1'796'472'000'000)},
          PublishRecord{ServiceName(Service), Revision(BaseRevision), Text}};
}

/// Returns a state with accepted and rejected documents, a move in progress and
/// a lease.
config::ConfigState validState() {
  const std::vector<Record> Items = {
      publishRecord(1, "store", 0, DocumentWithoutMove),
      publishRecord(2, "store", 1, DocumentWithMove),
      publishRecord(3, "desk", 0, DeskDocument),
      publishRecord(4, "desk", 0, DeskDocument),
      Record{{NodeId("owner"), Incarnation(1), Sequence(1),
              WallTime(1'796'472'001'000)},
             LeaseRecord{LeaseSubject("moves/store"), NodeId("owner"), Epoch(1),
                         Milliseconds(10'000)}}};
  config::ConfigState State;
  for (const Record &Item : Items)
    config::foldRecord(State, State.Position, Item);
  return State;
}

std::vector<std::string> validRecords() {
  const RecordHeader Header{NodeId("n"), Incarnation(3), Sequence(4),
                            WallTime(5)};
  const MoveId Id("desk/main/2");
  return {
      records::encodeRecord(publishRecord(1, "desk", 0, DeskDocument)),
      records::encodeRecord(
          {Header, LeaseRecord{LeaseSubject("moves/desk"), NodeId("n"),
                               Epoch(2), Milliseconds(10'000)}}),
      records::encodeRecord(
          {Header, MoveStepRecord{Id, Epoch(2), Permille(50), "counts"}}),
      records::encodeRecord(
          {Header, MoveEndRecord{Id, Epoch(2), MoveOutcome::Undone, "r", "e"}}),
      records::encodeRecord(
          {Header, CheckpointNotice{Offset(9), Offset(1), 2, "abc"}})};
}

/// Whether \p Data decodes to a record, which must then survive a round trip.
/// Only BadRecord is caught; any other exception fails the test.
bool isDecoded(const std::string &Data) {
  try {
    const Record Item = records::decodeRecord(Data);
    const std::string Copy = records::encodeRecord(Item);
    BOOST_TEST((records::encodeRecord(records::decodeRecord(Copy)) == Copy));
    return true;
  } catch (const records::BadRecord &) {
    return false;
  }
}

bool isReadable(const std::string &Text) {
  return readIni("finding", "; " + Text).Problems.empty();
}

/// Checks that an accepted document has no dangling references.
void checkReferences(const ServiceDocument &Read) {
  for (const auto &Item : Read.Routes) {
    BOOST_TEST(Read.Groups.count(Item.second.Group) == 1);
    BOOST_TEST(
        (!Item.second.Limit || Read.Resources.count(*Item.second.Limit) == 1));
    BOOST_TEST(Item.second.Timeout.count() > 0);
  }
  BOOST_TEST(isValidName(Read.Service.str()));
}

template <typename Struct> std::string encode(const Struct &Value) {
  using apache::thrift::transport::TMemoryBuffer;
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> Writer(Buffer);
  Value.write(&Writer);
  return Buffer->getBufferAsString();
}

/// Returns a checkpoint part with a valid digest over arbitrary bytes.
std::string partWithDigest(const std::string &State, Offset Position) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(State);
  config::gen::Part Part;
  Part.index = 0;
  Part.parts = 1;
  Part.position = Position.value();
  Part.digest = Poco::DigestEngine::digestToHex(Engine.digest());
  Part.data = State;
  return encode(Part);
}

/// Returns the encoded state that a checkpoint with one part contains.
std::string stateOfPart(const std::string &Part) {
  using apache::thrift::transport::TMemoryBuffer;
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  Buffer->write(reinterpret_cast<const std::uint8_t *>(Part.data()),
                static_cast<std::uint32_t>(Part.size()));
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> Reader(Buffer);
  config::gen::Part Read;
  Read.read(&Reader);
  return Read.data;
}

/// Whether the parts are restored to a state, which must then accept further
/// records.
bool isRestored(const std::vector<std::string> &Parts) {
  try {
    config::ConfigState State = config::restoreCheckpoint(Parts);
    const Offset At = State.Position;
    config::foldRecord(State, At, publishRecord(9, "desk", 1, DeskDocument));
    BOOST_TEST(State.Position == At.next());
    return true;
  } catch (const config::BadCheckpoint &) {
    return false;
  }
}

} // namespace

// Guards against record bytes that crash a node, or that decode to a record
// which cannot be encoded again.
BOOST_AUTO_TEST_CASE(MalformedRecordsAreRejected) {
  constexpr int InputCount = 20'000;
  Mutator Random(Seed);
  const std::vector<std::string> Intact = validRecords();
  int Accepted = 0;
  for (int I = 0; I < InputCount; ++I) {
    const std::string &Original = Intact[Random.nextBelow(Intact.size())];
    const bool UseRandomBytes = Random.nextBelow(4) == 0;
    Accepted += isDecoded(UseRandomBytes ? Random.randomBytes(300)
                                         : Random.mutate(Original));
  }
  BOOST_TEST_MESSAGE("decodeRecord: " << InputCount << " malformed inputs, "
                                      << Accepted << " decoded");
  BOOST_TEST(Accepted < InputCount);
}

// Guards against documents for which the parser throws, against findings that
// break the INI format, and against accepted documents with dangling
// references.
BOOST_AUTO_TEST_CASE(MalformedDocumentsYieldFindings) {
  constexpr int InputCount = 10'000;
  Mutator Random(Seed + 1);
  int Valid = 0;
  for (int I = 0; I < InputCount; ++I) {
    const bool UseRandomBytes = Random.nextBelow(8) == 0;
    const std::string &Original =
        Random.nextBelow(2) == 0 ? DeskDocument : DocumentWithMove;
    const std::string Text =
        UseRandomBytes ? Random.randomBytes(2000) : Random.mutate(Original);
    const ParsedDocument Parsed = parseDocument("d.ini", Text);
    for (const Finding &Item : Parsed.Problems)
      BOOST_TEST(isReadable(toString(Item)));
    if (Parsed.Problems.empty()) {
      ++Valid;
      checkReferences(Parsed.Document);
    }
  }
  BOOST_TEST_MESSAGE("parseDocument: " << InputCount << " malformed inputs, "
                                       << Valid << " valid");
  BOOST_TEST(Valid < InputCount);
}

// Guards against damaged parts that are restored to another state: only changes
// of bytes that are not part of the state may be accepted.
BOOST_AUTO_TEST_CASE(DamagedPartsAreRejected) {
  constexpr int InputCount = 5'000;
  Mutator Random(Seed + 2);
  const auto Intact = config::makeCheckpoint(validState());
  BOOST_REQUIRE(Intact.size() == 1);
  int Changed = 0;
  for (int I = 0; I < InputCount; ++I) {
    const std::string Part = Random.mutate(Intact[0]);
    if (!isRestored({Part}))
      continue;
    const auto Copy = config::makeCheckpoint(config::restoreCheckpoint({Part}));
    Changed += Copy != Intact;
  }
  BOOST_TEST_MESSAGE("restoreCheckpoint: " << InputCount << " damaged parts, "
                                           << Changed
                                           << " were restored differently");
  BOOST_TEST(Changed == 0);
}

// Guards against malformed states with a valid digest, as a faulty writer would
// produce: they are rejected, or later records can be folded into them.
BOOST_AUTO_TEST_CASE(MalformedStatesWithValidDigestAreHarmless) {
  constexpr int InputCount = 5'000;
  Mutator Random(Seed + 3);
  const config::ConfigState State = validState();
  const std::string Intact = stateOfPart(config::makeCheckpoint(State)[0]);
  BOOST_REQUIRE(isRestored({partWithDigest(Intact, State.Position)}));
  int Accepted = 0;
  for (int I = 0; I < InputCount; ++I) {
    const bool UseRandomBytes = Random.nextBelow(8) == 0;
    const std::string Bytes =
        UseRandomBytes ? Random.randomBytes(500) : Random.mutate(Intact);
    Accepted += isRestored({partWithDigest(Bytes, State.Position)});
  }
  BOOST_TEST_MESSAGE("restoreCheckpoint: " << InputCount
                                           << " malformed states, " << Accepted
                                           << " were restored");
  BOOST_TEST(Accepted < InputCount);
}
