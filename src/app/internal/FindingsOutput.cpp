#include "app/internal/FindingsOutput.h"

namespace lycheethread::app {

Poco::JSON::Array findingsJson(const Findings &Items) {
  Poco::JSON::Array List;
  for (const Finding &Item : Items) {
    Poco::JSON::Object Entry;
    Entry.set("file", Item.File);
    Entry.set("line", Item.Line);
    Entry.set("key", Item.Key);
    Entry.set("problem", Item.Problem);
    Entry.set("allowed", Item.Allowed);
    List.add(Entry);
  }
  return List;
}

void printFindings(std::ostream &Out, const Findings &Items) {
  for (const Finding &Item : Items)
    Out << toString(Item) << "\n";
}

void printJson(std::ostream &Out, const Poco::JSON::Object &Body) {
  Body.stringify(Out);
  Out << "\n";
}

} // namespace lycheethread::app
