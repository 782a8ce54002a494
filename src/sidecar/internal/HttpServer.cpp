#include "sidecar/internal/HttpServer.h"
#include "sidecar/internal/ServerConnection.h"

#include <algorithm>

namespace lycheethread::sidecar {

struct HttpServer::Impl {
  ServerState State;
  std::unique_ptr<reactor::TcpListener> Listener;
};

HttpServer::HttpServer(reactor::EventLoop &Loop, const Endpoint &At,
                       HttpServerOptions Options)
    : Impl_(new Impl{{Loop, std::move(Options), {}, {}, 0, false}, nullptr}) {
  Impl_->Listener = std::make_unique<reactor::TcpListener>(
      Loop, At,
      [Used = &Impl_->State](std::shared_ptr<reactor::TcpStream> Stream) {
        const auto Accepted =
            std::make_shared<ServerConnection>(*Used, std::move(Stream));
        Used->Connections.insert(Accepted);
        Accepted->start();
      });
}

HttpServer::~HttpServer() {
  const auto Copy = Impl_->State.Connections;
  for (const auto &Item : Copy)
    Item->close();
}

std::size_t HttpServer::inProgress() const { return Impl_->State.InProgress; }

bool HttpServer::isQuiet() const {
  const ServerState &State = Impl_->State;
  return std::all_of(State.Connections.begin(), State.Connections.end(),
                     [](const auto &Item) { return Item->isIdle(); }) &&
         std::all_of(State.Ending.begin(), State.Ending.end(),
                     [](const auto &Item) {
                       const auto Stream = Item.lock();
                       return !Stream || Stream->unsentBytes() == 0;
                     });
}

void HttpServer::announceClose() { Impl_->State.Closing = true; }

void HttpServer::closeIdle() {
  const auto Copy = Impl_->State.Connections;
  for (const auto &Item : Copy)
    if (Item->isIdle())
      Item->close();
}

} // namespace lycheethread::sidecar
