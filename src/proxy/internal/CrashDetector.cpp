#include "proxy/internal/CrashDetector.h"
#include "proxy/internal/Clock.h"
#include "proxy/internal/HttpConnection.h"
#include "proxy/internal/WireFormat.h"

#include <boost/log/trivial.hpp>

#include <array>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace lycheethread::proxy {

namespace {

const std::string CrashTopic = "crash";
constexpr Milliseconds CheckTimeout{200};
/// Delays before the connection checks. A terminating process may close its
/// connections before its listening socket, so a single early check may still
/// succeed.
constexpr std::array<Milliseconds, 3> CheckDelays{
    Milliseconds(0), Milliseconds(10), Milliseconds(40)};

struct RunningRequest {
  requests::Fingerprint RequestFingerprint;
  bool Reported = false;
};

} // namespace

struct CrashDetector::Impl {
  std::shared_ptr<peer::PeerControl> Peers;
  Endpoint Upstream;
  mutable std::mutex Lock;
  requests::SuspectTable Table;
  requests::AnsweredTable Answered;
  std::map<std::int64_t, RunningRequest> Running;
  std::int64_t LastTicket = 0;
  std::int64_t Crashes = 0;

  bool isDown() const {
    for (const Milliseconds Delay : CheckDelays) {
      std::this_thread::sleep_for(Delay);
      if (!acceptsConnections())
        return true;
    }
    return false;
  }

  bool acceptsConnections() const {
    try {
      HttpConnection::connect(Upstream, after(steadyNow(), CheckTimeout));
      return true;
    } catch (const std::exception &) {
      return false;
    }
  }

  std::set<requests::Fingerprint> collectUnreported() {
    std::set<requests::Fingerprint> Fingerprints;
    for (auto &[Ticket, Item] : Running) {
      if (!Item.Reported)
        Fingerprints.insert(Item.RequestFingerprint);
      Item.Reported = true;
    }
    return Fingerprints;
  }

  std::vector<CrashReport> report() {
    const Member Self = Peers->Self();
    const std::lock_guard<std::mutex> Guard(Lock);
    std::vector<CrashReport> Reports;
    const auto Fingerprints = collectUnreported();
    if (Fingerprints.empty())
      return Reports;
    const requests::CrashId Crash(
        Self.Id.str() + "/" + std::to_string(Self.IncarnationNumber.value()) +
        "/" + std::to_string(++Crashes));
    for (const requests::Fingerprint &RequestFingerprint : Fingerprints) {
      const auto Weight =
          requests::crashWeight(Answered, RequestFingerprint, steadyNow());
      requests::recordCrashSuspect(Table, RequestFingerprint, Crash, Weight,
                                   steadyNow());
      Reports.push_back({RequestFingerprint, Crash, Weight});
    }
    return Reports;
  }
};

CrashDetector::CrashDetector(std::shared_ptr<peer::PeerControl> Peers,
                             Endpoint Upstream)
    : Impl_(std::make_shared<Impl>()) {
  Impl_->Peers = std::move(Peers);
  Impl_->Upstream = std::move(Upstream);
  const std::weak_ptr<Impl> Weak = Impl_;
  Impl_->Peers->OnRumour(CrashTopic, [Weak](const std::string &Payload) {
    const auto Shared = Weak.lock();
    const auto Report = decodeCrash(Payload);
    if (!Shared || !Report)
      return;
    const std::lock_guard<std::mutex> Guard(Shared->Lock);
    requests::recordCrashSuspect(Shared->Table, Report->RequestFingerprint,
                                 Report->Crash, Report->Weight, steadyNow());
  });
}

CrashDetector::~CrashDetector() = default;

bool CrashDetector::isQuarantined(
    const requests::Fingerprint &RequestFingerprint) const {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  return requests::isQuarantined(Impl_->Table, RequestFingerprint, steadyNow());
}

std::int64_t
CrashDetector::started(const requests::Fingerprint &RequestFingerprint) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->Running.emplace(++Impl_->LastTicket,
                         RunningRequest{RequestFingerprint, false});
  return Impl_->LastTicket;
}

void CrashDetector::ended(std::int64_t Ticket, bool Answered) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  const auto It = Impl_->Running.find(Ticket);
  if (Answered && It != Impl_->Running.end())
    requests::recordAnswered(Impl_->Answered, It->second.RequestFingerprint,
                             steadyNow());
  Impl_->Running.erase(Ticket);
}

bool CrashDetector::onConnectionBroken(std::int64_t Ticket) {
  {
    const std::lock_guard<std::mutex> Guard(Impl_->Lock);
    const auto It = Impl_->Running.find(Ticket);
    if (It != Impl_->Running.end() && It->second.Reported)
      return true;
  }
  if (!Impl_->isDown())
    return false;
  const std::vector<CrashReport> Reports = Impl_->report();
  for (const CrashReport &Report : Reports)
    Impl_->Peers->Broadcast(CrashTopic, encodeCrash(Report));
  if (!Reports.empty())
    BOOST_LOG_TRIVIAL(warning)
        << "proxy: the upstream crashed with " << Reports.size()
        << " different requests in progress";
  return true;
}

} // namespace lycheethread::proxy
