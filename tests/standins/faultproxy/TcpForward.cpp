#include "TcpForward.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace lycheethread::testfault {

namespace {

constexpr int Backlog = 256;
constexpr std::size_t MaxConnections = 1024;
constexpr int ConnectTimeoutMs = 500;

bool cut(const ForwardState &State) {
  return State.Up.Mode == FaultMode::Reset ||
         State.Down.Mode == FaultMode::Reset;
}

void reset(Poco::Net::StreamSocket &Socket) {
  // A linger time of 0 makes close send RST.
  Socket.setLinger(true, 0);
  Socket.close();
}

void addRead(std::vector<pollfd> &Polled,
             const Poco::Net::StreamSocket &Socket) {
  Polled.push_back({Socket.impl()->sockfd(), POLLIN, 0});
}

void lower(std::int64_t &WakeAt, std::int64_t Due) {
  if (Due >= 0)
    WakeAt = std::min(WakeAt, Due);
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
    lower(WakeAt, Each.Up.nextDue());
    lower(WakeAt, Each.Down.nextDue());
  }
}

void TcpForward::acceptNew(ForwardState &State) {
  while (Connections_.size() < MaxConnections &&
         Listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    Poco::Net::StreamSocket Client = Listener_.acceptConnection();
    if (cut(State)) {
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

bool TcpForward::step(Connection &Of, ForwardState &State,
                      std::mt19937 &Random) {
  if (cut(State))
    return false;
  if (Of.Up.wantsRead(State.Up) &&
      Of.Up.readSome(State.Up, Random) == Pipe::State::Reset)
    return false;
  if (Of.Down.wantsRead(State.Down) &&
      Of.Down.readSome(State.Down, Random) == Pipe::State::Reset)
    return false;
  if (Of.Up.writeDue(State.Up, State.Totals.BytesUp) == Pipe::State::Reset ||
      Of.Down.writeDue(State.Down, State.Totals.BytesDown) ==
          Pipe::State::Reset)
    return false;
  return true;
}

void TcpForward::work(ForwardState &State, std::mt19937 &Random) {
  acceptNew(State);
  for (auto It = Connections_.begin(); It != Connections_.end();) {
    if (!step(*It, State, Random)) {
      reset(It->Client);
      reset(It->Server);
      It = Connections_.erase(It);
    } else if (It->Up.ended() && It->Down.ended()) {
      It = Connections_.erase(It);
    } else {
      ++It;
    }
  }
}

} // namespace lycheethread::testfault
