#include "sidecar/internal/ReservedHeaders.h"
#include "sidecar/internal/HopHeaders.h"

#include <algorithm>
#include <array>

namespace lycheethread::sidecar {

namespace {

using Poco::Net::HTTPRequest;

/// What the value of a reserved header is made from.
struct HeaderSource {
  const HopInfo &Info;
  const mesh::UpstreamId &To;
  SteadyTime Now;
};

/// A header that callers may not set.
struct ReservedHeader {
  std::string HeaderNames::*Name;
  /// Returns the value for the upstream; empty for a header that is withheld
  /// from it.
  std::string (*Value)(const HeaderSource &);
  /// The header is an ordinary one where the configuration has no
  /// organisations.
  bool OnlyWithOrganisations = false;
};

std::string deadlineOf(const HeaderSource &From) {
  const Milliseconds Left = elapsed(From.Now, From.Info.DeadlineAt);
  return std::to_string(std::max<std::int64_t>(1, Left.count()));
}

std::string withhold(const HeaderSource &) { return {}; }

constexpr std::array Reserved{
    ReservedHeader{&HeaderNames::Deadline, deadlineOf},
    ReservedHeader{&HeaderNames::ExpectInstance,
                   [](const HeaderSource &From) { return From.To.str(); }},
    ReservedHeader{
        &HeaderNames::CallerService,
        [](const HeaderSource &From) { return From.Info.Caller.str(); }},
    ReservedHeader{
        &HeaderNames::Organisation,
        [](const HeaderSource &From) { return From.Info.Organisation.str(); },
        true},
    ReservedHeader{&HeaderNames::Key, withhold, true},
};

bool applies(const ReservedHeader &Item, const HopInfo &Info) {
  return !Item.OnlyWithOrganisations || Info.HasOrganisations;
}

} // namespace

void removeReservedHeaders(const HeaderNames &Names, const HopInfo &Info,
                           HTTPRequest &Head) {
  for (const ReservedHeader &Item : Reserved)
    if (applies(Item, Info))
      Head.erase(Names.*Item.Name);
  for (const std::string &Name : {HopInfoName, HopStatedName})
    Head.erase(Name);
}

void setUpstreamHeaders(const HeaderNames &Names, const HopInfo &Info,
                        const mesh::UpstreamId &To, SteadyTime Now,
                        HTTPRequest &Head) {
  removeReservedHeaders(Names, Info, Head);
  for (const ReservedHeader &Item : Reserved) {
    if (!applies(Item, Info))
      continue;
    const std::string Value = Item.Value({Info, To, Now});
    if (!Value.empty())
      Head.add(Names.*Item.Name, Value);
  }
}

} // namespace lycheethread::sidecar
