#include "World.h"

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
/// A leaving upstream receives no new work after this time.
constexpr std::int64_t LeaveMs = 5000;
constexpr std::chrono::seconds ExitLimit{60};

struct Tally {
  std::mutex Lock;
  int Whole = 0;
  int Broken = 0;
  int Moved = 0;
  std::string Example;

  void whole() {
    const std::lock_guard<std::mutex> Guard(Lock);
    ++Whole;
  }
  void broken(const std::string &What) {
    const std::lock_guard<std::mutex> Guard(Lock);
    ++Broken;
    Example = " (" + What + ")";
  }
  std::string text() const {
    return std::to_string(Whole) + " whole, " + std::to_string(Broken) +
           " broken" + Example + ", " + std::to_string(Moved) + " moved";
  }
};

std::string digestOf(const std::string &Data) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Data);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

/// Sends 50 MB over the slow link.
void upload(const World &Tested, const FaultProcess &Link, Tally &To) {
  std::string Body(UploadBytes, ' ');
  std::mt19937 Random(seed());
  for (std::size_t I = 0; I < Body.size(); I += 64)
    Body[I] = static_cast<char>(Random() & 0xffU);
  HttpCall Call = Tested.call(*Tested.Nodes[0], "POST", "/upload");
  Call.Port = Link.ListenPort;
  Call.Headers["x-run-id"] = "upload";
  Call.Headers["lt-caller"] = "restorer";
  Call.Timeout = std::chrono::milliseconds(60000);
  Call.Body = Body;
  const HttpAnswer Answer = send(Call);
  if (Answer.Status == 200 &&
      Answer.Body == std::to_string(UploadBytes) + " " + digestOf(Body) + "\n")
    To.whole();
  else
    To.broken("upload: " + std::to_string(Answer.Status) + " " + Answer.Error +
              Answer.Body);
}

void lookup(const World &Tested, const NodeProcess &Entry, int Caller,
            Tally &To) {
  HttpCall Call = Tested.call(Entry, "GET", "/lookup?ms=30");
  Call.Headers["lt-caller"] = "caller-" + std::to_string(Caller);
  Call.Headers["x-run-id"] = "lookup";
  const HttpAnswer Answer = send(Call);
  if (Answer.Status == 200 && Answer.Body == "ok v1\n")
    To.whole();
  else
    To.broken(std::to_string(Answer.Status) + " " + Answer.Error + Answer.Body);
}

/// A caller that keeps its connection and moves to another node when the
/// connection was closed with an answer or a new one is refused.
class KeptConnection {
public:
  KeptConnection(std::uint16_t First, std::uint16_t Other)
      : Port_(First), Other_(Other) {}

  void lookup(int Caller, Tally &To) {
    try {
      if (!Session_)
        connect(To);
      exchange(Caller, To);
    } catch (const Poco::Exception &Error) {
      To.broken(Error.displayText());
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
      Port_ = Other_;
      {
        const std::lock_guard<std::mutex> Guard(To.Lock);
        ++To.Moved;
      }
      Session_ =
          std::make_unique<Poco::Net::HTTPClientSession>("127.0.0.1", Port_);
    }
    Session_->setKeepAlive(true);
    // The session must not close the connection by itself.
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
      To.whole();
    else
      To.broken(std::to_string(Response.getStatus()) + " " + Body);
    if (!Response.getKeepAlive())
      Session_.reset();
  }

  std::uint16_t Port_;
  std::uint16_t Other_;
  std::unique_ptr<Poco::Net::HTTPClientSession> Session_;
};

int lateRuns(const World &Tested, const NodeProcess &Node, std::int64_t Since) {
  int Late = 0;
  for (const RunRecord &Run : Tested.runsAt(Node))
    Late += Run.Id == "lookup" && Run.AtMs > Since + LeaveMs ? 1 : 0;
  return Late;
}

/// SIGTERM, the exit code and the new work after LeaveMs.
std::string leave(const World &Tested, NodeProcess &Node) {
  const std::int64_t Since = nowMs();
  Node.Process->terminate();
  const int Code = Node.Process->waitFor(ExitLimit).value_or(-1);
  const std::int64_t Took = nowMs() - Since;
  const int Late = lateRuns(Tested, Node, Since);
  BOOST_TEST(Code == 0, Node.Spec.Id << " ended with " << Code);
  BOOST_TEST(Late == 0);
  return Node.Spec.Id + " exit " + std::to_string(Code) + " after " +
         std::to_string(Took) + " ms, " + std::to_string(Late) + " late runs; ";
}

void addSeven(World &Tested) {
  Tested.addGate("gate-1", "west", "west-a");
  Tested.add("west-1", "west", "west-a");
  Tested.add("west-2", "west", "west-b");
  Tested.add("west-3", "west", "west-b");
  Tested.add("east-1", "east", "east-a");
  Tested.add("east-2", "east", "east-a");
  Tested.waitUntilReady();
}

} // namespace

// Guards against an upload or lookup that ends with the node beside its
// upstream, and against new work for an upstream that leaves.
BOOST_AUTO_TEST_CASE(NodesThatLeaveCutNoRequest) {
  World Tested("leave");
  addSeven(Tested);
  const FaultProcess &Slow =
      Tested.Mesh.startFault("slow", Tested.Nodes[0]->RequestPort);
  Slow.rule(R"("direction":"up","bytes_per_s":9000000)");
  Tally Uploads;
  Tally Lookups;
  std::thread Sender([&] { upload(Tested, Slow, Uploads); });
  Callers Load(6, [&](int Caller, int) {
    lookup(Tested, *Tested.Nodes[Caller % 2 == 0 ? 0 : 5], Caller, Lookups);
  });
  pause(Tested.random(500, 1500));
  // The upload runs here: it is the only upstream in the entry's zone.
  std::string Left = leave(Tested, *Tested.Nodes[1]);
  Left += leave(Tested, *Tested.Nodes[4]);
  pause(500);
  Sender.join();
  Load.stop();
  int Uploaded = 0;
  for (const RunRecord &Run : Tested.runsAt(*Tested.Nodes[1]))
    Uploaded += Run.Id == "upload" ? 1 : 0;
  report("4 shutdown", "a third of the nodes leave, last hop of an upload",
         Left + "uploads " + Uploads.text() + "; lookups " + Lookups.text());
  BOOST_TEST(Uploaded == 1);
  BOOST_TEST(Uploads.Whole == 1);
  BOOST_TEST(Lookups.Broken == 0);
  BOOST_TEST(Lookups.Whole > 100);
}

// Guards against requests that are cut because their entry node leaves while
// callers are connected, and against a node that never ends because they are.
BOOST_AUTO_TEST_CASE(AnEntryNodeThatLeavesCutsNoRequest) {
  World Tested("leave-entry");
  addSeven(Tested);
  const FaultProcess &Slow =
      Tested.Mesh.startFault("slow", Tested.Nodes[2]->RequestPort);
  Slow.rule(R"("direction":"up","bytes_per_s":9000000)");
  Tally Uploads;
  Tally Lookups;
  std::thread Sender([&] { upload(Tested, Slow, Uploads); });
  std::vector<KeptConnection> Kept;
  for (int Caller = 0; Caller < 6; ++Caller)
    Kept.emplace_back(Tested.Nodes[2]->RequestPort,
                      Tested.Nodes[3]->RequestPort);
  Callers Load(6, [&](int Caller, int) {
    Kept[static_cast<std::size_t>(Caller)].lookup(Caller, Lookups);
  });
  pause(Tested.random(500, 1500));
  const std::string Left = leave(Tested, *Tested.Nodes[2]);
  pause(500);
  Sender.join();
  Load.stop();
  report("4 shutdown", "the entry node of connected callers leaves",
         Left + "uploads " + Uploads.text() + "; lookups " + Lookups.text());
  BOOST_TEST(Uploads.Whole == 1);
  BOOST_TEST(Lookups.Broken == 0);
  BOOST_TEST(Lookups.Whole > 100);
}
