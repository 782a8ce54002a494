#ifndef LYCHEETHREAD_REFUSALS_REFUSALS_H
#define LYCHEETHREAD_REFUSALS_REFUSALS_H

/// Public header of the refusals library: merging, batches and the report, as
/// pure functions.

#include "refusals/types/RefusalBatch.h"
#include "refusals/types/RefusalLedger.h"
#include "refusals/types/RefusalReport.h"
#include "refusals/types/RefusalSink.h"

namespace lycheethread::refusals {

/// Longest time between two batches of a running node.
inline constexpr Milliseconds LongestBatchInterval{60000};
/// A node without a final batch counts as running this long after its last
/// batch: one interval for the batch, one for its way to the log.
inline constexpr Milliseconds BatchOverdueAfter{120000};

/// Ledger of a life that starts at \p Now.
RefusalLedger makeLedger(NodeId Node, Incarnation IncarnationNumber,
                         WallTime Now);

/// Counts \p Item exactly once. Names longer than MaxNameBytes are cut.
void addRefusal(RefusalLedger &Ledger, const Refusal &Item);

/// Returns the unconfirmed batch when there is one, whatever \p Final; else
/// closes the open interval at \p Now and returns it as a new batch.
std::shared_ptr<const RefusalBatch> takeBatch(RefusalLedger &Ledger,
                                              WallTime Now, bool Final);

/// Drops the taken batch once it is known to be in the log; false when \p Id
/// is not the unconfirmed one.
bool confirmBatch(RefusalLedger &Ledger, const BatchId &Id);

/// Whether a batch is due: one to resend, refusals to report, or an interval
/// of LongestBatchInterval without any.
bool batchDue(const RefusalLedger &Ledger, WallTime Now);

/// Adds \p More to \p Into, sums counts and widens times.
void mergeCounts(RefusalCounts &Into, const RefusalCounts &More);

/// Batches ordered by id, each once; the first copy is kept.
std::vector<RefusalBatch> mergeBatches(std::vector<RefusalBatch> Batches);

/// Sums the batches, each once, and states what is missing. A node whose last
/// batch is not older than BatchOverdueAfter at \p Now counts as running. A
/// life without a final batch ends where the next life of its node starts.
RefusalReport buildReport(std::vector<RefusalBatch> Batches,
                          const ReportFilter &Filter, WallTime Now);

} // namespace lycheethread::refusals

#endif // LYCHEETHREAD_REFUSALS_REFUSALS_H
