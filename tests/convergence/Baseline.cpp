#include "convergence/Baseline.h"

#include "convergence/Phase.h"

#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

namespace lycheethread::convergence {

namespace {

constexpr Milliseconds PollWait{3000};
/// "GET /streams/control?from=...&max=64&wait_ms=3000 HTTP/1.1" with a Host
/// line; status line, three header lines and the JSON around the records.
constexpr std::int64_t RequestBytes = 110;
constexpr std::int64_t ResponseBytes = 180;
constexpr std::int64_t RecordEnvelope = 30;

struct Reader {
  std::atomic<std::int64_t> Position{0};
  std::atomic<std::int64_t> Bytes{0};
  std::thread Worker;
};

void follow(Reader &Self, peer::MemoryLog &Log,
            const std::atomic<bool> &Stopping) {
  const streamlog::LogClient Client = Log.client();
  while (!Stopping) {
    const auto Batch =
        Client.Read(StreamName("control"), Offset(Self.Position), 64, PollWait);
    std::int64_t Bytes = RequestBytes + ResponseBytes;
    for (const streamlog::LogRecord &Item : Batch.Records)
      Bytes += RecordEnvelope +
               static_cast<std::int64_t>((Item.Data.size() + 2) / 3 * 4);
    Self.Bytes += Bytes;
    Self.Position += static_cast<std::int64_t>(Batch.Records.size());
  }
}

std::int64_t sumOf(const std::vector<Reader> &Readers) {
  std::int64_t Sum = 0;
  for (const Reader &Each : Readers)
    Sum += Each.Bytes;
  return Sum;
}

void print(const char *Title, std::int64_t Bytes, double Seconds,
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
        std::thread([&Each, &Log, &Stopping] { follow(Each, Log, Stopping); });
  std::this_thread::sleep_for(std::chrono::duration<double>(IdleSeconds));
  const std::int64_t Idle = sumOf(Readers);
  print("idle", Idle, IdleSeconds, Nodes);
  std::vector<double> Times;
  const auto Begin = std::chrono::steady_clock::now();
  for (int Change = 0; Change < Changes; ++Change) {
    const auto At = std::chrono::steady_clock::now();
    Log.append("control", std::string(ChangeBytes, 'x'));
    for (const Reader &Each : Readers)
      while (Each.Position <= Change)
        std::this_thread::sleep_for(std::chrono::microseconds(200));
    Times.push_back(std::chrono::duration<double, std::milli>(
                        std::chrono::steady_clock::now() - At)
                        .count());
    std::this_thread::sleep_until(At + std::chrono::seconds(1));
  }
  const double Seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Begin)
          .count();
  print("at 1 change a second", sumOf(Readers) - Idle, Seconds, Nodes);
  printTimes("baseline convergence", Times);
  Stopping = true;
  Log.append("control", "end");
  for (Reader &Each : Readers)
    Each.Worker.join();
}

} // namespace lycheethread::convergence
