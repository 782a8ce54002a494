#include "peer/internal/SeedFinder.h"

#include "peer/internal/Wire.h"

#include <boost/log/trivial.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace lycheethread::peer {

namespace {

constexpr std::size_t MaxJoinRecords = 200;
constexpr std::size_t MaxSeedsReturned = 6;

} // namespace

SeedFinder::SeedFinder(PeerContext &Context) : Context_(Context) {}

std::vector<Member> SeedFinder::find(int Attempt) {
  std::vector<Member> Found;
  for (const Endpoint &Seed : Context_.Settings.Seeds) {
    Member Unknown;
    Unknown.Id = NodeId(Seed.Address + ':' + std::to_string(Seed.Port));
    Unknown.Control = Seed;
    Found.push_back(std::move(Unknown));
  }
  if (Attempt > 0 || Found.empty())
    for (Member &Each : fromLog())
      Found.push_back(std::move(Each));
  Endpoint Own;
  std::uint64_t Seed = 0;
  {
    const std::lock_guard<std::mutex> Guard(Context_.Lock);
    Own = Context_.Table.Self.Control;
    Seed = distribution::nextRandom(Context_.Feed.Seed);
  }
  Found.erase(
      std::remove_if(Found.begin(), Found.end(),
                     [&](const Member &Each) { return Each.Control == Own; }),
      Found.end());
  for (std::size_t Left = Found.size(); Left > 1; --Left)
    std::swap(Found[Left - 1], Found[distribution::randomBelow(Seed, Left)]);
  if (Found.size() > MaxSeedsReturned)
    Found.resize(MaxSeedsReturned);
  return Found;
}

std::vector<Member> SeedFinder::fromLog() {
  std::vector<Member> Found;
  try {
    const StreamName Stream("members");
    const streamlog::StreamBounds Bounds = Context_.Log->Bounds(Stream);
    const auto Wanted = static_cast<std::int64_t>(MaxJoinRecords);
    const Offset From(
        std::max(Bounds.First.value(), Bounds.Next.value() - Wanted));
    const streamlog::LogBatch Batch =
        Context_.Log->Read(Stream, From, MaxJoinRecords, Milliseconds(0));
    std::set<NodeId> Seen;
    for (auto It = Batch.Records.rbegin(); It != Batch.Records.rend(); ++It) {
      Member Each = decodeJoin(It->Data);
      if (Each.Id != Context_.Settings.Id && Seen.insert(Each.Id).second)
        Found.push_back(std::move(Each));
    }
  } catch (const std::exception &Problem) {
    BOOST_LOG_TRIVIAL(debug)
        << "peer: join records cannot be read: " << Problem.what();
  }
  return Found;
}

} // namespace lycheethread::peer
