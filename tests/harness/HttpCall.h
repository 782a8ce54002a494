#ifndef LYCHEETHREAD_TESTS_HARNESS_HTTPCALL_H
#define LYCHEETHREAD_TESTS_HARNESS_HTTPCALL_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace lycheethread::harness {

/// A request to 127.0.0.1.
struct HttpCall {
  std::uint16_t Port = 0;
  std::string Method = "GET";
  std::string Path = "/";
  std::map<std::string, std::string> Headers;
  std::string Body;
  std::chrono::milliseconds Timeout{10000};
};

/// The answer to a call. Status is 0 when there was no answer or an incomplete
/// one.
struct HttpAnswer {
  int Status = 0;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;
  /// Reason for a missing or incomplete answer.
  std::string Error;
  std::chrono::duration<double, std::milli> Took{0};

  /// Returns the value of a header, or an empty string. \p Name is in lower
  /// case.
  std::string header(const std::string &Name) const;
};

/// Sends the request on a new connection; does not throw.
HttpAnswer send(const HttpCall &Call);

} // namespace lycheethread::harness

#endif // LYCHEETHREAD_TESTS_HARNESS_HTTPCALL_H
