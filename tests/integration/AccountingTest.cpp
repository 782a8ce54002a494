#define BOOST_TEST_MODULE Accounting
#include "Zinnwerk.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeParser.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Timestamp.h>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <map>
#include <set>
#include <thread>

using namespace lycheethread::harness;
using namespace lycheethread::integration;

namespace {

using Poco::JSON::Object;

/// What a caller was told, as in the report.
struct Told {
  std::string Reason;
  std::string Executed;

  friend bool operator<(const Told &L, const Told &R) {
    return std::tie(L.Reason, L.Executed) < std::tie(R.Reason, R.Executed);
  }
};

using Tally = std::map<Told, std::int64_t>;

/// Refusals seen by the one caller that uses one node.
struct Caller {
  NodeProcess *Entry = nullptr;
  Tally Seen;
  std::set<std::string> Ids;
  /// Wall clock at each refusal, in ms since the epoch.
  std::vector<std::int64_t> Times;
  /// Requests without an answer; the node may have counted them.
  std::int64_t Lost = 0;
};

HttpCall requestNumber(const Caller &By, int Number) {
  HttpCall Call =
      callTo(*By.Entry, "commission-catalogue", "GET", "/catalogue");
  Call.Headers["lt-caller"] = "caller-of-" + By.Entry->Spec.Id;
  if (Number % 4 == 0)
    Call.Path = "/unknown";
  else if (Number % 4 == 1)
    Call.Headers["Host"] = "nobody";
  else if (Number % 4 == 2) {
    Call.Method = "POST";
    Call.Path = "/commissions";
    Call.Headers["idempotency-key"] =
        By.Entry->Spec.Id + "-" + std::to_string(Number);
  }
  return Call;
}

void runCaller(Caller &By, const std::atomic<bool> &Stopped) {
  for (int Number = 0; !Stopped; ++Number) {
    const HttpAnswer Answer = send(requestNumber(By, Number));
    if (Answer.Status == 0)
      ++By.Lost;
    if (const std::string Id = Answer.header("lt-refusal-id"); !Id.empty()) {
      ++By.Seen[{Answer.header("lt-reason"), Answer.header("lt-executed")}];
      By.Ids.insert(Id);
      By.Times.push_back(Poco::Timestamp().epochMicroseconds() / 1000);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

std::int64_t sumOf(const Tally &Counts) {
  std::int64_t Sum = 0;
  for (const auto &Entry : Counts)
    Sum += Entry.second;
  return Sum;
}

Tally reported(const Object::Ptr &Report, const std::string &Caller) {
  Tally Counts;
  const Poco::JSON::Array::Ptr Rows = Report->getArray("refusals");
  for (unsigned I = 0; I < Rows->size(); ++I) {
    const Object::Ptr Row = Rows->getObject(I);
    if (Row->getValue<std::string>("caller") == Caller)
      Counts[{Row->getValue<std::string>("reason"),
              Row->getValue<std::string>("executed")}] +=
          Row->getValue<std::int64_t>("count");
  }
  return Counts;
}

std::int64_t timeOf(const std::string &Text) {
  int ZoneOffset = 0;
  return Poco::DateTimeParser::parse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT,
                                     Text, ZoneOffset)
             .timestamp()
             .epochMicroseconds() /
         1000;
}

/// Refusals that the caller got outside every gap of its node. An answer is
/// on its way for up to AnswerTimeMs after the node counted it.
std::int64_t seenOutsideGaps(const Caller &By, const Object::Ptr &Report) {
  constexpr std::int64_t AnswerTimeMs = 100;
  std::int64_t Outside = 0;
  for (const std::int64_t Time : By.Times) {
    bool Inside = false;
    const Poco::JSON::Array::Ptr Gaps = Report->getArray("gaps");
    for (unsigned I = 0; I < Gaps->size(); ++I) {
      const Object::Ptr Gap = Gaps->getObject(I);
      if (Gap->getValue<std::string>("node") == By.Entry->Spec.Id)
        Inside =
            Inside ||
            (timeOf(Gap->getValue<std::string>("from")) <= Time &&
             Time <= timeOf(Gap->getValue<std::string>("to")) + AnswerTimeMs);
    }
    Outside += Inside ? 0 : 1;
  }
  return Outside;
}

int gapsOf(const Object::Ptr &Report, const std::string &Node) {
  int Count = 0;
  const Poco::JSON::Array::Ptr Gaps = Report->getArray("gaps");
  for (unsigned I = 0; I < Gaps->size(); ++I)
    if (Gaps->getObject(I)->getValue<std::string>("node") == Node)
      ++Count;
  return Count;
}

Object::Ptr reportOf(Zinnwerk &Tested) {
  const Mesh::Run Result =
      Tested.Mesh.run({"refusals", "--log", Tested.Log->url(), "--json"});
  BOOST_TEST_REQUIRE(Result.ExitCode == 0, Result.Output);
  return Poco::JSON::Parser().parse(Result.Output).extract<Object::Ptr>();
}

/// A kill, a restart and an outage of the log, while callers go on.
void injectFaults(Zinnwerk &Tested) {
  const auto Wait = [](int Seconds) {
    std::this_thread::sleep_for(std::chrono::seconds(Seconds));
  };
  Wait(5);
  Tested.Ingolstadt->Process->kill();
  Wait(2);
  Tested.Mesh.restart(*Tested.Ingolstadt);
  BOOST_TEST(Mesh::waitReady(*Tested.Ingolstadt, std::chrono::seconds(20)));
  Wait(3);
  Tested.LogFault->rule(R"("mode":"reset")");
  Wait(8);
  Tested.LogFault->rule("");
  Wait(5);
}

} // namespace

// Guards against refusals that a caller got and the report does not have, or
// has twice, and against a killed node whose lost refusals are not stated as a
// gap.
BOOST_AUTO_TEST_CASE(ReportEqualsWhatCallersWereTold) {
  Zinnwerk Tested("accounting");
  std::vector<Caller> Callers;
  for (NodeProcess *Each : Tested.Nodes)
    Callers.push_back({Each, {}, {}, {}, 0});
  std::atomic<bool> Stopped{false};
  std::vector<std::thread> Threads;
  for (Caller &Each : Callers)
    Threads.emplace_back([&Each, &Stopped] { runCaller(Each, Stopped); });
  injectFaults(Tested);
  Stopped = true;
  for (std::thread &Each : Threads)
    Each.join();
  for (NodeProcess *Each : Tested.Nodes)
    Each->Process->terminate();
  for (NodeProcess *Each : Tested.Nodes)
    BOOST_TEST(Each->Process->waitFor(std::chrono::seconds(30)).value_or(-1) ==
               0);

  const Object::Ptr Report = reportOf(Tested);
  std::int64_t All = 0;
  for (const Caller &Each : Callers) {
    const std::string Id = Each.Entry->Spec.Id;
    const Tally Counted = reported(Report, "caller-of-" + Id);
    const std::int64_t Seen = sumOf(Each.Seen);
    All += sumOf(Counted);
    BOOST_TEST_MESSAGE(Id << ": seen " << Seen << ", reported "
                          << sumOf(Counted) << ", unanswered " << Each.Lost
                          << ", gaps " << gapsOf(Report, Id));
    BOOST_TEST_CONTEXT("node " << Id) {
      BOOST_TEST(Seen > 100);
      BOOST_TEST(static_cast<std::int64_t>(Each.Ids.size()) == Seen);
      BOOST_TEST(sumOf(Counted) <= Seen + Each.Lost);
      if (Each.Entry == Tested.Ingolstadt) {
        BOOST_TEST(gapsOf(Report, Id) == 1);
        BOOST_TEST(sumOf(Counted) >= seenOutsideGaps(Each, Report));
        BOOST_TEST(seenOutsideGaps(Each, Report) > 100);
        continue;
      }
      BOOST_TEST(gapsOf(Report, Id) == 0);
      for (const auto &[What, Count] : Each.Seen)
        BOOST_TEST(Counted.count(What) == 1U);
      for (const auto &[What, Count] : Counted)
        BOOST_TEST(Count ==
                       (Each.Seen.count(What) != 0 ? Each.Seen.at(What) : 0),
                   What.Reason << " " << What.Executed);
    }
  }
  BOOST_TEST(Report->getValue<std::int64_t>("total") == All);
}
