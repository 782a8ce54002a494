#ifndef LYCHEETHREAD_TESTS_HARNESS_RAWEXCHANGE_H
#define LYCHEETHREAD_TESTS_HARNESS_RAWEXCHANGE_H

#include <cstdint>
#include <string>

namespace lycheethread::harness {

/// What came back until the connection ended.
struct RawExchange {
  std::string Answer;
  /// The connection ended with a close, not with a reset or a timeout.
  bool EndedOrderly = false;
};

/// Sends \p Head and \p BodyBytes bytes on a new connection to 127.0.0.1, also
/// while the answer arrives. The head should ask for the connection to end.
RawExchange exchangeRaw(std::uint16_t Port, const std::string &Head,
                        std::size_t BodyBytes);

/// Returns all that follows the head of an answer.
std::string bodyOf(const std::string &Answer);

/// Whether the status is 200.
bool isSuccess(const RawExchange &Result);

/// Whether a caller takes the answer for a whole success: by its length, its
/// last chunk or the end of the connection.
bool looksComplete(const RawExchange &Result);

} // namespace lycheethread::harness

#endif // LYCHEETHREAD_TESTS_HARNESS_RAWEXCHANGE_H
