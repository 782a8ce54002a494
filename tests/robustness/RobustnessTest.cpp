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

const std::string Document =
    "[service]\nname = desk\nteam = office\nbuilds_on = 0\n"
    "[limits]\nslots = 13\nqueue = 4\n"
    "[upstreams.main]\nversions = v1\n[upstreams.side]\nversions = v1\n"
    "[uses.own]\nservice = store\nupstreams = berths\n"
    "[resource.big]\nmax_body_bytes = 1000\n"
    "[route.tickets]\npath = /tickets\nclass = once-only\nupstreams = main\n"
    "timeout_ms = 2000 ; ms\nresource = big\n"
    "[route.views]\npath = /views\nclass = repeatable\nupstreams = side\n"
    "timeout_ms = 2000\n";

const std::string Moving =
    "[service]\nname = store\nteam = office\nbuilds_on = 1\n"
    "[upstreams.berths]\nversions = v1, v2\n[move.berths]\nfrom = v1\n"
    "to = v2\nfinish_by = 2026-12-05T18:00:00Z\nsteps_percent = 1, 100\n";

const std::string Still = "[service]\nname = store\nteam = office\n"
                          "builds_on = 0\n[upstreams.berths]\nversions = v1\n";

Record published(int Number, const std::string &Service, int BaseRevision,
                 const std::string &Text) {
  return {{NodeId("w" + std::to_string(Number)), Incarnation(1), Sequence(1),
           WallTime(1'796'472'000'000)},
          PublishRecord{ServiceName(Service), Revision(BaseRevision), Text}};
}

/// Accepted and refused documents, a running move and a lease.
config::ConfigState goodState() {
  const std::vector<Record> Items = {
      published(1, "store", 0, Still), published(2, "store", 1, Moving),
      published(3, "desk", 0, Document), published(4, "desk", 0, Document),
      Record{{NodeId("owner"), Incarnation(1), Sequence(1),
              WallTime(1'796'472'001'000)},
             LeaseRecord{LeaseSubject("moves/store"), NodeId("owner"), Epoch(1),
                         Milliseconds(10'000)}}};
  config::ConfigState State;
  for (const Record &Item : Items)
    config::foldRecord(State, State.Position, Item);
  return State;
}

std::vector<std::string> goodRecords() {
  const RecordHeader Header{NodeId("n"), Incarnation(3), Sequence(4),
                            WallTime(5)};
  const MoveId Id("desk/main/2");
  return {
      records::encodeRecord(published(1, "desk", 0, Document)),
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

/// Whether \p Data was taken for a record, which must then survive a round
/// trip; anything but BadRecord goes on to the test.
bool decodes(const std::string &Data) {
  try {
    const Record Item = records::decodeRecord(Data);
    const std::string Again = records::encodeRecord(Item);
    BOOST_TEST((records::encodeRecord(records::decodeRecord(Again)) == Again));
    return true;
  } catch (const records::BadRecord &) {
    return false;
  }
}

bool isReadable(const std::string &Text) {
  return readIni("finding", "; " + Text).Problems.empty();
}

/// A document without problems refers only to what it has.
void checkAccepted(const ServiceDocument &Read) {
  for (const auto &Item : Read.Routes) {
    BOOST_TEST(Read.Groups.count(Item.second.Group) == 1);
    BOOST_TEST(
        (!Item.second.Limit || Read.Resources.count(*Item.second.Limit) == 1));
    BOOST_TEST(Item.second.Timeout.count() > 0);
  }
  BOOST_TEST(isValidName(Read.Service.str()));
}

template <typename Struct> std::string encode(const Struct &From) {
  using apache::thrift::transport::TMemoryBuffer;
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> Writer(Buffer);
  From.write(&Writer);
  return Buffer->getBufferAsString();
}

/// A single part with a right digest over any bytes.
std::string sealed(const std::string &State, Offset Position) {
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

/// The bytes of the state inside of a checkpoint with one part.
std::string stateBytes(const std::string &Part) {
  using apache::thrift::transport::TMemoryBuffer;
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  Buffer->write(reinterpret_cast<const std::uint8_t *>(Part.data()),
                static_cast<std::uint32_t>(Part.size()));
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> Reader(Buffer);
  config::gen::Part Read;
  Read.read(&Reader);
  return Read.data;
}

/// Whether the parts were taken for a state, which must then fold on.
bool restores(const std::vector<std::string> &Parts) {
  try {
    config::ConfigState State = config::restoreCheckpoint(Parts);
    const Offset At = State.Position;
    config::foldRecord(State, At, published(9, "desk", 1, Document));
    BOOST_TEST(State.Position == At.next());
    return true;
  } catch (const config::BadCheckpoint &) {
    return false;
  }
}

} // namespace

// Guards against record bytes that crash a node or decode to something that
// cannot be written again.
BOOST_AUTO_TEST_CASE(BadRecordsAreRefused) {
  constexpr int Inputs = 20'000;
  Mutator Random(Seed);
  const std::vector<std::string> Good = goodRecords();
  int Taken = 0;
  for (int I = 0; I < Inputs; ++I) {
    const std::string &From = Good[Random.below(Good.size())];
    const bool Noise = Random.below(4) == 0;
    Taken += decodes(Noise ? Random.randomBytes(300) : Random.mutated(From));
  }
  BOOST_TEST_MESSAGE("decodeRecord: " << Inputs << " bad inputs, " << Taken
                                      << " still decode");
  BOOST_TEST(Taken < Inputs);
}

// Guards against documents that throw out of the parser, against unreadable
// findings and against accepted documents with dangling references.
BOOST_AUTO_TEST_CASE(BadDocumentsBecomeFindings) {
  constexpr int Inputs = 10'000;
  Mutator Random(Seed + 1);
  int Valid = 0;
  for (int I = 0; I < Inputs; ++I) {
    const bool Noise = Random.below(8) == 0;
    const std::string &From = Random.below(2) == 0 ? Document : Moving;
    const std::string Text =
        Noise ? Random.randomBytes(2000) : Random.mutated(From);
    const ParsedDocument Parsed = parseDocument("d.ini", Text);
    for (const Finding &Item : Parsed.Problems)
      BOOST_TEST(isReadable(toString(Item)));
    if (Parsed.Problems.empty()) {
      ++Valid;
      checkAccepted(Parsed.Document);
    }
  }
  BOOST_TEST_MESSAGE("parseDocument: " << Inputs << " bad inputs, " << Valid
                                       << " are still valid");
  BOOST_TEST(Valid < Inputs);
}

// Guards against damaged parts that are restored: no change of the bytes of a
// part may pass unnoticed, except in what is not part of the state.
BOOST_AUTO_TEST_CASE(DamagedPartsAreRefused) {
  constexpr int Inputs = 5'000;
  Mutator Random(Seed + 2);
  const auto Good = config::makeCheckpoint(goodState());
  BOOST_REQUIRE(Good.size() == 1);
  int Changed = 0;
  for (int I = 0; I < Inputs; ++I) {
    const std::string Part = Random.mutated(Good[0]);
    if (!restores({Part}))
      continue;
    const auto Again =
        config::makeCheckpoint(config::restoreCheckpoint({Part}));
    Changed += Again != Good;
  }
  BOOST_TEST_MESSAGE("restoreCheckpoint: " << Inputs << " damaged parts, "
                                           << Changed
                                           << " were restored differently");
  BOOST_TEST(Changed == 0);
}

// Guards against states whose digest is right but whose content is not, as a
// faulty writer would make them: they are refused, or fold on without harm.
BOOST_AUTO_TEST_CASE(MalformedStatesWithTheRightDigestDoNoHarm) {
  constexpr int Inputs = 5'000;
  Mutator Random(Seed + 3);
  const config::ConfigState State = goodState();
  const std::string Good = stateBytes(config::makeCheckpoint(State)[0]);
  BOOST_REQUIRE(restores({sealed(Good, State.Position)}));
  int Taken = 0;
  for (int I = 0; I < Inputs; ++I) {
    const bool Noise = Random.below(8) == 0;
    const std::string Bytes =
        Noise ? Random.randomBytes(500) : Random.mutated(Good);
    Taken += restores({sealed(Bytes, State.Position)});
  }
  BOOST_TEST_MESSAGE("restoreCheckpoint: " << Inputs << " malformed states, "
                                           << Taken << " were restored");
  BOOST_TEST(Taken < Inputs);
}
