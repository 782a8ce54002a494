#include "model/Model.h"

#include <array>
#include <utility>

namespace lycheethread {

namespace {

template <typename Enum> using NamePair = std::pair<Enum, std::string_view>;

template <typename Enum, std::size_t N>
std::string_view findName(const std::array<NamePair<Enum>, N> &Names,
                          Enum Value) {
  for (const auto &[Known, Name] : Names)
    if (Known == Value)
      return Name;
  return "invalid";
}

template <typename Enum, std::size_t N>
std::optional<Enum> findValue(const std::array<NamePair<Enum>, N> &Names,
                              std::string_view Text) {
  for (const auto &[Known, Name] : Names)
    if (Name == Text)
      return Known;
  return std::nullopt;
}

constexpr std::array<NamePair<RequestClass>, 3> ClassNames{{
    {RequestClass::Repeatable, "repeatable"},
    {RequestClass::OnceOnly, "once-only"},
    {RequestClass::Upload, "upload"},
}};

constexpr std::array<NamePair<Executed>, 3> ExecutedNames{{
    {Executed::No, "no"},
    {Executed::Yes, "yes"},
    {Executed::Unknown, "unknown"},
}};

constexpr std::array<NamePair<MemberState>, 6> StateNames{{
    {MemberState::Starting, "starting"},
    {MemberState::Ready, "ready"},
    {MemberState::Draining, "draining"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Left, "left"},
    {MemberState::Dead, "dead"},
}};

constexpr std::array<NamePair<RefusalReason>, 24> ReasonNames{{
    {RefusalReason::NoRoute, "no-route"},
    {RefusalReason::NoUpstream, "no-upstream"},
    {RefusalReason::Draining, "draining"},
    {RefusalReason::SlotsFull, "slots-full"},
    {RefusalReason::ConnectionsFull, "connections-full"},
    {RefusalReason::CallerLimit, "caller-limit"},
    {RefusalReason::QueueFull, "queue-full"},
    {RefusalReason::Deadline, "deadline"},
    {RefusalReason::TooDeep, "too-deep"},
    {RefusalReason::BodyTooLarge, "body-too-large"},
    {RefusalReason::BadRequest, "bad-request"},
    {RefusalReason::Shed, "shed"},
    {RefusalReason::UpstreamFailed, "upstream-failed"},
    {RefusalReason::UpstreamTimeout, "upstream-timeout"},
    {RefusalReason::LogUnavailable, "log-unavailable"},
    {RefusalReason::AlreadyAccepted, "already-accepted"},
    {RefusalReason::CrashSuspect, "crash-suspect"},
    {RefusalReason::RateLimited, "rate-limited"},
    {RefusalReason::NotReady, "not-ready"},
    {RefusalReason::UnknownKey, "unknown-key"},
    {RefusalReason::KeysUnconfirmed, "keys-unconfirmed"},
    {RefusalReason::OverQuota, "over-quota"},
    {RefusalReason::NoAllowedRegion, "no-allowed-region"},
    {RefusalReason::CalleeFull, "callee-full"},
}};

} // namespace

std::string_view toString(RequestClass Class) {
  return findName(ClassNames, Class);
}

std::optional<RequestClass> parseRequestClass(std::string_view Text) {
  return findValue(ClassNames, Text);
}

std::string_view toString(RefusalReason Reason) {
  return findName(ReasonNames, Reason);
}

std::optional<RefusalReason> parseRefusalReason(std::string_view Text) {
  return findValue(ReasonNames, Text);
}

std::string_view toString(Executed State) {
  return findName(ExecutedNames, State);
}

std::optional<Executed> parseExecuted(std::string_view Text) {
  return findValue(ExecutedNames, Text);
}

std::string_view toString(MemberState State) {
  return findName(StateNames, State);
}

std::string toString(const Finding &Item) {
  std::string Text = Item.File + ":" + std::to_string(Item.Line) + ": ";
  if (!Item.Key.empty())
    Text += Item.Key + ": ";
  Text += Item.Problem;
  if (!Item.Allowed.empty())
    Text += "; allowed: " + Item.Allowed;
  return Text;
}

} // namespace lycheethread
