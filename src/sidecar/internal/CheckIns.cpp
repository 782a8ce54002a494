#include "sidecar/internal/CheckIns.h"
#include "kernel/Clock.h"

namespace lycheethread::sidecar {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

CheckIns::CheckIns(NodeContext &Context, StoreClient &Store, Callbacks Handlers)
    : Context_(Context), Callbacks_(std::move(Handlers)),
      Departures_(
          Context, Store,
          DepartureLog::Callbacks{[this] { onDeparturesKnown(); },
                                  [this] { Callbacks_.OnRegistration(); },
                                  [this] { Callbacks_.OnUnlisted(); }}) {}

void CheckIns::handle(const ServerRequestPtr &Request) {
  const BodyPipePtr Body = Request->body();
  if (Body->isEnded()) {
    onMessage(Request);
    return;
  }
  Body->OnChange = [this, Weak = std::weak_ptr<ServerRequest>(Request)] {
    const auto Found = Weak.lock();
    if (!Found || !Found->body()->isEnded())
      return;
    const BodyPipePtr Done = Found->body();
    Done->OnChange = nullptr;
    onMessage(Found);
  };
}

void CheckIns::onMessage(const ServerRequestPtr &Request) {
  const HTTPRequest &Head = Request->head();
  const UpstreamMessage Message = Context_.Platform.Upstream(
      Head.getMethod(), Head.getURI(), Request->body()->take());
  switch (Message.Type) {
  case UpstreamMessage::Kind::Invalid:
    Context_.Log.write(
        LogClass::State, Context_.now(), "check-in-invalid",
        {{"target", Head.getURI()}, {"problem", Message.Problem}});
    Request->answer(HTTPResponse::HTTP_BAD_REQUEST, Message.Problem);
    return;
  case UpstreamMessage::Kind::Leave:
    onLeave(Message.Id);
    break;
  case UpstreamMessage::Kind::CheckIn:
    onCheckIn(Message.ReceivedCheckIn);
    if (mesh::isLeaving(Message.ReceivedCheckIn.From))
      break;
    acknowledge(Request);
    return;
  }
  // A leaving that could be forgotten is not acknowledged.
  Departures_.whenRecorded(Message.Id, [this, Request](bool IsRecorded) {
    if (IsRecorded)
      acknowledge(Request);
    else
      Request->answer(HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                      "the leaving is not recorded yet");
  });
}

void CheckIns::acknowledge(const ServerRequestPtr &Request) const {
  Request->answer(HTTPResponse::HTTP_OK, Context_.Platform.CheckInAnswer,
                  Context_.Platform.CheckInAnswerType);
}

void CheckIns::onLeave(const mesh::UpstreamId &Id) {
  const bool IsApplied = mesh::applyLeave(
      Context_.Registered, Id, kernel::wallNow().value(), Context_.now());
  Context_.Log.write(LogClass::State, Context_.now(), "upstream-leaves",
                     {{"upstream", Id.str()},
                      {"registered", Context_.Registered.Current.Id.str()},
                      {"taken", IsApplied ? "yes" : "no"}});
  if (IsApplied)
    Callbacks_.OnRegistration();
}

void CheckIns::onStatedLeaving() {
  if (!mesh::applyStatedLeaving(Context_.Registered, Context_.now()))
    return;
  Context_.Log.write(LogClass::State, Context_.now(), "upstream-leaves",
                     {{"upstream", Context_.Registered.Current.Id.str()},
                      {"reason", "it says so in its answers"}});
  Callbacks_.OnRegistration();
}

void CheckIns::onOwnPast(const mesh::Upstream &Past) {
  const bool IsKnown = Context_.Registered.Left.count(Past.Id) != 0;
  const bool IsChanged =
      mesh::restoreLeave(Context_.Registered, Past, Context_.now());
  if (!IsKnown)
    Context_.Log.write(LogClass::State, Context_.now(), "upstream-had-left",
                       {{"upstream", Past.Id.str()},
                        {"registered", IsChanged ? "yes" : "no"}});
  if (IsChanged)
    Callbacks_.OnRegistration();
}

/// Whether the check-in may be from a process that left before this node was
/// started.
bool CheckIns::mayHaveLeft(const mesh::CheckIn &Item) {
  if (Departures_.isKnown() || mesh::isLeaving(Item.From) ||
      mesh::isSameProcess(Context_.Registered.Current, Item.From))
    return false;
  const bool IsFirst = !Unverified_.Newest;
  if (mesh::confirmsProcess(Unverified_, Item,
                            Context_.Settings.CheckInInterval, Context_.now()))
    return false;
  if (IsFirst)
    Context_.Log.write(LogClass::State, Context_.now(), "check-in-held",
                       {{"upstream", Item.From.Id.str()},
                        {"reason", "it may have left before the start"}});
  return true;
}

void CheckIns::onDeparturesKnown() {
  const auto Held = Unverified_.Newest;
  Unverified_ = {};
  if (Held)
    onCheckIn(*Held);
}

void CheckIns::onCheckIn(const mesh::CheckIn &Item) {
  if (mayHaveLeft(Item))
    return;
  const mesh::Upstream Before = Context_.Registered.Current;
  // A different service at this address means that the settings belong to
  // another instance.
  const bool IsOurs = Item.From.Service == Context_.Settings.Service;
  if (!IsOurs ||
      !mesh::applyCheckIn(Context_.Registered, Item, Context_.now())) {
    Context_.Log.write(LogClass::State, Context_.now(), "check-in-ignored",
                       {{"upstream", Item.From.Id.str()},
                        {"service", Item.From.Service.str()},
                        {"sequence", std::to_string(Item.Number.value())}});
    return;
  }
  Callbacks_.OnCheckIn();
  const mesh::Upstream &Current = Context_.Registered.Current;
  if (mesh::isSameProcess(Before, Current) && Before.State == Current.State &&
      Before.Capacity == Current.Capacity)
    return;
  logRegistered();
  Callbacks_.OnRegistration();
}

void CheckIns::logRegistered() const {
  const mesh::Registration &Known = Context_.Registered;
  Context_.Log.write(
      LogClass::State, Context_.now(), "upstream-registered",
      {{"upstream", Known.Current.Id.str()},
       {"service", Known.Current.Service.str()},
       {"version", Known.Current.Version.str()},
       {"state", std::to_string(static_cast<int>(Known.Current.State))},
       {"capacity", std::to_string(Known.Current.Capacity)},
       {"address", settings::toString(Known.Address)},
       {"sequence", std::to_string(Known.Number.value())}});
}

void CheckIns::checkSilence() {
  mesh::Registration &Known = Context_.Registered;
  if (Known.Current.State != mesh::UpstreamState::Ready ||
      !mesh::isSilent(Known, Context_.Settings.CheckInInterval, Context_.now()))
    return;
  Known.Current.State = mesh::UpstreamState::Unknown;
  Context_.Log.write(LogClass::State, Context_.now(), "upstream-silent",
                     {{"upstream", Known.Current.Id.str()}});
  Callbacks_.OnRegistration();
}

} // namespace lycheethread::sidecar
