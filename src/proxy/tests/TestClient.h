#ifndef LYCHEETHREAD_PROXY_TESTS_TESTCLIENT_H
#define LYCHEETHREAD_PROXY_TESTS_TESTCLIENT_H

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <map>
#include <string>

namespace lycheethread::proxy {

struct TestAnswer {
  /// 0 if no response head was received.
  int Status = 0;
  Poco::Net::HTTPResponse Head;
  std::string Body;
  /// Whether the body has the announced length.
  bool IsComplete = false;

  std::string header(const std::string &Name) const;
};

/// HTTP client that opens a connection for each request.
class TestClient {
public:
  explicit TestClient(std::uint16_t Port, std::string Host = "shop");

  std::map<std::string, std::string> Headers;

  TestAnswer get(const std::string &Path) const;
  TestAnswer post(const std::string &Path, const std::string &Body,
                  bool Chunked = false) const;

  /// Opens a connection for tests that write raw data.
  Poco::Net::StreamSocket connect() const;
  /// Returns the text of a request head without the empty line.
  std::string head(const std::string &Method, const std::string &Path) const;
  /// Reads until the connection ends or no data arrives for 10 s.
  static std::string readAll(Poco::Net::StreamSocket &Socket);

private:
  TestAnswer send(const std::string &Method, const std::string &Path,
                  const std::string &Body, bool Chunked) const;

  std::uint16_t Port_;
  std::string Host_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_TESTS_TESTCLIENT_H
