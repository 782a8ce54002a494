#define BOOST_TEST_MODULE Bootstrap
#include "bootstrap/Bootstrap.h"
#include "records/Records.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace lycheethread;
using namespace lycheethread::bootstrap;
using streamlog::LogBatch;
using streamlog::LogTrimmed;
using streamlog::StreamBounds;

namespace {

struct FakeStream {
  std::int64_t First = 0;
  std::vector<std::string> All;

  StreamBounds bounds() const {
    return {Offset(First), Offset(std::int64_t(All.size()))};
  }
};

/// In-memory log that returns few records per read.
struct Fixture {
  std::map<StreamName, FakeStream> Streams;
  streamlog::LogClient Log;
  int Warnings = 0;
  Notice Report = [this](const std::string &) { ++Warnings; };

  Fixture() {
    Log.Append = [this](const StreamName &Name, const std::string &Data) {
      Streams[Name].All.push_back(Data);
      return Offset(std::int64_t(Streams[Name].All.size()) - 1);
    };
    Log.Bounds = [this](const StreamName &Name) {
      return Streams[Name].bounds();
    };
    Log.Read = [this](const StreamName &Name, Offset From, std::size_t Max,
                      Milliseconds) {
      return read(Streams[Name], From, std::min<std::size_t>(Max, 3));
    };
  }

  static LogBatch read(const FakeStream &Stream, Offset From, std::size_t Max) {
    if (From < Offset(Stream.First))
      throw LogTrimmed("trimmed", Stream.bounds());
    LogBatch Batch{Stream.bounds(), {}};
    for (Offset At = From; At < Batch.Bounds.Next && Batch.Records.size() < Max;
         At = At.next())
      Batch.Records.push_back({At, Stream.All[std::size_t(At.value())]});
    return Batch;
  }

  void publish(int Number) {
    const std::string Name = "s" + std::to_string(Number);
    const Record Item{{NodeId("w" + Name), Incarnation(1), Sequence(1),
                       WallTime(1000 + Number)},
                      PublishRecord{ServiceName(Name), Revision(0),
                                    "[service]\nname = " + Name +
                                        "\nteam = t\nbuilds_on = 0\n; " +
                                        std::string(100'000, 'x')}};
    Log.Append(controlStream(), records::encodeRecord(Item));
  }

  void publishUpTo(int Last) {
    for (int I = int(Streams[controlStream()].All.size()); I <= Last; ++I)
      publish(I);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Bootstrap, Fixture)

// Guards against a record that cannot be decoded and blocks every reader.
BOOST_AUTO_TEST_CASE(UndecodableRecordsAreSkipped) {
  publishUpTo(3);
  Log.Append(controlStream(), "nonsense");
  publishUpTo(9);
  const config::ConfigState State = loadFromLog(Log, Report);
  BOOST_TEST(State.Position == Offset(10));
  BOOST_TEST(State.Documents.size() == 9);
  BOOST_TEST(Warnings == 1);
}

// Guards against a start from a partial state after the log was trimmed. Only
// the newest complete checkpoint may be used, no incomplete or damaged one.
BOOST_AUTO_TEST_CASE(TrimmedStreamIsLoadedFromTheNewestCompleteCheckpoint) {
  publishUpTo(5);
  const auto Older = loadFromLog(Log, Report);
  const CheckpointNotice Stored = storeCheckpoint(Log, Older);
  BOOST_TEST(Stored.Parts > 1);
  publishUpTo(8);
  const auto Newer = loadFromLog(Log, Report);
  storeCheckpoint(Log, Newer);
  FakeStream &Parts = Streams[checkpointStream()];
  Parts.All.pop_back();
  Log.Append(checkpointStream(), "nonsense");
  publishUpTo(12);
  const auto Expected = config::makeCheckpoint(loadFromLog(Log, Report));
  Streams[controlStream()].First = 5;
  BOOST_TEST((config::makeCheckpoint(loadFromLog(Log, Report)) == Expected));
  Parts.All[1][5000] ^= 1;
  BOOST_CHECK_THROW(loadFromLog(Log, Report), NoCheckpoint);
}

// Guards against skipped records: a checkpoint below the first record that the
// log still keeps leaves a gap.
BOOST_AUTO_TEST_CASE(CheckpointBelowTheKeptRecordsIsNotUsed) {
  publishUpTo(3);
  storeCheckpoint(Log, loadFromLog(Log, Report));
  publishUpTo(9);
  Streams[controlStream()].First = 5;
  BOOST_CHECK_THROW(loadFromLog(Log, Report), NoCheckpoint);
  Streams[controlStream()].First = 4;
  BOOST_TEST(loadFromLog(Log, Report).Documents.size() == 10);
}

// Guards against a return to an older state after the log lost records.
BOOST_AUTO_TEST_CASE(StateAheadOfTheLogIsAnError) {
  publishUpTo(3);
  config::ConfigState State = loadFromLog(Log, Report);
  Streams[controlStream()].All.pop_back();
  BOOST_CHECK_THROW(foldToHead(State, Log, Report), streamlog::LogUnavailable);
  BOOST_TEST(State.Documents.size() == 4);
}

BOOST_AUTO_TEST_SUITE_END()
