#define BOOST_TEST_MODULE Records
#include "records/Records.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::records;

namespace {

Record recordOf(RecordBody Body) {
  return {{NodeId("node-1"), Incarnation(7), Sequence(9), WallTime(1234567)},
          std::move(Body)};
}

std::vector<Record> oneOfEach() {
  return {
      recordOf(PublishRecord{ServiceName("desk"), Revision(3), "[service]\n"}),
      recordOf(LeaseRecord{LeaseSubject("moves/desk"), NodeId("node-2"),
                           Epoch(4), Milliseconds(10000)}),
      recordOf(MoveStepRecord{MoveId("desk/main/3"), Epoch(4), Permille(50),
                              "requests 12"}),
      recordOf(MoveEndRecord{MoveId("desk/main/3"), Epoch(4),
                             MoveOutcome::Finished, "done", "all"}),
      recordOf(CheckpointNotice{Offset(500), Offset(12), 2, "ab12"})};
}

} // namespace

// Guards against fields that are lost or swapped by encoding and decoding.
BOOST_AUTO_TEST_CASE(EveryBodySurvivesTheRoundTrip) {
  for (const Record &Item : oneOfEach()) {
    const std::string Data = encodeRecord(Item);
    const Record Read = decodeRecord(Data);
    BOOST_TEST(Read.Body.index() == Item.Body.index());
    BOOST_TEST(Read.Header.Writer == Item.Header.Writer);
    BOOST_TEST(Read.Header.WrittenAt == Item.Header.WrittenAt);
    BOOST_TEST(encodeRecord(Read) == Data);
  }
}

// Guards against truncated or padded data that is accepted as a record.
BOOST_AUTO_TEST_CASE(EveryTruncationAndTrailingByteIsRefused) {
  for (const Record &Item : oneOfEach()) {
    const std::string Data = encodeRecord(Item);
    for (std::size_t Length = 0; Length < Data.size(); ++Length)
      BOOST_CHECK_THROW(decodeRecord(Data.substr(0, Length)), BadRecord);
    BOOST_CHECK_THROW(decodeRecord(Data + '\0'), BadRecord);
  }
}

// Guards against a length field that makes a node allocate gigabytes. The data
// has a struct as field 1, whose field 1 is a string of 2^31 - 1 bytes.
BOOST_AUTO_TEST_CASE(HugeLengthsAreRefusedBeforeAllocation) {
  BOOST_CHECK_THROW(decodeRecord("\x1C\x18\xFF\xFF\xFF\xFF\x07"), BadRecord);
  BOOST_CHECK_THROW(decodeRecord(std::string(MaxRecordBytes + 1, 'a')),
                    BadRecord);
}

// Guards against records that are appended to the log although every reader
// refuses them.
BOOST_AUTO_TEST_CASE(OversizedTextsAreNotEncoded) {
  const std::string Long(MaxIniBytes + 1, 'a');
  const Record Item =
      recordOf(PublishRecord{ServiceName("desk"), Revision(0), Long});
  BOOST_CHECK_THROW(encodeRecord(Item), BadRecord);
  const std::string Fits(MaxIniBytes, 'a');
  const Record Largest =
      recordOf(PublishRecord{ServiceName("desk"), Revision(0), Fits});
  BOOST_TEST(encodeRecord(Largest).size() <= MaxRecordBytes);
  BOOST_CHECK_NO_THROW(decodeRecord(encodeRecord(Largest)));
}
