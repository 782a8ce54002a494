#define BOOST_TEST_MODULE DocumentCommands
#include "CommandRun.h"
#include "LogServer.h"
#include "app/internal/Commands.h"
#include "app/internal/Publication.h"
#include "bootstrap/Bootstrap.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace lycheethread;
using namespace lycheethread::apptest;
using Clock = std::chrono::steady_clock;

namespace {

const std::string ValidDocument =
    "[service]\nname = desk\nteam = t\nbuilds_on = 0\n"
    "[upstreams.main]\nversions = v1\n";

struct Fixture {
  testlog::LogServer Server{"127.0.0.1:0", 1000};
  std::string Url = "http://127.0.0.1:" + std::to_string(Server.port());
  std::string File = "document-" + std::to_string(::getpid()) + ".ini";

  ~Fixture() { std::remove(File.c_str()); }

  void write(const std::string &Text) const { std::ofstream(File) << Text; }

  CommandResult publish(const std::string &Text) const {
    write(Text);
    return run(app::runPublish, {"publish", File, "--log", Url, "--timeout",
                                 "3", "--operator", "op"});
  }

  std::int64_t appends() { return Server.store().counts()["control"].Appends; }
};

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(DocumentCommands, Fixture)

// Guards against a check that stops at the first finding or the first file.
BOOST_AUTO_TEST_CASE(CheckReportsAllFindingsAndTheExitCode) {
  write(ValidDocument);
  BOOST_TEST(run(app::runCheck, {"check", File}).Code == app::ExitOk);
  write("[service]\nname = X\n[new]\n");
  const CommandResult Bad = run(app::runCheck, {"check", File, "missing.ini"});
  BOOST_TEST(Bad.Code == app::ExitRefused);
  BOOST_TEST(contains(Bad.Out, File + ":2: service.name: "));
  BOOST_TEST(contains(Bad.Out, File + ":3: new: unknown section"));
  BOOST_TEST(contains(Bad.Out, "missing.ini:0: "));
  const CommandResult Json = run(app::runCheck, {"check", "--json", File});
  BOOST_TEST(contains(Json.Out, "\"line\":2"));
  BOOST_TEST(run(app::runCheck, {"check"}).Code == app::ExitUsage);
  BOOST_TEST(run(app::runCheck, {"check", "--no"}).Code == app::ExitUsage);
}

// Guards against an operator not being told that another edit was accepted
// first.
BOOST_AUTO_TEST_CASE(SecondPublicationOfOneRevisionIsRefused) {
  const CommandResult First = publish(ValidDocument);
  BOOST_TEST(First.Code == app::ExitOk);
  BOOST_TEST(First.Out == "accepted: desk revision 1\n");
  const CommandResult Second = publish(ValidDocument);
  BOOST_TEST(Second.Code == app::ExitRefused);
  BOOST_TEST(contains(Second.Out, File + ":4: service.builds_on: "));
  BOOST_TEST(contains(Second.Out, "refused: desk stays at revision 1\n"));
}

// Guards against publishing a document that has findings.
BOOST_AUTO_TEST_CASE(InvalidDocumentIsNotPublished) {
  BOOST_TEST(publish(ValidDocument + "[limits]\nslots = 0\n").Code ==
             app::ExitRefused);
  BOOST_TEST(appends() == 0);
}

// Guards against reporting a failure, or publishing twice, when the response to
// the append is lost.
BOOST_AUTO_TEST_CASE(LostAppendResponseStillYieldsTheVerdict) {
  Server.store().loseAnswers(1);
  const CommandResult Result = publish(ValidDocument);
  BOOST_TEST(Result.Code == app::ExitOk);
  BOOST_TEST(Result.Out == "accepted: desk revision 1\n");
  BOOST_TEST(appends() == 1);
}

// Guards against not repeating an append that had no effect, and against
// repeating it under a new identity: the record is in the log twice and must be
// accepted once.
BOOST_AUTO_TEST_CASE(RepeatedRecordIsFoldedOnce) {
  streamlog::LogClient Log = streamlog::makeHttpLog(Url, Milliseconds(1000));
  const auto Real = Log.Append;
  int Calls = 0;
  Log.Append = [&](const StreamName &Name, const std::string &Data) {
    if (++Calls == 1)
      throw streamlog::LogUnavailable("not sent");
    Real(Name, Data);
    return Real(Name, Data);
  };
  const Record Item{
      {NodeId("w"), Incarnation(1), Sequence(1), WallTime(1000)},
      PublishRecord{ServiceName("desk"), Revision(0), ValidDocument}};
  const auto Result = app::publishRecord(
      Log, Item, Clock::now() + std::chrono::seconds(3), [](const auto &) {});
  BOOST_REQUIRE(Result.Verdict);
  BOOST_TEST(Result.Verdict->Accepted);
  BOOST_TEST(Calls == 2);
  const auto State = bootstrap::loadFromLog(Log, [](const auto &) {});
  BOOST_TEST(State.Position == Offset(2));
  BOOST_TEST(State.Documents.at(ServiceName("desk")).Accepted == Revision(1));
}

// Guards against reporting an outage as a refusal, and against reporting the
// result as unknown when nothing was sent.
BOOST_AUTO_TEST_CASE(OutageIsNotReportedAsRefusal) {
  Server.store().setOutage(true);
  const CommandResult Down = publish(ValidDocument);
  BOOST_TEST(Down.Code == app::ExitUnavailable);
  BOOST_TEST(contains(Down.Err, "nothing was published"));
  Server.store().setOutage(false);
  BOOST_TEST(appends() == 0);
}

// Guards against losing the verdict when the stream has been trimmed, so that
// the state must be loaded from a checkpoint.
BOOST_AUTO_TEST_CASE(PublishesToATrimmedStream) {
  BOOST_TEST(publish(ValidDocument).Code == app::ExitOk);
  const auto Log = streamlog::makeHttpLog(Url, Milliseconds(1000));
  const auto Quiet = [](const std::string &) {};
  bootstrap::storeCheckpoint(Log, bootstrap::loadFromLog(Log, Quiet));
  Server.store().trim("control", 1);
  std::string Next = ValidDocument;
  Next.replace(Next.find("builds_on = 0"), 13, "builds_on = 1");
  BOOST_TEST(publish(Next).Out == "accepted: desk revision 2\n");
}

// Guards against concurrent publications of which several, or none, are
// reported as accepted.
BOOST_AUTO_TEST_CASE(ExactlyOneOfManyConcurrentPublicationsIsAccepted) {
  std::atomic<int> Accepted{0};
  std::atomic<int> Refused{0};
  std::vector<std::thread> Operators;
  for (int I = 0; I < 8; ++I)
    Operators.emplace_back([&, I] {
      const auto Log = streamlog::makeHttpLog(Url, Milliseconds(2000));
      const Record Item{
          {NodeId("w" + std::to_string(I)), Incarnation(1), Sequence(1),
           WallTime(1000 + I)},
          PublishRecord{ServiceName("desk"), Revision(0), ValidDocument}};
      const auto Result =
          app::publishRecord(Log, Item, Clock::now() + std::chrono::seconds(10),
                             [](const auto &) {});
      if (Result.Verdict)
        ++(Result.Verdict->Accepted ? Accepted : Refused);
    });
  for (std::thread &Operator : Operators)
    Operator.join();
  BOOST_TEST(Accepted == 1);
  BOOST_TEST(Refused == 7);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an operator waiting for a move that never starts, because its
// plan equals that of an ended move, or because the id is mistyped.
BOOST_FIXTURE_TEST_CASE(PublicationReportsWhetherItsMoveIsRunning, Fixture) {
  const std::string Plan = ", v2\n[move.main]\nfrom = v1\nto = v2\n"
                           "finish_by = 2099-01-01T00:00:00Z\n";
  const std::string First =
      ValidDocument.substr(0, ValidDocument.size() - 1) + Plan;
  BOOST_TEST(publish(First).Out == "accepted: desk revision 1\n"
                                   "move desk/main/1 is running from v1 to "
                                   "v2\n");
  const auto WithBuildsOn = [](const std::string &Text,
                               const char *BaseRevision) {
    return std::string(Text).replace(Text.find("builds_on = 0"), 13,
                                     std::string("builds_on = ") +
                                         BaseRevision);
  };
  BOOST_TEST(publish(WithBuildsOn(ValidDocument, "1")).Out ==
             "accepted: desk revision 2\n");
  BOOST_TEST(
      contains(publish(WithBuildsOn(First, "2")).Out,
               "no move of group main is running: this plan has ended before"));
  const CommandResult Wrong =
      run(app::runMoves, {"moves", "--log", Url, "--wait", "desk/main/9"});
  BOOST_TEST(Wrong.Code == app::ExitUnavailable);
  BOOST_TEST(contains(Wrong.Err, "there is no move \"desk/main/9\""));
}
