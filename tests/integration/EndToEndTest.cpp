#define BOOST_TEST_MODULE EndToEnd
#include "Zinnwerk.h"

#include <Poco/SHA2Engine.h>

#include <boost/test/unit_test.hpp>

using namespace lycheethread::harness;
using namespace lycheethread::integration;

namespace {

constexpr std::size_t ScanSize = 50 * 1024 * 1024;

std::string digestOf(const std::string &Data) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Data);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

std::string makeScanData() {
  std::string Data(ScanSize, ' ');
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

// Guards against modules that work alone but not together: a published document
// must route callers of any node to the right upstream in either region.
BOOST_AUTO_TEST_CASE(CallersReachUpstreamsThroughThePublishedDocuments) {
  Zinnwerk Deployment("end-to-end");

  const HttpAnswer Lookup =
      send(callTo(*Deployment.Eichstaett, "commission-catalogue", "GET",
                  "/catalogue/bowls"));
  BOOST_TEST(Lookup.Status == 200);
  BOOST_TEST(Lookup.Body == "ok v1\n");
  BOOST_TEST(contains(Lookup.header("lt-path"), "workshop-1"));

  HttpCall Upload = callTo(*Deployment.Eichstaett, "scans-stock-ledger", "POST",
                           "/scans/chalice?digest=1");
  Upload.Body = makeScanData();
  Upload.Timeout = std::chrono::minutes(1);
  const HttpAnswer Uploaded = send(Upload);
  BOOST_TEST(Uploaded.Status == 200);
  BOOST_TEST(Uploaded.Body == digestOf(Upload.Body) + "\n");
  BOOST_TEST(contains(Uploaded.header("lt-path"), "scans-1"));
  BOOST_TEST_MESSAGE("duration of the 50 MB upload: " << Uploaded.Took.count()
                                                      << " ms");

  HttpCall Commission = callTo(*Deployment.Nuernberg, "commission-catalogue",
                               "POST", "/commissions");
  Commission.Headers["idempotency-key"] = "commission-17";
  Commission.Body = "one tin jug";
  const HttpAnswer First = send(Commission);
  const HttpAnswer Repeated = send(Commission);
  BOOST_TEST(First.Status == 200);
  BOOST_TEST(Repeated.Body == First.Body);
  BOOST_TEST(Deployment.executions("commission-17") == 1);

  const HttpAnswer Pricing =
      send(callTo(*Deployment.Ingolstadt, "commission-catalogue", "GET",
                  "/pricing?service=scans-stock-ledger&path=/stock/tin"));
  BOOST_TEST(Pricing.Status == 200);
  BOOST_TEST(Pricing.Body == "chain: ok v1\n");
  BOOST_TEST(contains(Pricing.header("x-inner-path"), "ledger-1"));

  for (NodeProcess *Each : Deployment.Nodes)
    Each->Process->terminate();
  for (NodeProcess *Each : Deployment.Nodes)
    BOOST_TEST(Each->Process->waitFor(std::chrono::seconds(20)).value_or(-1) ==
               0);
}
