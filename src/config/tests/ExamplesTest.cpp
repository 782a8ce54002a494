#include "FoldFixture.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace lycheethread;
using namespace lycheethread::config;

namespace {

std::string exampleText(const std::string &Path) {
  std::ifstream In(LYCHEETHREAD_SOURCE_DIR "/examples/" + Path + ".ini");
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

void publishExample(FoldFixture &To, const std::string &Folder,
                    const std::string &Service) {
  const std::string Text = exampleText(Folder + "/" + Service);
  const PublishResult Result = To.fold(To.publish(Service, 0, Text));
  for (const Finding &Item : Result.Problems)
    BOOST_ERROR(toString(Item));
  BOOST_TEST(Result.Accepted);
}

ServiceDocument inForce(const FoldFixture &From, const std::string &Service) {
  return From.State.Documents.at(ServiceName(Service)).Document;
}

} // namespace

// Guards against example documents that are refused when operators copy them,
// and against limits that differ from the deployments in docs/design.md.
BOOST_AUTO_TEST_CASE(ExampleDocumentsAreAccepted) {
  FoldFixture Fold;
  publishExample(Fold, "zinnwerk", "scans-stock-ledger");
  publishExample(Fold, "zinnwerk", "commission-catalogue");
  publishExample(Fold, "wijesekera", "survey-berth-store");
  publishExample(Fold, "wijesekera", "ticket-desk");
  for (const char *Name : {"scans-stock-ledger", "commission-catalogue"}) {
    BOOST_TEST(inForce(Fold, Name).Limits.Slots == 20);
    BOOST_TEST(inForce(Fold, Name).Limits.Connections == 110);
  }
  for (const char *Name : {"survey-berth-store", "ticket-desk"}) {
    BOOST_TEST(inForce(Fold, Name).Limits.Slots == 13);
    BOOST_TEST(inForce(Fold, Name).Limits.Connections == 130);
  }
}
