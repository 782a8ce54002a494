#include "app/internal/Commands.h"
#include "app/internal/StatusTable.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <cxxopts.hpp>

#include <iostream>
#include <sstream>

namespace lycheethread::app {

namespace {

constexpr int RequestTimeoutSeconds = 5;

/// Returns the response body of GET /status; throws Poco::Exception.
std::string fetchStatus(const std::string &Admin) {
  Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Admin)};
  Session.setTimeout(Poco::Timespan(RequestTimeoutSeconds, 0));
  Poco::Net::HTTPRequest Request("GET", "/status", "HTTP/1.1");
  Session.sendRequest(Request);
  Poco::Net::HTTPResponse Response;
  std::string Body;
  Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Body);
  if (Response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
    throw Poco::IOException("HTTP status " +
                            std::to_string(Response.getStatus()));
  return Body;
}

int showStatus(const std::string &Admin, bool Json) {
  try {
    const std::string Body = fetchStatus(Admin);
    std::cout << (Json ? Body + "\n" : statusTable(Body));
    return ExitOk;
  } catch (const Poco::Exception &Error) {
    std::cerr << "status: no answer from " << Admin << ": "
              << Error.displayText() << "\n";
    return ExitUnavailable;
  }
}

} // namespace

int runStatus(int Argc, char **Argv) {
  cxxopts::Options Options("lycheethread status", "Shows the state of a node");
  Options.add_options()("admin", "admin endpoint of the node, ip:port",
                        cxxopts::value<std::string>())(
      "json", "print JSON instead of a table")("h,help", "print this help");
  try {
    const cxxopts::ParseResult Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help();
      return ExitOk;
    }
    if (Parsed.count("admin") == 0) {
      std::cerr << "status: --admin ip:port is required\n";
      return ExitUsage;
    }
    return showStatus(Parsed["admin"].as<std::string>(),
                      Parsed.count("json") != 0);
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "status: " << Error.what() << "\n";
    return ExitUsage;
  }
}

} // namespace lycheethread::app
