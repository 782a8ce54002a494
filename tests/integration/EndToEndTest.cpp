#define BOOST_TEST_MODULE EndToEnd
#include "Zinnwerk.h"

#include <Poco/SHA2Engine.h>

#include <boost/test/unit_test.hpp>

using namespace lycheethread::harness;
using namespace lycheethread::integration;

namespace {

constexpr std::size_t ScanBytes = 50 * 1024 * 1024;

std::string digestOf(const std::string &Data) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Data);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

std::string scanData() {
  std::string Data(ScanBytes, ' ');
  unsigned Value = 1;
  for (char &Each : Data) {
    Value = Value * 1664525U + 1013904223U;
    Each = static_cast<char>(Value >> 24U);
  }
  return Data;
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

// Guards against parts that work alone and not together: a published document
// must lead callers of any node to the right upstream in either region.
BOOST_AUTO_TEST_CASE(CallersReachUpstreamsThroughThePublishedDocuments) {
  Zinnwerk Tested("end-to-end");

  const HttpAnswer Lookup = send(callTo(
      *Tested.Eichstaett, "commission-catalogue", "GET", "/catalogue/bowls"));
  BOOST_TEST(Lookup.Status == 200);
  BOOST_TEST(Lookup.Body == "ok v1\n");
  BOOST_TEST(contains(Lookup.header("lt-path"), "workshop-1"));

  HttpCall Upload = callTo(*Tested.Eichstaett, "scans-stock-ledger", "POST",
                           "/scans/chalice?digest=1");
  Upload.Body = scanData();
  Upload.Timeout = std::chrono::minutes(1);
  const HttpAnswer Uploaded = send(Upload);
  BOOST_TEST(Uploaded.Status == 200);
  BOOST_TEST(Uploaded.Body == digestOf(Upload.Body) + "\n");
  BOOST_TEST(contains(Uploaded.header("lt-path"), "scans-1"));
  BOOST_TEST_MESSAGE("50 MB upload: " << Uploaded.Took.count() << " ms");

  HttpCall Commission =
      callTo(*Tested.Nuernberg, "commission-catalogue", "POST", "/commissions");
  Commission.Headers["idempotency-key"] = "commission-17";
  Commission.Body = "one tin jug";
  const HttpAnswer First = send(Commission);
  const HttpAnswer Repeated = send(Commission);
  BOOST_TEST(First.Status == 200);
  BOOST_TEST(Repeated.Body == First.Body);
  BOOST_TEST(Tested.executions("commission-17") == 1);

  const HttpAnswer Pricing =
      send(callTo(*Tested.Ingolstadt, "commission-catalogue", "GET",
                  "/pricing?service=scans-stock-ledger&path=/stock/tin"));
  BOOST_TEST(Pricing.Status == 200);
  BOOST_TEST(Pricing.Body == "chain: ok v1\n");
  BOOST_TEST(contains(Pricing.header("x-inner-path"), "ledger-1"));

  for (NodeProcess *Each : Tested.Nodes)
    Each->Process->terminate();
  for (NodeProcess *Each : Tested.Nodes)
    BOOST_TEST(Each->Process->waitFor(std::chrono::seconds(20)).value_or(-1) ==
               0);
}
