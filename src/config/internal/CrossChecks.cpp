#include "config/Config.h"

namespace lycheethread::config {

namespace {

constexpr std::size_t MaxListedNames = 10;

template <typename Map> std::string namesIn(const Map &Items) {
  std::string Text;
  std::size_t Listed = 0;
  for (const auto &Item : Items) {
    if (Listed++ == MaxListedNames)
      return Text + ", ...";
    Text += (Text.empty() ? "" : ", ") + Item.first.str();
  }
  return Text.empty() ? "none is defined" : Text;
}

void checkUse(Findings &To, const ConfigState &State, const ServiceUse &Use) {
  const std::string Section = "uses." + Use.Name;
  const auto Found = State.Documents.find(Use.Service);
  if (Found == State.Documents.end()) {
    To.push_back(
        {"", 0, Section + ".service",
         "service " + quoted(Use.Service.str()) + " has no accepted document",
         namesIn(State.Documents)});
    return;
  }
  const auto &Groups = Found->second.Document.Groups;
  if (Groups.count(Use.Group) == 0)
    To.push_back({"", 0, Section + ".upstreams",
                  "service " + quoted(Use.Service.str()) + " has no group " +
                      quoted(Use.Group.str()),
                  namesIn(Groups)});
}

/// Returns whether \p Use refers to a group of this service that \p Document no
/// longer contains.
bool losesGroup(const ServiceUse &Use, const ServiceDocument &Document) {
  return Use.Service == Document.Service &&
         Document.Groups.count(Use.Group) == 0;
}

void checkUser(Findings &To, const AcceptedDocument &User,
               const ServiceDocument &Document) {
  for (const auto &[Name, Use] : User.Document.Uses)
    if (losesGroup(Use, Document))
      To.push_back(
          {"", 0, "upstreams." + Use.Group.str(),
           "the group is missing but service " +
               quoted(User.Document.Service.str()) + " uses it in revision " +
               std::to_string(User.Accepted.value()) + ", [uses." + Name + "]",
           "the group, until that service no longer uses it"});
}

} // namespace

Findings checkAgainst(const ConfigState &State,
                      const ServiceDocument &Document) {
  Findings Problems;
  for (const auto &Item : Document.Uses)
    checkUse(Problems, State, Item.second);
  for (const auto &[Service, User] : State.Documents)
    if (Service != Document.Service)
      checkUser(Problems, User, Document);
  return Problems;
}

} // namespace lycheethread::config
