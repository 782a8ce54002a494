#include "TcpForward.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace lycheethread::testfault {

namespace {

constexpr int Backlog = 256;
constexpr std::size_t MaxConnections = 1024;
constexpr int ConnectTimeoutMs = 500;

bool isReset(const ForwardState &State) {
  return State.Up.Mode == FaultMode::Reset ||
         State.Down.Mode == FaultMode::Reset;
}

void reset(Poco::Net::StreamSocket &Socket) {
  // With a linger time of 0, close sends RST.
  Socket.setLinger(true, 0);
  Socket.close();
}

void addRead(std::vector<pollfd> &Polled,
             const Poco::Net::StreamSocket &Socket) {
  Polled.push_back({Socket.impl()->sockfd(), POLLIN, 0});
}

void lowerWakeTime(std::int64_t &WakeAt, std::int64_t DueTime) {
  if (DueTime >= 0)
    WakeAt = std::min(WakeAt, DueTime);
}

} // namespace

TcpForward::TcpForward(const ForwardSpec &Spec) : Target_(Spec.Target) {
  Listener_.bind(Poco::Net::SocketAddress(Spec.Listen), true);
  Listener_.listen(Backlog);
}

void TcpForward::prepare(const ForwardState &State, std::vector<pollfd> &Polled,
                         std::int64_t &WakeAt) const {
  if (Connections_.size() < MaxConnections)
    Polled.push_back({Listener_.impl()->sockfd(), POLLIN, 0});
  for (const Connection &Each : Connections_) {
    if (Each.Up.wantsRead(State.Up))
      addRead(Polled, Each.Client);
    if (Each.Down.wantsRead(State.Down))
      addRead(Polled, Each.Server);
    lowerWakeTime(WakeAt, Each.Up.nextDueTime());
    lowerWakeTime(WakeAt, Each.Down.nextDueTime());
  }
}

void TcpForward::acceptNew(ForwardState &State) {
  while (Connections_.size() < MaxConnections &&
         Listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    Poco::Net::StreamSocket Client = Listener_.acceptConnection();
    if (isReset(State)) {
      reset(Client);
      continue;
    }
    Poco::Net::StreamSocket Server;
    try {
      Server.connect(Target_,
                     Poco::Timespan(std::int64_t(ConnectTimeoutMs) * 1000));
    } catch (const Poco::Exception &) {
      reset(Client);
      continue;
    }
    Client.setNoDelay(true);
    Server.setNoDelay(true);
    ++State.Totals.Connections;
    Connections_.push_back(
        {Client, Server, Pipe(Client, Server), Pipe(Server, Client)});
  }
}

bool TcpForward::step(Connection &Link, ForwardState &State,
                      std::mt19937 &Random) {
  if (isReset(State))
    return false;
  if (Link.Up.wantsRead(State.Up) &&
      Link.Up.readSome(State.Up, Random) == Pipe::State::Reset)
    return false;
  if (Link.Down.wantsRead(State.Down) &&
      Link.Down.readSome(State.Down, Random) == Pipe::State::Reset)
    return false;
  if (Link.Up.writeDueChunks(State.Up, State.Totals.BytesUp) ==
          Pipe::State::Reset ||
      Link.Down.writeDueChunks(State.Down, State.Totals.BytesDown) ==
          Pipe::State::Reset)
    return false;
  return true;
}

void TcpForward::process(ForwardState &State, std::mt19937 &Random) {
  acceptNew(State);
  for (auto Current = Connections_.begin(); Current != Connections_.end();) {
    if (!step(*Current, State, Random)) {
      reset(Current->Client);
      reset(Current->Server);
      Current = Connections_.erase(Current);
    } else if (Current->Up.isFinished() && Current->Down.isFinished()) {
      Current = Connections_.erase(Current);
    } else {
      ++Current;
    }
  }
}

} // namespace lycheethread::testfault
