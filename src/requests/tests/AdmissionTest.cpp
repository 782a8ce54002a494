#include "requests/Requests.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::requests;

namespace {

struct LastHop {
  AdmissionState State;
  ServiceLimits Limits;
  std::int64_t Next = 0;

  AdmissionRequest make(const std::string &Caller,
                        RequestClass Class = RequestClass::Repeatable) {
    return {++Next, CallerId(Caller), Class, SteadyTime(1000)};
  }
  AdmitDecision submit(const AdmissionRequest &Item, std::int64_t Now = 0) {
    return admit(State, Limits, Item, SteadyTime(Now));
  }
};

} // namespace

// Guards against a caller that takes all slots, and against a queue that serves
// this caller before others.
BOOST_AUTO_TEST_CASE(CallerIsLimitedToItsShareAndOthersGoFirst) {
  LastHop H;
  H.Limits.Slots = 4;
  H.Limits.Queue = 4;
  const AdmissionRequest First = H.make("greedy");
  BOOST_TEST((H.submit(First).Action == AdmitAction::Run));
  BOOST_TEST((H.submit(H.make("greedy")).Action == AdmitAction::Run));
  BOOST_TEST((H.submit(H.make("greedy")).Action == AdmitAction::Wait));
  BOOST_TEST((H.submit(H.make("greedy")).Action == AdmitAction::Wait));
  BOOST_TEST((H.submit(H.make("greedy")).Reason == RefusalReason::CallerLimit));
  BOOST_TEST((H.submit(H.make("a")).Action == AdmitAction::Run));
  BOOST_TEST((H.submit(H.make("b")).Action == AdmitAction::Run));
  const AdmissionRequest Waiting = H.make("c");
  BOOST_TEST((H.submit(Waiting).Action == AdmitAction::Wait));
  const ReleaseActions Next = release(
      H.State, H.Limits, First, std::chrono::milliseconds(1), SteadyTime(1));
  BOOST_REQUIRE(Next.Run.size() == 1U);
  BOOST_TEST(Next.Run.front() == Waiting.Ticket);
}

// Guards against uploads that starve short requests.
BOOST_AUTO_TEST_CASE(UploadsHoldAtMostHalfOfTheSlots) {
  LastHop H;
  H.Limits.Slots = 4;
  H.Limits.CallerSharePercent = 100;
  const auto Upload = RequestClass::Upload;
  BOOST_TEST((H.submit(H.make("a", Upload)).Action == AdmitAction::Run));
  BOOST_TEST((H.submit(H.make("b", Upload)).Action == AdmitAction::Run));
  BOOST_TEST((H.submit(H.make("c", Upload)).Action == AdmitAction::Wait));
  BOOST_TEST((H.submit(H.make("d")).Action == AdmitAction::Run));
}

// Guards against slots that are spent on answers after the deadline.
BOOST_AUTO_TEST_CASE(QueueDropsRequestsThatMissTheirDeadline) {
  LastHop H;
  H.Limits.Slots = 1;
  H.State.ServiceTime = std::chrono::milliseconds(300);
  const AdmissionRequest First = H.make("a");
  BOOST_TEST((H.submit(First).Action == AdmitAction::Run));
  const AdmissionRequest Waiting = H.make("b");
  BOOST_TEST((H.submit(Waiting).Action == AdmitAction::Wait));
  BOOST_TEST((H.submit(H.make("c"), 500).Reason == RefusalReason::Deadline));
  const ReleaseActions Next =
      release(H.State, H.Limits, First, std::chrono::milliseconds(300),
              SteadyTime(900));
  BOOST_TEST(Next.Run.empty());
  BOOST_REQUIRE(Next.Drop.size() == 1U);
  BOOST_TEST(Next.Drop.front() == Waiting.Ticket);
}

// Guards against requests that are admitted during a drain, and against an
// unbounded number of waiting requests.
BOOST_AUTO_TEST_CASE(DrainingAndFullConnectionsRefuse) {
  LastHop H;
  H.Limits.Slots = 1;
  H.Limits.Connections = 2;
  BOOST_TEST((H.submit(H.make("a")).Action == AdmitAction::Run));
  const AdmissionRequest Waiting = H.make("b");
  BOOST_TEST((H.submit(Waiting).Action == AdmitAction::Wait));
  BOOST_TEST((H.submit(H.make("c")).Reason == RefusalReason::ConnectionsFull));
  BOOST_TEST(removeQueued(H.State, Waiting.Ticket));
  BOOST_TEST(!removeQueued(H.State, Waiting.Ticket));
  H.State.Draining = true;
  BOOST_TEST((H.submit(H.make("c")).Reason == RefusalReason::Draining));
}
