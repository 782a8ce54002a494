#include "TrafficGenerator.h"

#include <iomanip>
#include <map>
#include <sstream>

namespace lycheethread::failures {

namespace {

using namespace harness;

constexpr int ThreadCount = 10;
constexpr std::chrono::milliseconds CallInterval{30};

HttpCall makeRandomCall(std::mt19937_64 &Random) {
  HttpCall Call;
  Call.Headers["Host"] = "desk";
  Call.Timeout = std::chrono::milliseconds(500);
  const auto Kind = std::uniform_int_distribution<int>(0, 9)(Random);
  Call.Path = Kind < 6 ? "/tickets" : Kind < 9 ? "/berths" : "/releases";
  if (Kind == 9)
    Call.Method = "POST";
  return Call;
}

bool isBad(const CallResult &Seen) {
  return Seen.Version == "v2" &&
         (Seen.Status >= 500 || Seen.LatencyMs >= TrafficGenerator::SlowCallMs);
}

} // namespace

TrafficGenerator::TrafficGenerator(const Fleet &UsedFleet) : Fleet_(UsedFleet) {
  for (int I = 0; I < ThreadCount; ++I)
    Threads_.emplace_back(
        [this, I] { run(seed() * 100 + static_cast<std::uint64_t>(I)); });
}

TrafficGenerator::~TrafficGenerator() {
  Stopped_ = true;
  for (std::thread &Each : Threads_)
    Each.join();
}

void TrafficGenerator::run(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  while (!Stopped_) {
    HttpCall Call = makeRandomCall(Random);
    const auto Last = static_cast<int>(Fleet_.Nodes.size()) - 1;
    Call.Port = Fleet_
                    .Nodes[static_cast<std::size_t>(
                        std::uniform_int_distribution<int>(0, Last)(Random))]
                    ->RequestPort;
    CallResult Result;
    Result.Route = Call.Path;
    Result.Sent = Clock::now();
    const HttpAnswer Answer = send(Call);
    Result.Ended = Clock::now();
    Result.Status = Answer.Status;
    Result.Version = Answer.header("x-version");
    Result.Reason = Answer.header("lt-reason");
    Result.LatencyMs = Answer.Took.count();
    {
      const std::lock_guard<std::mutex> Guard(Lock_);
      Results_.push_back(std::move(Result));
    }
    std::this_thread::sleep_for(CallInterval);
  }
}

std::vector<CallResult>
TrafficGenerator::resultsSince(Clock::time_point From) const {
  const std::lock_guard<std::mutex> Guard(Lock_);
  std::vector<CallResult> Result;
  for (const CallResult &Each : Results_)
    if (Each.Sent >= From)
      Result.push_back(Each);
  return Result;
}

std::int64_t TrafficGenerator::callsToNewVersion(Clock::time_point From) const {
  std::int64_t Count = 0;
  for (const CallResult &Each : resultsSince(From))
    Count += Each.Version == "v2" ? 1 : 0;
  return Count;
}

Exposure TrafficGenerator::exposure(Clock::time_point From) const {
  const std::vector<CallResult> Seen = resultsSince(From);
  Exposure Result;
  Clock::time_point FirstBad = Clock::time_point::max();
  for (const CallResult &Each : Seen)
    if (isBad(Each)) {
      ++Result.Bad;
      FirstBad = std::min(FirstBad, Each.Ended);
    }
  for (const CallResult &Each : Seen) {
    if (Each.Version != "v2" || Each.Ended < FirstBad)
      continue;
    ++Result.Calls;
    const std::chrono::duration<double> Since = Each.Sent - FirstBad;
    Result.Seconds = std::max(Result.Seconds, Since.count());
  }
  return Result;
}

std::string describe(const Exposure &Seen) {
  std::ostringstream Out;
  Out << Seen.Calls << " calls to v2 from the first bad answer on, " << Seen.Bad
      << " of them bad, first bad answer to last call " << std::fixed
      << std::setprecision(1) << Seen.Seconds << " s";
  return Out.str();
}

std::string describe(const std::vector<CallResult> &Seen) {
  std::map<std::string, int> Counts;
  for (const CallResult &Each : Seen)
    ++Counts[std::to_string(Each.Status) +
             (Each.Reason.empty() ? "" : " " + Each.Reason)];
  std::string Text;
  for (const auto &[Outcome, Count] : Counts)
    Text += (Text.empty() ? "" : ", ") + Outcome + ": " + std::to_string(Count);
  return Text;
}

} // namespace lycheethread::failures
