#include "http/Http.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread::http;

namespace {

/// An order with this number of requests, numbered from 0.
AnswerOrder withRequests(std::size_t Count) {
  AnswerOrder Order;
  for (std::size_t Index = 0; Index < Count; ++Index)
    addRequest(Order, false);
  return Order;
}

RequestNumber number(std::uint64_t Value) { return RequestNumber(Value); }

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerOrders)

// Guards against an answer that is written before one to an earlier request.
BOOST_AUTO_TEST_CASE(readyAnswerWaitsForThoseBeforeIt) {
  AnswerOrder Order = withRequests(3);
  setReady(Order, number(2));
  BOOST_TEST(!nextToWrite(Order).has_value());
  setReady(Order, number(0));
  BOOST_TEST((nextToWrite(Order) == number(0)));
  BOOST_TEST(finishFront(Order));
  BOOST_TEST(!nextToWrite(Order).has_value());
  setReady(Order, number(1));
  BOOST_TEST((nextToWrite(Order) == number(1)));
  BOOST_TEST(finishFront(Order));
  BOOST_TEST((nextToWrite(Order) == number(2)));
  BOOST_TEST(finishFront(Order));
  BOOST_TEST(!nextToWrite(Order).has_value());
}

// Guards against a caller that occupies the node with any number of requests.
BOOST_AUTO_TEST_CASE(noMoreThanTheBoundIsRead) {
  AnswerOrder Order = withRequests(MaxPipelinedRequests - 1);
  BOOST_TEST(mayReadRequest(Order, false));
  addRequest(Order, false);
  BOOST_TEST(!mayReadRequest(Order, false));
  setReady(Order, number(0));
  finishFront(Order);
  BOOST_TEST(mayReadRequest(Order, false));
}

// Guards against a request that is handled although its answer cannot be sent.
BOOST_AUTO_TEST_CASE(nothingIsReadBehindTheLastRequest) {
  AnswerOrder Order = withRequests(1);
  addRequest(Order, true);
  BOOST_TEST(!mayReadRequest(Order, false));
  setReady(Order, number(0));
  BOOST_TEST(finishFront(Order));
  BOOST_TEST(isLastAnswer(Order, number(1), false));
  BOOST_TEST(!finishFront(Order));
}

// Guards against requests that go on behind an answer that closes the
// connection, and against an earlier one that is lost with them.
BOOST_AUTO_TEST_CASE(closeInTheMiddleRemovesThoseBehind) {
  AnswerOrder Order = withRequests(4);
  setReady(Order, number(3));
  const auto Removed = endAfter(Order, number(1));
  BOOST_TEST((Removed == std::vector{number(2), number(3)}));
  BOOST_TEST(!mayReadRequest(Order, false));
  BOOST_TEST(!isLastAnswer(Order, number(0), false));
  BOOST_TEST(isLastAnswer(Order, number(1), false));
  setReady(Order, number(2));
  setReady(Order, number(0));
  setReady(Order, number(1));
  BOOST_TEST(finishFront(Order));
  BOOST_TEST((nextToWrite(Order) == number(1)));
  BOOST_TEST(!finishFront(Order));
  BOOST_TEST(!nextToWrite(Order).has_value());
  BOOST_TEST(endAfter(Order, number(2)).empty());
}

// Guards against a stop that announces the close before the last answer, and
// against one that never announces it.
BOOST_AUTO_TEST_CASE(stopIsAnnouncedInTheLastAnswerOnly) {
  AnswerOrder Order = withRequests(2);
  BOOST_TEST(!mayReadRequest(Order, true));
  BOOST_TEST(!isLastAnswer(Order, number(0), true));
  BOOST_TEST(isLastAnswer(Order, number(1), true));
  finishFront(Order);
  BOOST_TEST(isLastAnswer(Order, number(1), true));
  finishFront(Order);
  // A connection that was idle may have sent its request before it could know.
  BOOST_TEST(mayReadRequest(Order, true));
}

// Guards against a request that may run once and is started before the answers
// ahead of it have been sent, or is never started.
BOOST_AUTO_TEST_CASE(firstRequestIsReportedOnce) {
  AnswerOrder Order = withRequests(2);
  BOOST_TEST(!takeNewFirst(Order, false).has_value());
  BOOST_TEST((takeNewFirst(Order, true) == number(0)));
  BOOST_TEST(!takeNewFirst(Order, true).has_value());
  BOOST_TEST(!isFirst(Order, number(1)));
  finishFront(Order);
  BOOST_TEST(!isFirst(Order, number(1)));
  BOOST_TEST(!takeNewFirst(Order, false).has_value());
  BOOST_TEST((takeNewFirst(Order, true) == number(1)));
  BOOST_TEST(isFirst(Order, number(1)));
}

BOOST_AUTO_TEST_CASE(allRequestsAreRemovedInOrder) {
  AnswerOrder Order = withRequests(3);
  BOOST_TEST((requestBefore(Order, number(2)) == number(1)));
  BOOST_TEST(!requestBefore(Order, number(0)).has_value());
  finishFront(Order);
  BOOST_TEST((removeAll(Order) == std::vector{number(1), number(2)}));
  BOOST_TEST(Order.Slots.empty());
}

BOOST_AUTO_TEST_SUITE_END()
