#include "TestCluster.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/SHA2Engine.h>
#include <Poco/StreamCopier.h>

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

constexpr std::size_t UploadBytes = 50 * 1024 * 1024;
/// An upstream whose node shuts down receives no new requests after this time.
constexpr std::int64_t NewWorkLimitMs = 5000;
constexpr std::chrono::seconds NodeExitLimit{60};

struct Tally {
  std::mutex Lock;
  int Complete = 0;
  int Failed = 0;
  int Reconnected = 0;
  std::string Example;

  void addComplete() {
    const std::lock_guard<std::mutex> Guard(Lock);
    ++Complete;
  }
  void addFailed(const std::string &Detail) {
    const std::lock_guard<std::mutex> Guard(Lock);
    ++Failed;
    Example = " (" + Detail + ")";
  }
  std::string text() const {
    return std::to_string(Complete) + " whole, " + std::to_string(Failed) +
           " broken" + Example + ", " + std::to_string(Reconnected) + " moved";
  }
};

std::string digestOf(const std::string &Data) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Data);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

/// Uploads 50 MB over the slow link and verifies the digest in the answer.
void sendUpload(const TestCluster &Cluster, const FaultProcess &SlowLink,
                Tally &To) {
  std::string Body(UploadBytes, ' ');
  std::mt19937 Random(seed());
  for (std::size_t I = 0; I < Body.size(); I += 64)
    Body[I] = static_cast<char>(Random() & 0xffU);
  HttpCall Call = Cluster.makeCall(*Cluster.Nodes[0], "POST", "/upload");
  Call.Port = SlowLink.ListenPort;
  Call.Headers["x-run-id"] = "upload";
  Call.Headers["lt-caller"] = "restorer";
  Call.Timeout = std::chrono::milliseconds(60000);
  Call.Body = Body;
  const HttpAnswer Answer = send(Call);
  if (Answer.Status == 200 &&
      Answer.Body == std::to_string(UploadBytes) + " " + digestOf(Body) + "\n")
    To.addComplete();
  else
    To.addFailed("upload: " + std::to_string(Answer.Status) + " " +
                 Answer.Error + Answer.Body);
}

void sendLookup(const TestCluster &Cluster, const NodeProcess &Entry,
                int Caller, Tally &To) {
  HttpCall Call = Cluster.makeCall(Entry, "GET", "/lookup?ms=30");
  Call.Headers["lt-caller"] = "caller-" + std::to_string(Caller);
  Call.Headers["x-run-id"] = "lookup";
  const HttpAnswer Answer = send(Call);
  if (Answer.Status == 200 && Answer.Body == "ok v1\n")
    To.addComplete();
  else
    To.addFailed(std::to_string(Answer.Status) + " " + Answer.Error +
                 Answer.Body);
}

/// A caller with a persistent connection. After an answer that closes the
/// connection it connects again, to another node if the first one refuses.
class KeptConnection {
public:
  KeptConnection(std::uint16_t FirstPort, std::uint16_t FallbackPort)
      : Port_(FirstPort), FallbackPort_(FallbackPort) {}

  void sendLookup(int Caller, Tally &To) {
    try {
      if (!Session_)
        connect(To);
      exchange(Caller, To);
    } catch (const Poco::Exception &Error) {
      To.addFailed(Error.displayText());
      Session_.reset();
    }
  }

private:
  void connect(Tally &To) {
    try {
      const Poco::Net::StreamSocket Socket(
          Poco::Net::SocketAddress("127.0.0.1", Port_));
      Session_ = std::make_unique<Poco::Net::HTTPClientSession>(Socket);
    } catch (const Poco::Exception &) {
      Port_ = FallbackPort_;
      {
        const std::lock_guard<std::mutex> Guard(To.Lock);
        ++To.Reconnected;
      }
      Session_ =
          std::make_unique<Poco::Net::HTTPClientSession>("127.0.0.1", Port_);
    }
    Session_->setKeepAlive(true);
    // Keeps the session from closing the connection by itself.
    Session_->setKeepAliveTimeout(Poco::Timespan(60, 0));
  }

  void exchange(int Caller, Tally &To) {
    Poco::Net::HTTPRequest Request("GET", "/lookup?ms=30", "HTTP/1.1");
    Request.setHost("desk");
    Request.set("lt-caller", "caller-" + std::to_string(Caller));
    Request.set("x-run-id", "lookup");
    Session_->sendRequest(Request);
    Poco::Net::HTTPResponse Response;
    std::string Body;
    Poco::StreamCopier::copyToString(Session_->receiveResponse(Response), Body);
    if (Response.getStatus() == 200 && Body == "ok v1\n")
      To.addComplete();
    else
      To.addFailed(std::to_string(Response.getStatus()) + " " + Body);
    if (!Response.getKeepAlive())
      Session_.reset();
  }

  std::uint16_t Port_;
  std::uint16_t FallbackPort_;
  std::unique_ptr<Poco::Net::HTTPClientSession> Session_;
};

int lateLookups(const TestCluster &Cluster, const NodeProcess &Node,
                std::int64_t TerminatedAtMs) {
  int Late = 0;
  for (const ExecutionRecord &Execution : Cluster.executionsAt(Node))
    Late += Execution.Id == "lookup" &&
                    Execution.AtMs > TerminatedAtMs + NewWorkLimitMs
                ? 1
                : 0;
  return Late;
}

/// Terminates the node with SIGTERM and checks that it exits with 0 and that
/// its upstream received no lookup after NewWorkLimitMs. Returns a summary.
std::string shutDownNode(const TestCluster &Cluster, NodeProcess &Node) {
  const std::int64_t TerminatedAtMs = nowMs();
  Node.Process->terminate();
  const int Code = Node.Process->waitFor(NodeExitLimit).value_or(-1);
  const std::int64_t ExitMs = nowMs() - TerminatedAtMs;
  const int Late = lateLookups(Cluster, Node, TerminatedAtMs);
  BOOST_TEST(Code == 0, Node.Spec.Id << " ended with " << Code);
  BOOST_TEST(Late == 0);
  return Node.Spec.Id + " exit " + std::to_string(Code) + " after " +
         std::to_string(ExitMs) + " ms, " + std::to_string(Late) +
         " late runs; ";
}

void addSixNodes(TestCluster &Cluster) {
  Cluster.addWithoutUpstream("gate-1", "west", "west-a");
  Cluster.add("west-1", "west", "west-a");
  Cluster.add("west-2", "west", "west-b");
  Cluster.add("west-3", "west", "west-b");
  Cluster.add("east-1", "east", "east-a");
  Cluster.add("east-2", "east", "east-a");
  Cluster.waitUntilReady();
}

} // namespace

// Guards against an upload or lookup that is cut when the node beside its
// upstream shuts down, and against new requests to that upstream.
BOOST_AUTO_TEST_CASE(NodesThatLeaveCutNoRequest) {
  TestCluster Cluster("leave");
  addSixNodes(Cluster);
  const FaultProcess &Slow =
      Cluster.Mesh.startFault("slow", Cluster.Nodes[0]->RequestPort);
  Slow.rule(R"("direction":"up","bytes_per_s":9000000)");
  Tally Uploads;
  Tally Lookups;
  std::thread Sender([&] { sendUpload(Cluster, Slow, Uploads); });
  WorkerThreads Load(6, [&](int Caller, int) {
    sendLookup(Cluster, *Cluster.Nodes[Caller % 2 == 0 ? 0 : 5], Caller,
               Lookups);
  });
  pause(Cluster.randomBetween(500, 1500));
  // The upload runs at west-1, the only upstream in the zone of the entry node.
  std::string ShutDown = shutDownNode(Cluster, *Cluster.Nodes[1]);
  ShutDown += shutDownNode(Cluster, *Cluster.Nodes[4]);
  pause(500);
  Sender.join();
  Load.stop();
  int Uploaded = 0;
  for (const ExecutionRecord &Execution :
       Cluster.executionsAt(*Cluster.Nodes[1]))
    Uploaded += Execution.Id == "upload" ? 1 : 0;
  report("4 shutdown", "a third of the nodes leave, last hop of an upload",
         ShutDown + "uploads " + Uploads.text() + "; lookups " +
             Lookups.text());
  BOOST_TEST(Uploaded == 1);
  BOOST_TEST(Uploads.Complete == 1);
  BOOST_TEST(Lookups.Failed == 0);
  BOOST_TEST(Lookups.Complete > 100);
}

// Guards against a drain that ends before it has closed the port for callers,
// so that requests of connected callers are cut: its times were constants that
// a short limit does not leave room for.
BOOST_AUTO_TEST_CASE(AShortDrainTimeoutCutsNoRequest) {
  TestCluster Cluster("leave-soon");
  addSixNodes(Cluster);
  std::string ShutDown;
  Tally Lookups;
  for (const int Seconds : {1, 2, 3}) {
    NodeProcess &Leaving =
        Cluster.addWithoutUpstream("soon-" + std::to_string(Seconds), "west",
                                   "west-a", std::chrono::seconds(Seconds));
    Cluster.waitUntilReady();
    std::vector<KeptConnection> Connections;
    for (int Caller = 0; Caller < 6; ++Caller)
      Connections.emplace_back(Leaving.RequestPort,
                               Cluster.Nodes[3]->RequestPort);
    WorkerThreads Load(6, [&](int Caller, int) {
      Connections[static_cast<std::size_t>(Caller)].sendLookup(Caller, Lookups);
    });
    pause(500);
    ShutDown += shutDownNode(Cluster, Leaving);
    pause(300);
    Load.stop();
    Cluster.Nodes.pop_back();
  }
  report("4 shutdown", "an entry node leaves within 1, 2 and 3 s",
         ShutDown + "lookups " + Lookups.text());
  BOOST_TEST(Lookups.Failed == 0);
  BOOST_TEST(Lookups.Complete > 100);
}

// Guards against requests that are cut because their entry node shuts down
// while callers are connected, and against a node that never exits because of
// connected callers.
BOOST_AUTO_TEST_CASE(AnEntryNodeThatLeavesCutsNoRequest) {
  TestCluster Cluster("leave-entry");
  addSixNodes(Cluster);
  const FaultProcess &Slow =
      Cluster.Mesh.startFault("slow", Cluster.Nodes[2]->RequestPort);
  Slow.rule(R"("direction":"up","bytes_per_s":9000000)");
  Tally Uploads;
  Tally Lookups;
  std::thread Sender([&] { sendUpload(Cluster, Slow, Uploads); });
  std::vector<KeptConnection> Connections;
  for (int Caller = 0; Caller < 6; ++Caller)
    Connections.emplace_back(Cluster.Nodes[2]->RequestPort,
                             Cluster.Nodes[3]->RequestPort);
  WorkerThreads Load(6, [&](int Caller, int) {
    Connections[static_cast<std::size_t>(Caller)].sendLookup(Caller, Lookups);
  });
  pause(Cluster.randomBetween(500, 1500));
  const std::string ShutDown = shutDownNode(Cluster, *Cluster.Nodes[2]);
  pause(500);
  Sender.join();
  Load.stop();
  report("4 shutdown", "the entry node of connected callers leaves",
         ShutDown + "uploads " + Uploads.text() + "; lookups " +
             Lookups.text());
  BOOST_TEST(Uploads.Complete == 1);
  BOOST_TEST(Lookups.Failed == 0);
  BOOST_TEST(Lookups.Complete > 100);
}
