#include "moves/Moves.h"

// Stands in for the moves library: the first listed version takes everything.
lycheethread::moves::GroupShare
lycheethread::moves::shareOf(const MoveTable & /*Table*/,
                             const ServiceDocument &Document,
                             const GroupName &Group) {
  GroupShare Share;
  Share.Stable = Document.Groups.at(Group).Versions.front();
  return Share;
}
