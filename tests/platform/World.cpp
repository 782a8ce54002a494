#include "World.h"
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

std::string endpoint(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

} // namespace

Instance::Instance(const InstancePlan &Plan, std::uint16_t StorePort)
    : Plan_(Plan), StorePort_(StorePort),
      Upstream_(std::make_unique<UpstreamStandIn>()), Outbound_(freePort()),
      Inbound_(freePort()), Readiness_(freePort()), CheckIns_(freePort()),
      Gossip_(freePort()),
      Born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  const std::string Folder = std::string(LYCHEE_TEST_OUTPUT) + "/platform";
  Poco::File(Folder).createDirectories();
  Settings_ = Folder + "/" + Plan.Name + ".ini";
  LogFile_ = Folder + "/" + Plan.Name + ".log";
  std::ofstream(LogFile_).close();
  std::ofstream(Settings_) << "[node]\nid = " << Plan.Name
                           << "\nregion = east\nzone = " << Plan.Zone
                           << "\n[listen]\noutbound = " << endpoint(Outbound_)
                           << "\ninbound = " << endpoint(Inbound_)
                           << "\nreadiness = " << endpoint(Readiness_)
                           << "\ncheck_ins = " << endpoint(CheckIns_)
                           << "\ngossip = " << endpoint(Gossip_)
                           << "\n[upstream]\naddress = "
                           << endpoint(Upstream_->port())
                           << "\nservice = " << Plan.Service
                           << "\ncheck_in_s = 1\n[store]\n"
                           << "address = " << endpoint(StorePort_)
                           << "\n[platform]\nbounds = grace_s=6,drain_s=2.5\n";
  startNode();
  Checker_ = std::thread([this] { checkInAll(); });
}

Instance::~Instance() {
  Ending_ = true;
  Checker_.join();
}

void Instance::startNode() {
  Node_ = std::make_unique<harness::ChildProcess>(
      LYCHEE_BINARY, std::vector<std::string>{"node", "--settings", Settings_},
      LogFile_);
}

HttpCall Instance::call(const std::string &Path, const std::string &Id) const {
  HttpCall Made;
  Made.Port = Outbound_;
  Made.Path = Path;
  Made.Headers = {{"Host", "shop.example"},
                  {"X-Attempt-Id", Id.empty() ? "id" + Path : Id},
                  {"X-Deadline-Ms", "1500"}};
  return Made;
}

HttpAnswer Instance::get(const std::string &Path, const std::string &Id) {
  return harness::send(call(Path, Id));
}

HttpAnswer Instance::post(const std::string &Path, const std::string &Body,
                          const std::string &Id) {
  HttpCall Made = call(Path, Id);
  Made.Method = "POST";
  Made.Body = Body;
  return harness::send(Made);
}

bool Instance::isReady() {
  HttpCall Made;
  Made.Port = Readiness_;
  Made.Path = "/readyz";
  return harness::send(Made).Status == 200;
}

int Instance::checkIn(const std::string &State) {
  HttpCall Made;
  Made.Port = CheckIns_;
  Made.Method = "PUT";
  Made.Path = "/instances/i-" + Plan_.Name;
  Made.Headers = {{"Content-Type", "application/json"}};
  Made.Body =
      R"({"backend_service":")" + Plan_.Service + R"(","address":")" +
      endpoint(Upstream_->port()) + R"(","zone":")" + Plan_.Zone +
      R"(","version":")" + Plan_.Version + R"(","capacity":4,"state":")" +
      State + R"(","cold_remaining_s":0,"sequence":)" +
      std::to_string(++Sequence_) + R"(,"born":)" + std::to_string(Born_) + "}";
  return harness::send(Made).Status;
}

void Instance::checkInAll() {
  while (!Ending_) {
    if (CheckingIn_)
      checkIn(State_);
    std::this_thread::sleep_for(CheckInInterval);
  }
}

std::string configuration(int Version, const std::string &MoreRules) {
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
         R"(]}],"clusters":[{"name":"desk","max_connections":100},)"
         R"({"name":"store","max_connections":100}]})";
}

bool becomes(const std::function<bool()> &Condition,
             std::chrono::milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

World::World(const std::vector<InstancePlan> &Plans, int Version) {
  Store.put("keyed.op", "config", configuration(Version));
  for (const InstancePlan &Plan : Plans)
    Instances.push_back(std::make_unique<Instance>(Plan, Store.port()));
  for (const auto &Item : Instances)
    BOOST_REQUIRE(becomes([&] { return Item->isReady(); }, StartLimit));
  // Each node must know an upstream before a test looks at one request.
  for (const auto &Item : Instances)
    BOOST_REQUIRE(becomes([&] { return Item->get("/read/x").Status == 200; },
                          StartLimit));
}

} // namespace lycheethread::platformtest
