#include "UdpForward.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>

namespace lycheethread::testfault {

namespace {

constexpr std::size_t MaxFlows = 1024;
constexpr std::size_t MaxQueuedDatagrams = 65536;
constexpr int MaxDatagram = 65536;
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;

/// Receives a datagram without blocking; sets \p Received to false and returns
/// an empty string when there is none.
std::string receive(Poco::Net::DatagramSocket &From,
                    Poco::Net::SocketAddress &Sender, bool &Received) {
  std::array<char, MaxDatagram> Buffer{};
  Received = From.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  if (!Received)
    return {};
  try {
    const int Bytes = From.receiveFrom(Buffer.data(), MaxDatagram, Sender);
    return std::string(Buffer.data(), static_cast<std::size_t>(Bytes));
  } catch (const Poco::Exception &) {
    // ICMP error for an earlier datagram: the target is down.
    return {};
  }
}

/// Returns the rule that applies to datagrams from and to \p Client.
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
  if (!Queue_.empty())
    WakeAt = std::min(WakeAt, Queue_.begin()->first);
}

Poco::Net::DatagramSocket &
UdpForward::flowFor(const Poco::Net::SocketAddress &Client) {
  const auto It = Flows_.find(Client);
  if (It != Flows_.end())
    return It->second;
  if (Flows_.size() >= MaxFlows)
    Flows_.clear();
  Poco::Net::DatagramSocket NewFlow(Poco::Net::SocketAddress(Target_.host(), 0),
                                    false);
  return Flows_.emplace(Client, NewFlow).first->second;
}

void UdpForward::enqueue(const FaultRule &Rule, Datagram Item,
                         std::mt19937 &Random) {
  if (Rule.Mode != FaultMode::Pass || Queue_.size() >= MaxQueuedDatagrams)
    return;
  std::int64_t DueTime =
      steadyMicroseconds() + Rule.DelayMs * MicrosecondsPerMillisecond;
  if (Rule.JitterMs > 0)
    DueTime += std::uniform_int_distribution<std::int64_t>(
        0, Rule.JitterMs * MicrosecondsPerMillisecond)(Random);
  Queue_.emplace(DueTime, std::move(Item));
}

void UdpForward::receiveAll(ForwardState &State, std::mt19937 &Random) {
  bool Received = true;
  while (Received) {
    Poco::Net::SocketAddress Client;
    const std::string Data = receive(Listener_, Client, Received);
    if (Data.empty())
      continue;
    State.Totals.BytesUp += static_cast<std::int64_t>(Data.size());
    enqueue(ruleFor(State.Up, Client), {flowFor(Client), Target_, Data},
            Random);
  }
  for (auto &[Client, Flow] : Flows_)
    for (Received = true; Received;) {
      Poco::Net::SocketAddress Sender;
      const std::string Data = receive(Flow, Sender, Received);
      if (Data.empty())
        continue;
      State.Totals.BytesDown += static_cast<std::int64_t>(Data.size());
      enqueue(ruleFor(State.Down, Client), {Listener_, Client, Data}, Random);
    }
}

void UdpForward::sendDue() {
  while (!Queue_.empty() && Queue_.begin()->first <= steadyMicroseconds()) {
    Datagram &Next = Queue_.begin()->second;
    try {
      Next.Socket.sendTo(Next.Data.data(), static_cast<int>(Next.Data.size()),
                         Next.To);
    } catch (const Poco::Exception &) {
      // A datagram to a closed port is lost, as in a network.
    }
    Queue_.erase(Queue_.begin());
  }
}

void UdpForward::process(ForwardState &State, std::mt19937 &Random) {
  receiveAll(State, Random);
  sendDue();
}

} // namespace lycheethread::testfault
