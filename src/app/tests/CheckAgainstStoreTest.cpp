#include "../../../tests/platform/StoreStandIn.h"
#include "CommandRun.h"
#include "app/internal/Commands.h"

#include <Poco/Base64Encoder.h>
#include <Poco/Net/ServerSocket.h>

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

using namespace lycheethread;
using namespace lycheethread::apptest;

namespace {

const std::string Examples = LYCHEETHREAD_SOURCE_DIR "/examples/check/";
const std::string InForce = Examples + "in-force.json";
const std::string Next = Examples + "next.json";

std::string textOf(const std::string &Path) {
  std::ifstream In(Path);
  return {std::istreambuf_iterator<char>(In), {}};
}

CommandResult check(const std::string &File, std::uint16_t StorePort,
                    const std::string &More = "--strict") {
  return run(app::runCheck, {"check", File, "--against-store",
                             "localhost:" + std::to_string(StorePort), More});
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

std::string page(const std::string &Key, const std::string &Value,
                 bool HasMore) {
  std::ostringstream Encoded;
  Poco::Base64Encoder Encoder(Encoded);
  Encoder.rdbuf()->setLineLength(0);
  Encoder << Value;
  Encoder.close();
  const std::string Body = R"({"items":[{"key":")" + Key + R"(","value":")" +
                           Encoded.str() + R"(","offset":1}],"has_more":)" +
                           (HasMore ? "true" : "false") + R"(,"end_offset":2})";
  return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Gives one answer on each connection, in order, and keeps the requests.
struct PagedStore {
  Poco::Net::ServerSocket Socket{
      Poco::Net::SocketAddress("127.0.0.1", Poco::UInt16(0))};
  std::vector<std::string> Requests;
  std::thread Thread;

  explicit PagedStore(std::vector<std::string> Answers)
      : Thread([this, Answers = std::move(Answers)] {
          for (const std::string &Answer : Answers) {
            Poco::Net::StreamSocket Caller = Socket.acceptConnection();
            std::string Head;
            char Byte = 0;
            while (Head.find("\r\n\r\n") == std::string::npos &&
                   Caller.receiveBytes(&Byte, 1) == 1)
              Head += Byte;
            Requests.push_back(Head.substr(0, Head.find("\r\n")));
            Caller.sendBytes(Answer.data(), static_cast<int>(Answer.size()));
          }
        }) {}
  ~PagedStore() {
    if (Thread.joinable())
      Thread.join();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(CheckAgainstStore)

// Guards against a store with more records than fit one answer that is taken
// for one without a configuration, and against requests that write.
BOOST_AUTO_TEST_CASE(furtherPagesAreReadUntilTheConfiguration) {
  PagedStore Store(
      {page("a", "x", true), page("config", textOf(InForce), true)});
  const CommandResult Found = check(Next, Store.Socket.address().port());
  Store.Thread.join();
  BOOST_TEST(Found.Code == app::ExitOk);
  BOOST_TEST(contains(Found.Out, "configuration: version: r41 -> r42\n"));
  const std::string First = "GET /log-newest?topic=keyed.op&part=0";
  BOOST_TEST((Store.Requests ==
              std::vector<std::string>{First + " HTTP/1.1",
                                       First + "&after=a HTTP/1.1"}));
}

// Guards against a comparison with another record than the newest op/config,
// and against a check that changes the store.
BOOST_AUTO_TEST_CASE(newestConfigurationOfTheStoreIsCompared) {
  platformtest::StoreStandIn Store;
  Store.put("keyed.op", "config", textOf(Next));
  Store.put("keyed.op", "config", textOf(InForce));
  Store.put("keyed.op", "evacuate/nuernberg", "1");
  Store.put("keyed.status", "config", textOf(Next));
  const CommandResult FromStore = check(Next, Store.port());
  const CommandResult FromFile =
      run(app::runCheck, {"check", Next, "--against", InForce, "--strict"});
  BOOST_TEST(FromStore.Code == app::ExitOk);
  BOOST_TEST(FromStore.Out == FromFile.Out);
  BOOST_TEST(contains(FromStore.Out, "configuration: version: r41 -> r42\n"));
  BOOST_TEST(FromStore.Err.empty());
  BOOST_TEST(Store.newest("keyed.op", "config") == textOf(InForce));
  const CommandResult Json = check(Next, Store.port(), "--json");
  BOOST_TEST(contains(Json.Out, "\"subject\":\"route job\""));
}

// Guards against a publication of a version that nodes would not take, and of
// one after which the configuration in force cannot be read.
BOOST_AUTO_TEST_CASE(mistakesAgainstTheStoreAreFound) {
  platformtest::StoreStandIn Store;
  Store.put("keyed.op", "config", textOf(Next));
  const CommandResult Older = check(InForce, Store.port());
  BOOST_TEST(Older.Code == app::ExitRefused);
  BOOST_TEST(contains(Older.Out, ":2: version: r41 is not above r42"));
  Store.put("keyed.op", "config", "{\"version\":7}");
  const CommandResult Unreadable = check(Next, Store.port());
  BOOST_TEST(Unreadable.Code == app::ExitRefused);
  BOOST_TEST(contains(Unreadable.Out, "op/config:1: "));
  BOOST_TEST(!contains(Unreadable.Out, "route job"));
}

// Guards against a pipeline that takes a store without an answer for one
// without differences.
BOOST_AUTO_TEST_CASE(storeWithoutAnAnswerHasItsOwnExitCode) {
  platformtest::StoreStandIn Store;
  const CommandResult Empty = check(Next, Store.port());
  BOOST_TEST(Empty.Code == app::ExitUnavailable);
  BOOST_TEST(contains(Empty.Err, "the store holds no configuration"));
  Store.put("keyed.op", "config", textOf(InForce));
  Store.setUnavailable(true);
  const CommandResult Outage = check(Next, Store.port());
  BOOST_TEST(Outage.Code == app::ExitUnavailable);
  BOOST_TEST(contains(Outage.Err, "HTTP status 503"));
  // The findings in the file come all the same.
  const CommandResult Found = check(Examples + "findings.json", Store.port());
  BOOST_TEST(Found.Code == app::ExitUnavailable);
  BOOST_TEST(contains(Found.Out, "is not a request type"));
  std::uint16_t Closed = 0;
  {
    const Poco::Net::ServerSocket Socket(
        Poco::Net::SocketAddress("127.0.0.1", Poco::UInt16(0)));
    Closed = Socket.address().port();
  }
  const CommandResult Refused = check(Next, Closed, "--json");
  BOOST_TEST(Refused.Code == app::ExitUnavailable);
  BOOST_TEST(contains(Refused.Err, "localhost:" + std::to_string(Closed)));
  BOOST_TEST(!contains(Refused.Out, "differences"));
}

// Guards against a store that accepts a connection and keeps the check waiting.
BOOST_AUTO_TEST_CASE(silentStoreIsGivenUp) {
  const Poco::Net::ServerSocket Silent(
      Poco::Net::SocketAddress("127.0.0.1", Poco::UInt16(0)));
  BOOST_TEST(check(Next, Silent.address().port()).Code == app::ExitUnavailable);
}

// Guards against an address that is taken for a store which does not answer.
BOOST_AUTO_TEST_CASE(wrongUsageOfTheStoreIsReported) {
  for (const std::vector<std::string> &More :
       std::vector<std::vector<std::string>>{
           {"--against-store", "localhost"},
           {"--against-store", ":70"},
           {"--against-store", "localhost:0"},
           {"--against-store", "localhost:65536"},
           {"--against-store", "localhost:x"},
           {"--against-store", "localhost:70", "--against", InForce},
           {"--against-store", "localhost:70", InForce}}) {
    std::vector<std::string> Arguments{"check", Next};
    Arguments.insert(Arguments.end(), More.begin(), More.end());
    const CommandResult Result = run(app::runCheck, Arguments);
    BOOST_TEST(Result.Code == app::ExitUsage);
    BOOST_TEST(contains(Result.Err, "check: "));
    BOOST_TEST(Result.Out.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
