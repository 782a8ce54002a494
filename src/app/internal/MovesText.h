#ifndef LYCHEETHREAD_APP_INTERNAL_MOVESTEXT_H
#define LYCHEETHREAD_APP_INTERNAL_MOVESTEXT_H

#include "moves/Moves.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheethread::app {

/// Returns the ended moves, oldest first, followed by the running ones. A
/// non-empty \p Service restricts the list to the moves of that service.
std::vector<moves::Move> listMoves(const moves::MoveTable &Table,
                                   const ServiceName &Service);

/// Formats a table with one line for each move, and its reason and evidence
/// below the line.
std::string movesTable(const std::vector<moves::Move> &Moves);

std::string movesJson(const std::vector<moves::Move> &Moves);

/// Returns the exit code of a command that waits for the move \p Id; empty
/// while the move is running.
std::optional<int> exitCodeOf(const moves::MoveTable &Table, const MoveId &Id);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_MOVESTEXT_H
