#include "convergence/Baseline.h"

#include "convergence/Phase.h"

#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

namespace lycheethread::convergence {

namespace {

constexpr Milliseconds PollTimeout{3000};
/// Size of the request "GET /streams/control?from=...&max=64&wait_ms=3000
/// HTTP/1.1" with a Host header, and size of a response without records: status
/// line, three headers and the JSON around the records.
constexpr std::int64_t RequestBytes = 110;
constexpr std::int64_t ResponseBytes = 180;
constexpr std::int64_t RecordEnvelope = 30;

struct Reader {
  std::atomic<std::int64_t> Position{0};
  std::atomic<std::int64_t> Bytes{0};
  std::thread Worker;
};

void pollLog(Reader &Owner, peer::MemoryLog &Log,
             const std::atomic<bool> &Stopping) {
  const streamlog::LogClient Client = Log.client();
  while (!Stopping) {
    const auto Batch = Client.Read(StreamName("control"),
                                   Offset(Owner.Position), 64, PollTimeout);
    std::int64_t Bytes = RequestBytes + ResponseBytes;
    for (const streamlog::LogRecord &Item : Batch.Records)
      Bytes += RecordEnvelope +
               static_cast<std::int64_t>((Item.Data.size() + 2) / 3 * 4);
    Owner.Bytes += Bytes;
    Owner.Position += static_cast<std::int64_t>(Batch.Records.size());
  }
}

std::int64_t totalBytes(const std::vector<Reader> &Readers) {
  std::int64_t Total = 0;
  for (const Reader &Each : Readers)
    Total += Each.Bytes;
  return Total;
}

void printRates(const char *Title, std::int64_t Bytes, double Seconds,
                std::size_t Nodes) {
  const double Rate = static_cast<double>(Bytes) / Seconds;
  std::printf("baseline %s: log sent and received %.1f B/s per node, between "
              "the regions %.1f B/s in all\n",
              Title, Rate / static_cast<double>(Nodes), Rate / 2);
}

} // namespace

void runBaseline(std::size_t Nodes, int Changes, std::size_t ChangeBytes) {
  constexpr double IdleSeconds = 10;
  peer::MemoryLog Log;
  std::atomic<bool> Stopping{false};
  std::vector<Reader> Readers(Nodes);
  for (Reader &Each : Readers)
    Each.Worker =
        std::thread([&Each, &Log, &Stopping] { pollLog(Each, Log, Stopping); });
  std::this_thread::sleep_for(std::chrono::duration<double>(IdleSeconds));
  const std::int64_t IdleBytes = totalBytes(Readers);
  printRates("idle", IdleBytes, IdleSeconds, Nodes);
  std::vector<double> Durations;
  const auto PhaseStart = std::chrono::steady_clock::now();
  for (int Change = 0; Change < Changes; ++Change) {
    const auto Start = std::chrono::steady_clock::now();
    Log.append("control", std::string(ChangeBytes, 'x'));
    for (const Reader &Each : Readers)
      while (Each.Position <= Change)
        std::this_thread::sleep_for(std::chrono::microseconds(200));
    Durations.push_back(std::chrono::duration<double, std::milli>(
                            std::chrono::steady_clock::now() - Start)
                            .count());
    std::this_thread::sleep_until(Start + std::chrono::seconds(1));
  }
  const double Seconds = std::chrono::duration<double>(
                             std::chrono::steady_clock::now() - PhaseStart)
                             .count();
  printRates("at 1 change a second", totalBytes(Readers) - IdleBytes, Seconds,
             Nodes);
  printTimes("baseline convergence", Durations);
  Stopping = true;
  Log.append("control", "end");
  for (Reader &Each : Readers)
    Each.Worker.join();
}

} // namespace lycheethread::convergence
