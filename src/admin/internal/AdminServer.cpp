#include "admin/internal/AdminServer.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <boost/log/trivial.hpp>

namespace lycheethread::admin {

namespace {

namespace net = Poco::Net;

constexpr int MaxThreads = 4;
constexpr int MaxQueued = 16;
constexpr int SocketTimeoutSeconds = 5;

void sendResponse(net::HTTPServerResponse &Response,
                  net::HTTPResponse::HTTPStatus Status, const std::string &Type,
                  const std::string &Body) {
  Response.setStatusAndReason(Status);
  Response.setContentType(Type);
  // Request bodies are not read, so the connection cannot be reused.
  Response.setKeepAlive(false);
  Response.sendBuffer(Body.data(), Body.size());
}

class Handler : public net::HTTPRequestHandler {
public:
  explicit Handler(const AdminHandlers &Handlers) : Handlers_(Handlers) {}

  void handleRequest(net::HTTPServerRequest &Request,
                     net::HTTPServerResponse &Response) override {
    try {
      route(Request, Response);
    } catch (const std::exception &Error) {
      BOOST_LOG_TRIVIAL(error)
          << "admin: " << Request.getURI() << " failed: " << Error.what();
      if (!Response.sent())
        sendResponse(Response, net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR,
                     "text/plain", "internal error\n");
    }
  }

private:
  void route(const net::HTTPServerRequest &Request,
             net::HTTPServerResponse &Response) const {
    const std::string Call = Request.getMethod() + " " + Request.getURI();
    if (Call == "GET /metrics")
      return sendResponse(Response, net::HTTPResponse::HTTP_OK,
                          "text/plain; version=0.0.4", Handlers_.Metrics());
    if (Call == "GET /status")
      return sendResponse(Response, net::HTTPResponse::HTTP_OK,
                          "application/json", Handlers_.Status());
    if (Call == "POST /drain") {
      Handlers_.Drain();
      return sendResponse(Response, net::HTTPResponse::HTTP_ACCEPTED,
                          "text/plain", "draining\n");
    }
    sendResponse(Response, net::HTTPResponse::HTTP_NOT_FOUND, "text/plain",
                 "known: GET /metrics, GET /status, POST /drain\n");
  }

  const AdminHandlers &Handlers_;
};

class Factory : public net::HTTPRequestHandlerFactory {
public:
  explicit Factory(const AdminHandlers &Handlers) : Handlers_(Handlers) {}

  net::HTTPRequestHandler *
  createRequestHandler(const net::HTTPServerRequest &) override {
    return new Handler(Handlers_);
  }

private:
  const AdminHandlers &Handlers_;
};

net::HTTPServerParams::Ptr parameters() {
  net::HTTPServerParams::Ptr Made = new net::HTTPServerParams;
  Made->setMaxThreads(MaxThreads);
  Made->setMaxQueued(MaxQueued);
  Made->setTimeout(Poco::Timespan(SocketTimeoutSeconds, 0));
  Made->setKeepAlive(false);
  return Made;
}

} // namespace

struct AdminServer::Impl {
  Impl(const Endpoint &At, AdminHandlers Functions)
      : Handlers(std::move(Functions)), Threads("admin", 1, MaxThreads),
        Socket(net::SocketAddress(At.Address, At.Port)),
        Server(new Factory(Handlers), Threads, Socket, parameters()) {}

  AdminHandlers Handlers;
  Poco::ThreadPool Threads;
  net::ServerSocket Socket;
  net::HTTPServer Server;
};

AdminServer::AdminServer(const Endpoint &At, AdminHandlers Handlers)
    : Impl_(std::make_unique<Impl>(At, std::move(Handlers))) {
  Impl_->Server.start();
}

AdminServer::~AdminServer() {
  Impl_->Server.stopAll(true);
  Impl_->Threads.joinAll();
}

std::uint16_t AdminServer::port() const {
  return Impl_->Socket.address().port();
}

} // namespace lycheethread::admin
