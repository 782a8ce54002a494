#ifndef LYCHEETHREAD_APP_INTERNAL_MOVESTEXT_H
#define LYCHEETHREAD_APP_INTERNAL_MOVESTEXT_H

#include "moves/Moves.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheethread::app {

/// Ended moves, oldest first, then the running ones; of one service when
/// \p Service is not empty.
std::vector<moves::Move> listMoves(const moves::MoveTable &Table,
                                   const ServiceName &Service);

/// A table with one line for each move and its evidence below.
std::string movesTable(const std::vector<moves::Move> &Moves);

std::string movesJson(const std::vector<moves::Move> &Moves);

/// Exit code for a move that is waited for; empty while it is running.
std::optional<int> exitCodeOf(const moves::MoveTable &Table, const MoveId &Id);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_MOVESTEXT_H
