#include "sidecar/internal/CrashProbe.h"

namespace lycheethread::sidecar {

namespace {

/// The upstream runs on the same instance.
constexpr Milliseconds ConnectTimeout{500};
/// Connections that broke within this time before a failed probe are attributed
/// to the same crash.
constexpr Milliseconds CrashWindow{1000};
constexpr std::size_t MaxReportedCrashes = 16;

} // namespace

CrashProbe::CrashProbe(NodeContext &Context, ConnectionPool &Pool,
                       std::function<void()> OnDown)
    : Context_(Context), Pool_(Pool), OnDown_(std::move(OnDown)) {}

void CrashProbe::recordAnswered(
    const requests::Fingerprint &RequestFingerprint) {
  if (!RequestFingerprint.empty())
    requests::recordAnswered(Answered_, RequestFingerprint, Context_.now());
}

void CrashProbe::recordBrokenConnection(
    const requests::Fingerprint &RequestFingerprint) {
  if (RequestFingerprint.empty())
    return;
  Broken_.emplace_back(RequestFingerprint, Context_.now());
  if (Probe_)
    return;
  // A single connection may break for other reasons; the upstream has crashed
  // if it accepts no new connection.
  Probe_ = ClientConnection::open(Context_.Loop, Context_.Registered.Address,
                                  ConnectTimeout);
  Probe_->OnConnected = [this] { onConnected(); };
  Probe_->OnIdleEnd = [this] { onConnectFailed(); };
}

void CrashProbe::onConnected() {
  const ClientConnectionPtr Kept = std::move(Probe_);
  Probe_ = nullptr;
  Broken_.clear();
  Context_.Loop.defer([this, Kept] {
    Kept->OnConnected = nullptr;
    Kept->OnIdleEnd = nullptr;
    Pool_.recycle(Kept);
  });
}

void CrashProbe::onConnectFailed() {
  const ClientConnectionPtr Kept = std::move(Probe_);
  Probe_ = nullptr;
  // Stays alive until its own callback has returned.
  Context_.Loop.defer([Kept] {});
  OnDown_();
  recordNoConnection();
}

void CrashProbe::recordNoConnection() {
  if (Broken_.empty())
    return;
  const SteadyTime Now = Context_.now();
  const mesh::UpstreamId &Upstream = Context_.Registered.Current.Id;
  const requests::CrashId Crash(Context_.Settings.Id.str() + "/" +
                                Upstream.str() + "/" +
                                std::to_string(++Crashes_));
  std::size_t Suspects = 0;
  for (const auto &[RequestFingerprint, At] : Broken_) {
    if (elapsed(At, Now) > CrashWindow)
      continue;
    const auto Weight =
        requests::crashWeight(Answered_, RequestFingerprint, Now);
    requests::recordCrashSuspect(Context_.Suspects, RequestFingerprint, Crash,
                                 Weight, Now);
    Context_.OwnCrashes.push_back({RequestFingerprint, Crash, Weight});
    ++Suspects;
  }
  Broken_.clear();
  std::vector<mesh::CrashSuspectReport> &Reported = Context_.OwnCrashes;
  if (Reported.size() > MaxReportedCrashes)
    Reported.erase(Reported.begin(),
                   Reported.end() -
                       static_cast<std::ptrdiff_t>(MaxReportedCrashes));
  Context_.Log.write(
      LogClass::State, Now, "upstream-crashed",
      {{"upstream", Upstream.str()}, {"suspects", std::to_string(Suspects)}});
}

void CrashProbe::reset() { Answered_ = {}; }

} // namespace lycheethread::sidecar
