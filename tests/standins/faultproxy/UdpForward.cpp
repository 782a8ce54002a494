#include "UdpForward.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>

namespace lycheethread::testfault {

namespace {

constexpr std::size_t MaxFlows = 1024;
constexpr std::size_t MaxWaiting = 65536;
constexpr int MaxDatagram = 65536;
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;

/// Empty without a sender when nothing is there.
std::string receive(Poco::Net::DatagramSocket &From,
                    Poco::Net::SocketAddress &Sender, bool &Got) {
  std::array<char, MaxDatagram> Buffer{};
  Got = From.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  if (!Got)
    return {};
  try {
    const int Bytes = From.receiveFrom(Buffer.data(), MaxDatagram, Sender);
    return std::string(Buffer.data(), static_cast<std::size_t>(Bytes));
  } catch (const Poco::Exception &) {
    // An ICMP error of an earlier datagram: the target is down.
    return {};
  }
}

/// The rule as it applies to datagrams from and to \p Client.
FaultRule ruleFor(const FaultRule &Rule,
                  const Poco::Net::SocketAddress &Client) {
  const bool Applies =
      Rule.From.empty() || Rule.From == Client.host().toString();
  return Applies ? Rule : FaultRule();
}

} // namespace

UdpForward::UdpForward(const ForwardSpec &Spec)
    : Listener_(Poco::Net::SocketAddress(Spec.Listen), true),
      Target_(Spec.Target) {}

void UdpForward::prepare(std::vector<pollfd> &Polled,
                         std::int64_t &WakeAt) const {
  Polled.push_back({Listener_.impl()->sockfd(), POLLIN, 0});
  for (const auto &Flow : Flows_)
    Polled.push_back({Flow.second.impl()->sockfd(), POLLIN, 0});
  if (!Waiting_.empty())
    WakeAt = std::min(WakeAt, Waiting_.begin()->first);
}

Poco::Net::DatagramSocket &
UdpForward::flowOf(const Poco::Net::SocketAddress &Client) {
  const auto It = Flows_.find(Client);
  if (It != Flows_.end())
    return It->second;
  if (Flows_.size() >= MaxFlows)
    Flows_.clear();
  Poco::Net::DatagramSocket Made(Poco::Net::SocketAddress(Target_.host(), 0),
                                 false);
  return Flows_.emplace(Client, Made).first->second;
}

void UdpForward::queue(const FaultRule &Rule, Datagram Item,
                       std::mt19937 &Random) {
  if (Rule.Mode != FaultMode::Pass || Waiting_.size() >= MaxWaiting)
    return;
  std::int64_t Due =
      steadyMicroseconds() + Rule.DelayMs * MicrosecondsPerMillisecond;
  if (Rule.JitterMs > 0)
    Due += std::uniform_int_distribution<std::int64_t>(
        0, Rule.JitterMs * MicrosecondsPerMillisecond)(Random);
  Waiting_.emplace(Due, std::move(Item));
}

void UdpForward::receiveAll(ForwardState &State, std::mt19937 &Random) {
  bool Got = true;
  while (Got) {
    Poco::Net::SocketAddress Client;
    const std::string Data = receive(Listener_, Client, Got);
    if (Data.empty())
      continue;
    State.Totals.BytesUp += static_cast<std::int64_t>(Data.size());
    queue(ruleFor(State.Up, Client), {flowOf(Client), Target_, Data}, Random);
  }
  for (auto &[Client, Flow] : Flows_)
    for (Got = true; Got;) {
      Poco::Net::SocketAddress Sender;
      const std::string Data = receive(Flow, Sender, Got);
      if (Data.empty())
        continue;
      State.Totals.BytesDown += static_cast<std::int64_t>(Data.size());
      queue(ruleFor(State.Down, Client), {Listener_, Client, Data}, Random);
    }
}

void UdpForward::sendDue() {
  while (!Waiting_.empty() && Waiting_.begin()->first <= steadyMicroseconds()) {
    Datagram &First = Waiting_.begin()->second;
    try {
      First.Through.sendTo(First.Data.data(),
                           static_cast<int>(First.Data.size()), First.To);
    } catch (const Poco::Exception &) {
      // A datagram to a closed port is lost, as on a network.
    }
    Waiting_.erase(Waiting_.begin());
  }
}

void UdpForward::work(ForwardState &State, std::mt19937 &Random) {
  receiveAll(State, Random);
  sendDue();
}

} // namespace lycheethread::testfault
