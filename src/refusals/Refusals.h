#ifndef LYCHEETHREAD_REFUSALS_REFUSALS_H
#define LYCHEETHREAD_REFUSALS_REFUSALS_H

/// Public header of the refusals library: counts the refusals of a node in
/// batches, merges batches and builds reports. No function does I/O or reads a
/// clock.

#include "refusals/types/RefusalBatch.h"
#include "refusals/types/RefusalLedger.h"
#include "refusals/types/RefusalReport.h"
#include "refusals/types/RefusalSink.h"

namespace lycheethread::refusals {

/// Longest time between two batches of a running node.
inline constexpr Milliseconds LongestBatchInterval{60000};
/// A node without a final batch counts as running for this long after its last
/// batch: one interval until the next batch is due and one for its delivery to
/// the log.
inline constexpr Milliseconds BatchOverdueAfter{120000};

/// Returns an empty ledger for an incarnation that starts at \p Now.
RefusalLedger makeLedger(NodeId Node, Incarnation IncarnationNumber,
                         WallTime Now);

/// Counts \p Item exactly once. Truncates names longer than MaxNameBytes.
void addRefusal(RefusalLedger &Ledger, const Refusal &Item);

/// Returns the unconfirmed batch unchanged if there is one, regardless of
/// \p Final. Otherwise closes the open interval at \p Now and returns it as a
/// new batch.
std::shared_ptr<const RefusalBatch> takeBatch(RefusalLedger &Ledger,
                                              WallTime Now, bool Final);

/// Drops the unconfirmed batch once it is known to be in the log. Returns false
/// if \p Id is not the id of the unconfirmed batch.
bool confirmBatch(RefusalLedger &Ledger, const BatchId &Id);

/// Returns whether a batch must be sent: there is an unconfirmed batch to
/// resend, there are refusals to report, no batch has been sent yet,
/// or LongestBatchInterval has passed.
bool batchDue(const RefusalLedger &Ledger, WallTime Now);

/// Merges \p More into \p Into: adds counts and extends time ranges.
void mergeCounts(RefusalCounts &Into, const RefusalCounts &More);

/// Sorts the batches by id and removes duplicates; the first copy is kept.
std::vector<RefusalBatch> mergeBatches(std::vector<RefusalBatch> Batches);

/// Sums the batches, each once, and lists the gaps between them. A node whose
/// last batch is not older than BatchOverdueAfter at \p Now counts as running.
/// An incarnation without a final batch ends where the next incarnation of its
/// node starts.
RefusalReport buildReport(std::vector<RefusalBatch> Batches,
                          const ReportFilter &Filter, WallTime Now);

} // namespace lycheethread::refusals

#endif // LYCHEETHREAD_REFUSALS_REFUSALS_H
