#include "TestMesh.h"
#include "FreePorts.h"

#include <Poco/File.h>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <fstream>

namespace lycheethread::platformtest {

namespace {

using harness::freePort;
using harness::HttpAnswer;
using harness::HttpCall;

constexpr std::chrono::milliseconds CheckInInterval{200};
constexpr std::chrono::milliseconds StartLimit{10000};
constexpr const char *DefaultBounds = "grace_s=6,drain_s=2.5";

std::int64_t unixNowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string endpoint(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

} // namespace

Instance::Instance(const InstanceSpec &Spec, std::uint16_t StorePort)
    : Spec_(Spec), StorePort_(StorePort),
      Upstream_(std::make_unique<UpstreamStandIn>()), OutboundPort_(freePort()),
      InboundPort_(freePort()), ReadinessPort_(freePort()),
      CheckInPort_(freePort()), GossipPort_(freePort()),
      MetricsPort_(freePort()), StartTimeMs_(unixNowMs()) {
  const std::string Directory = std::string(LYCHEE_TEST_OUTPUT) + "/platform";
  Poco::File(Directory).createDirectories();
  SettingsFile_ = Directory + "/" + Spec.Name + ".ini";
  LogFile_ = Directory + "/" + Spec.Name + ".log";
  std::ofstream(LogFile_).close();
  writeSettings(DefaultBounds);
  startNode();
  CheckInThread_ = std::thread([this] { runCheckIns(); });
}

Instance::~Instance() {
  Stopping_ = true;
  CheckInThread_.join();
}

void Instance::writeSettings(const std::string &Bounds) {
  std::ofstream(SettingsFile_)
      << "[node]\nid = " << Spec_.Name
      << "\nregion = east\nzone = " << Spec_.Zone
      << "\n[listen]\noutbound = " << endpoint(OutboundPort_)
      << "\ninbound = " << endpoint(InboundPort_)
      << "\nreadiness = " << endpoint(ReadinessPort_)
      << "\ncheck_ins = " << endpoint(CheckInPort_)
      << "\ngossip = " << endpoint(GossipPort_)
      << "\nmetrics = " << endpoint(MetricsPort_)
      << "\n[upstream]\naddress = " << endpoint(Upstream_->port())
      << "\nservice = " << Spec_.Service << "\ncheck_in_s = 1\n[store]\n"
      << "address = " << endpoint(StorePort_)
      << (Spec_.MaxHedgeShare == "0"
              ? ""
              : "\n[hedging]\nmax_share = " + Spec_.MaxHedgeShare)
      << (Spec_.MinFailedRuns == "0"
              ? ""
              : "\n[admission]\nmin_failed_runs = " + Spec_.MinFailedRuns)
      << "\n[platform]\nbounds = " << Bounds << "\n";
}

void Instance::writeMaxHedgeShare(const std::string &Share) {
  Spec_.MaxHedgeShare = Share;
  writeSettings(DefaultBounds);
}

void Instance::startNode() {
  Node_ = std::make_unique<harness::ChildProcess>(
      LYCHEE_BINARY,
      std::vector<std::string>{"node", "--settings", SettingsFile_}, LogFile_);
}

HttpCall Instance::call(const std::string &Path, const std::string &Id) const {
  HttpCall Request;
  Request.Port = OutboundPort_;
  Request.Path = Path;
  Request.Headers = {{"Host", "shop.example"},
                     {"X-Attempt-Id", Id.empty() ? "id" + Path : Id},
                     {"X-Deadline-Ms", "1500"}};
  return Request;
}

HttpAnswer Instance::get(const std::string &Path, const std::string &Id) {
  return harness::send(call(Path, Id));
}

HttpAnswer Instance::post(const std::string &Path, const std::string &Body,
                          const std::string &Id,
                          std::chrono::milliseconds Deadline) {
  HttpCall Request = call(Path, Id);
  Request.Headers["X-Deadline-Ms"] = std::to_string(Deadline.count());
  Request.Method = "POST";
  Request.Body = Body;
  return harness::send(Request);
}

bool Instance::isReady() {
  HttpCall Request;
  Request.Port = ReadinessPort_;
  Request.Path = "/readyz";
  return harness::send(Request).Status == 200;
}

std::string Instance::metrics() {
  HttpCall Request;
  Request.Port = MetricsPort_;
  Request.Path = "/metrics";
  return harness::send(Request).Body;
}

int Instance::tell(const std::string &Method, const std::string &Body) const {
  HttpCall Request;
  Request.Port = CheckInPort_;
  Request.Method = Method;
  Request.Path = "/instances/i-" + Spec_.Name;
  Request.Body = Body;
  if (!Body.empty())
    Request.Headers = {{"Content-Type", "application/json"}};
  return harness::send(Request).Status;
}

std::string Instance::checkInBody(const std::string &State,
                                  std::int64_t Sequence,
                                  std::int64_t StartTimeMs) const {
  return R"({"backend_service":")" + Spec_.Service + R"(","address":")" +
         endpoint(Upstream_->port()) + R"(","zone":")" + Spec_.Zone +
         R"(","version":")" + Spec_.Version + R"(","capacity":)" +
         std::to_string(Spec_.Capacity) + R"(,"state":")" + State +
         R"(","cold_remaining_s":)" + std::to_string(ColdRemaining_) +
         R"(,"sequence":)" + std::to_string(Sequence) + R"(,"born":)" +
         std::to_string(StartTimeMs) + "}";
}

int Instance::checkIn(const std::string &State) {
  return tell("PUT", checkInBody(State, ++Sequence_, StartTimeMs_));
}

int Instance::checkInLate(std::int64_t Sequence, std::int64_t StartTimeMs) {
  return tell("PUT", checkInBody("ready", Sequence, StartTimeMs));
}

void Instance::setNewProcess() { StartTimeMs_ = unixNowMs(); }

int Instance::leave() { return tell("DELETE", ""); }

void Instance::runCheckIns() {
  while (!Stopping_) {
    if (CheckInsEnabled_)
      checkIn(State_);
    std::this_thread::sleep_for(CheckInInterval);
  }
}

std::string configuration(int Version, const std::string &MoreRules,
                          const std::string &DeskFields) {
  const auto Rule = [](const std::string &Name, const std::string &Type,
                       const std::string &Service) {
    return R"({"name":")" + Name + R"(","type":")" + Type +
           R"(","target_latency_s":0.4,"priority":1,"match":{"path_prefix":"/)" +
           Name + R"(/"},"action":{"backend_service":")" + Service +
           R"(","timeout_s":1.2,"attempts":2}})";
  };
  return R"({"version":"r)" + std::to_string(Version) +
         R"(","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
         R"("header_timeout_s":3,"idle_timeout_s":15},"listeners":[)"
         R"({"hostname":"shop.example","policy":[)" +
         Rule("read", "idempotent", "desk") + "," +
         Rule("write", "non_idempotent", "desk") + "," +
         Rule("upload", "upload", "desk") + "," +
         Rule("other", "idempotent", "store") + MoreRules +
         R"(]}],"clusters":[{"name":"desk","max_connections":100)" +
         DeskFields +
         "},"
         R"({"name":"store","max_connections":100}]})";
}

bool holdsWithin(const std::function<bool()> &Condition,
                 std::chrono::milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

TestMesh::TestMesh(const std::vector<InstanceSpec> &Specs, int Version) {
  Store.put("keyed.op", "config", configuration(Version));
  for (const InstanceSpec &Spec : Specs)
    Instances.push_back(std::make_unique<Instance>(Spec, Store.port()));
  for (const auto &Item : Instances)
    BOOST_REQUIRE(holdsWithin([&] { return Item->isReady(); }, StartLimit));
  // A node is ready before its own upstream has checked in. Without this, a
  // test may find that the only registered upstream is the one that it drains.
  for (const auto &Item : Instances)
    BOOST_REQUIRE(Item->checkIn("ready") == 200);
  // Each node must know an upstream before a test checks single requests.
  for (const auto &Item : Instances)
    BOOST_REQUIRE(holdsWithin(
        [&] { return Item->get("/read/x").Status == 200; }, StartLimit));
}

} // namespace lycheethread::platformtest
