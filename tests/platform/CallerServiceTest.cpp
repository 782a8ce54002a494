#include "RawCall.h"
#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <mutex>
#include <set>

using namespace lycheethread::platformtest;

namespace {

/// Ways in which a caller may try to state another service; the node accepts
/// each of these heads.
const std::vector<std::string> AcceptedForms{
    "X-Caller-Service: payroll\r\n",
    "X-Caller-Service: payroll\r\nX-Caller-Service: payroll\r\n",
    "x-caller-service:payroll\r\n",
    "X-CALLER-SERVICE: \t payroll \t\r\n",
    "X-Caller-Service:\r\nX-Caller-Service: payroll\r\n",
    "X-Caller-Service: payroll\r\nX-Note: 1\r\nx-Caller-service: payroll\r\n",
    "lt-hop: desk;v1;read;repeatable;0;400;1000;payroll;F;400\r\n",
};

/// Heads that two parsers could read differently.
const std::vector<std::string> RejectedForms{
    "X-Caller-Service : payroll\r\n",
    "X-Note: 1\r\n X-Caller-Service: payroll\r\n",
    "X-Note: 1\rX-Caller-Service: payroll\r\n",
    "X-Note: 1\nX-Caller-Service: payroll\r\n",
};

std::string head(const std::string &Method, const std::string &Path,
                 const std::string &Id, const std::string &Fields) {
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + Id +
         "\r\nX-Deadline-Ms: 1100\r\n" + Fields;
}

std::string get(const std::string &Id, const std::string &Fields) {
  return head("GET", "/read/1", Id, Fields + "Connection: close\r\n\r\n");
}

/// Returns the value of X-Caller-Service in each run of \p Id, with "(lines)"
/// where there is not exactly one.
std::vector<std::string> callersOf(TestMesh &Mesh, const std::string &Id) {
  std::vector<std::string> Found;
  for (const auto &Item : Mesh.Instances)
    for (const ReceivedRequest &Request : Item->upstream().receivedRequests()) {
      const auto Stated = Request.Headers.find("x-attempt-id");
      if (Stated == Request.Headers.end() || Stated->second != Id)
        continue;
      const bool IsOne = Request.linesOf("x-caller-service").size() == 1 &&
                         Request.linesOf("lt-hop").empty();
      Found.push_back(IsOne ? Request.Headers.at("x-caller-service")
                            : "(lines)");
    }
  return Found;
}

/// Checks that \p Id has run \p Runs times, each for \p Caller.
void checkRuns(TestMesh &Mesh, const std::string &Id, std::size_t Runs,
               const std::string &Caller) {
  const auto Callers = callersOf(Mesh, Id);
  BOOST_TEST(Callers.size() == Runs, Id);
  for (const std::string &Item : Callers)
    BOOST_TEST(Item == Caller, Id);
}

/// Answers the first time that it sees an id with \p First, then completely.
/// Shared by the upstreams of a test.
class FirstAnswer {
public:
  explicit FirstAnswer(
      std::function<RawResponse(const ReceivedRequest &)> First)
      : First_(std::move(First)) {}

  RawResponse operator()(const ReceivedRequest &Request) {
    const std::lock_guard<std::mutex> Guard(*Lock_);
    const bool IsFirst =
        Seen_->insert(Request.Headers.at("x-attempt-id")).second;
    return IsFirst ? First_(Request) : completeResponse(Request);
  }

private:
  std::function<RawResponse(const ReceivedRequest &)> First_;
  std::shared_ptr<std::mutex> Lock_ = std::make_shared<std::mutex>();
  std::shared_ptr<std::set<std::string>> Seen_ =
      std::make_shared<std::set<std::string>>();
};

/// Sends each accepted form to both entries of \p Mesh and checks the runs.
void sendForms(TestMesh &Mesh, const std::string &Name, std::size_t Runs) {
  for (const std::size_t Entry : {0U, 2U})
    for (std::size_t Form = 0; Form < AcceptedForms.size(); ++Form) {
      const std::string Id =
          Name + std::to_string(Entry) + "-" + std::to_string(Form);
      const std::string Answer =
          sendRaw(Mesh.at(Entry).outboundPort(), get(Id, AcceptedForms[Form]));
      BOOST_TEST(Answer.rfind("HTTP/1.1 200", 0) == 0U, Id);
      checkRuns(Mesh, Id, Runs, Entry == 0 ? "desk" : "store");
    }
}

} // namespace

// Each case guards against a request that runs for a service which the caller
// has chosen, on a path of its own.
BOOST_AUTO_TEST_SUITE(CallerService)

BOOST_AUTO_TEST_CASE(besideTheUpstreamAndOverAHop) {
  TestMesh Mesh({{"w1"}, {"w2"}, {"w3", "store"}});
  sendForms(Mesh, "plain", 1);
  for (std::size_t Form = 0; Form < RejectedForms.size(); ++Form) {
    const std::string Id = "rejected-" + std::to_string(Form);
    const std::string Answer =
        sendRaw(Mesh.at(0).outboundPort(), get(Id, RejectedForms[Form]));
    BOOST_TEST(Answer.rfind("HTTP/1.1 400", 0) == 0U, Id);
    BOOST_TEST(callersOf(Mesh, Id).empty(), Id);
  }
}

BOOST_AUTO_TEST_CASE(afterARejectionAndAfterALostAnswer) {
  TestMesh Mesh({{"x1"}, {"x2"}, {"x3", "store"}}, 2);
  const FirstAnswer Shed([](const ReceivedRequest &Request) {
    RawResponse Response = completeResponse(Request, "", 503);
    Response.Bytes.insert(Response.Bytes.find("Keep-Alive"),
                          "X-Not-Executed: 1\r\n");
    return Response;
  });
  const FirstAnswer Lost([](const ReceivedRequest &) {
    RawResponse Response;
    Response.CloseAfter = true;
    return Response;
  });
  const std::pair<std::string, FirstAnswer> Cases[] = {{"shed", Shed},
                                                       {"lost", Lost}};
  for (const auto &[Name, First] : Cases) {
    for (const std::size_t Index : {0U, 1U})
      Mesh.at(Index).upstream().setBehaviour(First);
    // The retry budget of a node allows few retries at a time.
    for (const std::size_t Entry : {0U, 2U}) {
      const std::string Id = Name + std::to_string(Entry);
      BOOST_TEST(
          sendRaw(Mesh.at(Entry).outboundPort(), get(Id, AcceptedForms[1]))
                  .rfind("HTTP/1.1 200", 0) == 0U,
          Id);
      checkRuns(Mesh, Id, 2, Entry == 0 ? "desk" : "store");
    }
  }
}

BOOST_AUTO_TEST_CASE(whereTheRequestHasWaited) {
  TestMesh Mesh({{"y1", "desk", "v1", "north", 1}, {"y2", "store"}});
  Mesh.at(0).upstream().setBehaviour([](const ReceivedRequest &Request) {
    RawResponse Response = completeResponse(Request);
    Response.Delay = std::chrono::milliseconds(40);
    return Response;
  });
  std::vector<std::thread> Callers;
  for (const std::size_t Entry : {0U, 1U})
    for (int Number = 0; Number < 2; ++Number)
      Callers.emplace_back([&Mesh, Entry, Number] {
        sendRaw(Mesh.at(Entry).outboundPort(),
                get("wait" + std::to_string(Entry) + std::to_string(Number),
                    AcceptedForms[1]));
      });
  for (std::thread &Caller : Callers)
    Caller.join();
  for (const std::size_t Entry : {0U, 1U})
    for (const std::string Number : {"0", "1"})
      for (const std::string &Caller :
           callersOf(Mesh, "wait" + std::to_string(Entry) + Number))
        BOOST_TEST(Caller == (Entry == 0 ? "desk" : "store"));
}

BOOST_AUTO_TEST_CASE(laterOnAConnectionAndInTrailers) {
  TestMesh Mesh({{"z1"}, {"z2"}, {"z3", "store"}});
  for (const std::size_t Entry : {0U, 2U}) {
    const std::string Caller = Entry == 0 ? "desk" : "store";
    const std::string Number = std::to_string(Entry);
    // Both requests arrive together.
    sendRaw(Mesh.at(Entry).outboundPort(),
            head("GET", "/read/1", "first" + Number, "\r\n") +
                get("second" + Number, AcceptedForms[1]));
    checkRuns(Mesh, "first" + Number, 1, Caller);
    checkRuns(Mesh, "second" + Number, 1, Caller);
    sendRaw(Mesh.at(Entry).outboundPort(),
            head("POST", "/write/1", "trailer" + Number,
                 "Transfer-Encoding: chunked\r\nTrailer: X-Caller-Service\r\n"
                 "Connection: close\r\n\r\n5\r\norder\r\n0\r\n"
                 "X-Caller-Service: payroll\r\n\r\n"));
    checkRuns(Mesh, "trailer" + Number, 1, Caller);
    // The header counts as one that concerns only this connection.
    sendRaw(Mesh.at(Entry).outboundPort(),
            head("GET", "/read/1", "listed" + Number,
                 "X-Caller-Service: payroll\r\n"
                 "Connection: close, X-Caller-Service, X-Deadline-Ms\r\n\r\n"));
    checkRuns(Mesh, "listed" + Number, 1, Caller);
  }
}

BOOST_AUTO_TEST_CASE(afterTheSettingsWereReadAgain) {
  TestMesh Mesh({{"v1"}, {"v2"}, {"v3", "store"}});
  for (const std::size_t Entry : {0U, 2U})
    Mesh.at(Entry).writeSettings("grace_s=5,drain_s=2.5");
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  sendForms(Mesh, "reloaded", 1);
}

BOOST_AUTO_TEST_SUITE_END()
