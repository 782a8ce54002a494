#define BOOST_TEST_MODULE Admin
#include "admin/internal/AdminServer.h"
#include "admin/internal/StatusServices.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <string>

using namespace lycheethread;
using namespace lycheethread::admin;

namespace {

struct Answer {
  int Status = 0;
  std::string Body;
};

Answer ask(std::uint16_t Port, const std::string &Method,
           const std::string &Path) {
  Poco::Net::HTTPClientSession Session("127.0.0.1", Port);
  Poco::Net::HTTPRequest Request(Method, Path, "HTTP/1.1");
  Request.setContentLength(0);
  Session.sendRequest(Request);
  Poco::Net::HTTPResponse Response;
  Answer Result;
  Poco::StreamCopier::copyToString(Session.receiveResponse(Response),
                                   Result.Body);
  Result.Status = Response.getStatus();
  return Result;
}

config::ConfigState stateWithMove() {
  config::ConfigState State;
  State.Position = Offset(42);
  State.LogTime = WallTime(1000);
  State.Documents[ServiceName("commission-catalogue")].Accepted = Revision(3);
  moves::Move Move;
  Move.Id = MoveId("commission-catalogue/workshop/3");
  Move.Share = Permille(50);
  State.Moves.Running[Move.Id] = Move;
  return State;
}

StatusServices servicesWithState() {
  StatusServices Services;
  Services.Settings = std::make_shared<settings::NodeSettings>();
  Services.Settings->Id = NodeId("n\"1");
  Services.Config =
      std::make_shared<kernel::SnapshotStore<config::ConfigState>>(
          std::make_shared<const config::ConfigState>(stateWithMove()));
  Services.Members =
      std::make_shared<kernel::SnapshotStore<std::vector<Member>>>(
          std::make_shared<const std::vector<Member>>(3));
  Services.Refusals = std::make_shared<refusallog::RefusalStatus>();
  Services.Refusals->Unshipped = [] { return std::int64_t(5); };
  Services.Refusals->Totals = [] {
    return std::vector<refusallog::ReasonTotal>{
        {RefusalReason::QueueFull, Executed::No, 7}};
  };
  return Services;
}

} // namespace

// Guards against a status that is not valid JSON or lacks entries, also while
// some services are not registered.
BOOST_AUTO_TEST_CASE(StatusIsJsonWithMoveAndRefusals) {
  Poco::JSON::Parser Parser;
  const auto Status =
      Parser.parse(writeStatus(servicesWithState(), WallTime(3500)))
          .extract<Poco::JSON::Object::Ptr>();
  BOOST_TEST(Status->getValue<std::string>("node") == "n\"1");
  BOOST_TEST(Status->getObject("config")->getValue<int>(
                 "newest_record_age_ms") == 2500);
  BOOST_TEST(Status->getArray("moves")->getObject(0)->getValue<int>(
                 "share_permille") == 50);
  BOOST_TEST(
      Status->getArray("documents")->getObject(0)->getValue<int>("revision") ==
      3);
  BOOST_TEST(Status->getObject("refusals")->getValue<int>("unshipped") == 5);
  BOOST_TEST(writeMetrics(servicesWithState())
                 .find("lycheethread_refusals_total{reason=\"queue-full\","
                       "executed=\"no\"} 7\n") != std::string::npos);
}

// Guards against a drain by a request other than POST, and against unknown
// paths that are answered like known ones.
BOOST_AUTO_TEST_CASE(OnlyPostDrains) {
  std::atomic<int> Drains{0};
  AdminServer Server({"127.0.0.1", 0}, {[] { return "m"; }, [] { return "s"; },
                                        [&Drains] { ++Drains; }});
  BOOST_TEST(ask(Server.port(), "GET", "/drain").Status == 404);
  BOOST_TEST(Drains.load() == 0);
  BOOST_TEST(ask(Server.port(), "POST", "/drain").Status == 202);
  BOOST_TEST(Drains.load() == 1);
  BOOST_TEST(ask(Server.port(), "GET", "/metrics").Body == "m");
  BOOST_TEST(ask(Server.port(), "GET", "/status").Body == "s");
  BOOST_TEST(ask(Server.port(), "GET", "/").Status == 404);
}

// Guards against a server that crashes or stops answering after oversized or
// malformed input, or after an exception in a handler.
BOOST_AUTO_TEST_CASE(HostileInputLeavesTheServerUp) {
  AdminServer Server({"127.0.0.1", 0}, {[]() -> std::string {
                                          throw std::runtime_error("inside");
                                        },
                                        [] { return "s"; }, [] {}});
  BOOST_TEST(ask(Server.port(), "GET", "/metrics").Status == 500);
  for (const std::string &Input : {std::string(1024 * 1024, 'x'),
                                   std::string("GET /status HTTP/1.1\r\n") +
                                       std::string(100000, 'h') + ": 1\r\n",
                                   std::string("\0\1\2 \r\n\r\n", 9)}) {
    try {
      Poco::Net::StreamSocket Socket(
          Poco::Net::SocketAddress("127.0.0.1", Server.port()));
      Socket.sendBytes(Input.data(), static_cast<int>(Input.size()));
      Socket.shutdownSend();
    } catch (const Poco::Exception &) {
      BOOST_TEST_MESSAGE("the server closed the connection");
    }
  }
  BOOST_TEST(ask(Server.port(), "GET", "/status").Status == 200);
}
