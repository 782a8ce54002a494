#include "CommandRun.h"
#include "app/internal/Commands.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace lycheethread;
using namespace lycheethread::apptest;

namespace {

const std::string Examples = LYCHEETHREAD_SOURCE_DIR "/examples/check/";
const std::string InForce = Examples + "in-force.json";
const std::string Next = Examples + "next.json";
const std::string WithFindings = Examples + "findings.json";
const std::string Zones =
    "--zones=eichstaett=oberbayern,ingolstadt=oberbayern,fuerth=franken";

CommandResult check(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(), "check");
  return run(app::runCheck, std::move(Arguments));
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// A file with one warning and no error.
struct WarningFile {
  std::string Path = "configuration-" + std::to_string(::getpid()) + ".json";
  WarningFile() {
    std::ofstream(Path) << "\n  {\"version\":\"r1\",\"listeners\":[],"
                           "\"clusters\":[{\"name\":\"x\",\"cold_per_s\":2}]}";
  }
  ~WarningFile() { std::remove(Path.c_str()); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(CheckConfiguration)

// Guards against examples that contradict their description.
BOOST_AUTO_TEST_CASE(goodConfigurationGivesNothing) {
  const CommandResult Good = check({InForce, Next, Zones});
  BOOST_TEST(Good.Code == app::ExitOk);
  BOOST_TEST(Good.Out.empty());
}

// Guards against findings without file, line and place, and against mistakes
// that leave the exit code at 0.
BOOST_AUTO_TEST_CASE(findingsHavePlacesAndTheExitCode) {
  const CommandResult Bad = check({WithFindings, Zones});
  BOOST_TEST(Bad.Code == app::ExitRefused);
  BOOST_TEST(contains(Bad.Out, WithFindings + ":23: listeners[0].policy[1]."
                                              "type: is not a request type"));
  BOOST_TEST(contains(Bad.Out, "listeners[0].policy[0].action.timeout_s: "
                               "warning: is below target_latency_s"));
  BOOST_TEST(contains(Bad.Out, "tenants[1].allowed_regions[1]: warning: no "
                               "availability zone is in region \"swabia\""));
  BOOST_TEST(!contains(Bad.Out, "example-key"));
  const CommandResult Json = check({WithFindings, "--json"});
  BOOST_TEST(Json.Code == app::ExitRefused);
  BOOST_TEST(contains(Json.Out, "\"severity\":\"error\""));
  BOOST_TEST(contains(Json.Out, "\"severity\":\"warning\""));
  BOOST_TEST(contains(Json.Out, "\"key\":\"listeners[0].policy[1].type\""));
  BOOST_TEST(!contains(Json.Out, "differences"));
}

// Guards against warnings that stop a publication unless that is wanted.
BOOST_AUTO_TEST_CASE(warningsFailOnlyAStrictCheck) {
  const WarningFile File;
  const CommandResult Lenient = check({File.Path});
  BOOST_TEST(Lenient.Code == app::ExitOk);
  BOOST_TEST(contains(Lenient.Out, ":2: clusters[0].cold_per_s: warning: "));
  BOOST_TEST(check({File.Path, "--strict"}).Code == app::ExitRefused);
}

// Guards against a comparison that shows keys, or misses that nodes would not
// take the version.
BOOST_AUTO_TEST_CASE(differencesFromAnotherConfigurationAreShown) {
  const CommandResult Changed = check({Next, "--against", InForce});
  BOOST_TEST(Changed.Code == app::ExitOk);
  BOOST_TEST(contains(Changed.Out, "configuration: version: r41 -> r42\n"));
  BOOST_TEST(contains(Changed.Out, "route job: weights: runner 9, runner-next "
                                   "1 -> runner 1, runner-next 1\n"));
  BOOST_TEST(contains(Changed.Out,
                      "organisation compilers: keys: 2 keys -> 3 keys (2 "
                      "added, 1 removed)\n"));
  BOOST_TEST(!contains(Changed.Out, "example-key"));
  const CommandResult Older = check({InForce, "--against", Next});
  BOOST_TEST(Older.Code == app::ExitRefused);
  BOOST_TEST(contains(Older.Out, ":2: version: r41 is not above r42"));
  const CommandResult Json = check({Next, "--against", InForce, "--json"});
  BOOST_TEST(contains(Json.Out, "\"subject\":\"route job\""));
  BOOST_TEST(!contains(Json.Out, "example-key"));
  // What cannot be read is reported and not compared.
  const CommandResult Unread = check({Next, "--against", WithFindings});
  BOOST_TEST(Unread.Code == app::ExitRefused);
  BOOST_TEST(contains(Unread.Out, WithFindings + ":23: "));
  BOOST_TEST(!contains(Unread.Out, "route job"));
}

BOOST_AUTO_TEST_CASE(wrongUsageIsReported) {
  const std::string Document =
      LYCHEETHREAD_SOURCE_DIR "/examples/zinnwerk/scans-stock-ledger.ini";
  for (const std::vector<std::string> &Arguments :
       std::vector<std::vector<std::string>>{
           {Next, InForce, "--against", InForce},
           {Next, "--against", "missing.json"},
           {Document, "--against", InForce},
           {Next, "--against", Document},
           {Next, "--zones", "east"},
           {Next, "--zones", "=east"},
           {Next, "--zones", "a="},
           {Next, "--zones", ""}}) {
    const CommandResult Result = check(Arguments);
    BOOST_TEST(Result.Code == app::ExitUsage);
    BOOST_TEST(contains(Result.Err, "check: "));
    BOOST_TEST(Result.Out.empty());
  }
  // Documents and configurations may be checked together.
  BOOST_TEST(check({Document, Next}).Code == app::ExitOk);
}

BOOST_AUTO_TEST_SUITE_END()
