#ifndef LYCHEETHREAD_HTTP_TYPES_ANSWERORDER_H
#define LYCHEETHREAD_HTTP_TYPES_ANSWERORDER_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace lycheethread::http {

/// Requests of one connection that may be in progress at the same time.
inline constexpr std::size_t MaxPipelinedRequests = 8;

/// Identifies a request on its connection; later requests have higher numbers.
enum class RequestNumber : std::uint64_t {};

/// The place of one request in the order of answers.
struct AnswerSlot {
  RequestNumber Number{};
  /// The answer may be written as soon as those before it are.
  bool IsReady = false;
  /// The connection ends after this answer.
  bool EndsConnection = false;
  /// The request has been reported as the first one.
  bool IsFirst = false;
};

/// The requests of a server connection that are not fully answered, in the
/// order in which they were received. The answers are written in this order.
struct AnswerOrder {
  std::deque<AnswerSlot> Slots;
  std::uint64_t NextNumber = 0;
};

/// Adds a request that has been received. \p EndsConnection tells that the
/// connection ends after its answer.
RequestNumber addRequest(AnswerOrder &Order, bool EndsConnection);

/// Whether the next request may be read: a connection that ends after the
/// answers in progress reads none, and neither does one of a server that is
/// stopping before it has written them.
bool mayReadRequest(const AnswerOrder &Order, bool IsStopping);

/// Marks the answer as ready. Does nothing if the request was removed.
void setReady(AnswerOrder &Order, RequestNumber Number);

/// Returns the request whose answer may be written now.
std::optional<RequestNumber> nextToWrite(const AnswerOrder &Order);

/// Whether the answer is the last one of the connection and has to say so.
bool isLastAnswer(const AnswerOrder &Order, RequestNumber Number,
                  bool IsStopping);

/// Ends the connection after the answer to this request. Removes the requests
/// behind it, which the caller sends again, and returns them.
std::vector<RequestNumber> endAfter(AnswerOrder &Order, RequestNumber Number);

/// Removes the front request, whose answer has been written; returns whether
/// the connection stays open.
bool finishFront(AnswerOrder &Order);

/// Removes all requests and returns them.
std::vector<RequestNumber> removeAll(AnswerOrder &Order);

/// Returns the request that has become the first one, once for each.
/// \p AllSent tells that the answers before it have been sent, not only
/// written.
std::optional<RequestNumber> takeNewFirst(AnswerOrder &Order, bool AllSent);

/// Whether all answers before this one have been sent.
bool isFirst(const AnswerOrder &Order, RequestNumber Number);

/// Returns the request before this one that is still in progress.
std::optional<RequestNumber> requestBefore(const AnswerOrder &Order,
                                           RequestNumber Number);

} // namespace lycheethread::http

#endif // LYCHEETHREAD_HTTP_TYPES_ANSWERORDER_H
