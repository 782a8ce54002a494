#ifndef LYCHEETHREAD_TESTS_UPSTREAM_HANDLER_H
#define LYCHEETHREAD_TESTS_UPSTREAM_HANDLER_H

#include "Faults.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace lycheethread::upstream {

/// Handles one request to the stand-in.
class Handler : public Poco::Net::HTTPRequestHandler {
public:
  Handler(const Options &Config, Faults &Shared);

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override;

private:
  void serve(Poco::Net::HTTPServerRequest &Request,
             Poco::Net::HTTPServerResponse &Response);
  void work(const Poco::URI &Uri, Poco::Net::HTTPServerRequest &Request,
            Poco::Net::HTTPServerResponse &Response);
  void forwardToNode(const Poco::URI &Uri,
                     Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response);
  void answer(Poco::Net::HTTPServerResponse &Response,
              const std::string &Body) const;

  const Options &Options_;
  Faults &Faults_;
};

} // namespace lycheethread::upstream

#endif // LYCHEETHREAD_TESTS_UPSTREAM_HANDLER_H
