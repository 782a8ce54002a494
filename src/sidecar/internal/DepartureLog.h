#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_DEPARTURELOG_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_DEPARTURELOG_H

#include "sidecar/internal/NodeContext.h"
#include "sidecar/internal/StoreClient.h"

#include <list>

namespace lycheethread::sidecar {

/// Keeps in the store which upstreams beside this node are leaving or have
/// left, so that what was acknowledged outlasts a loss of all nodes.
class DepartureLog {
public:
  struct Callbacks {
    /// isKnown() has become true.
    std::function<void()> OnKnown;
    /// The registered upstream was found to have left.
    std::function<void()> OnRestored;
    /// There are departures to write, and the node does not know whether it is
    /// on the list of nodes.
    std::function<void()> OnUnlisted;
  };

  DepartureLog(NodeContext &Context, StoreClient &Store, Callbacks Handlers);
  ~DepartureLog();

  /// To be called when the list of nodes has been read. A node that is not on
  /// it has not run before, so it has nothing to read.
  void onListRead(bool IsListed);

  /// Whether the departures that earlier incarnations have recorded are known.
  bool isKnown() const { return IsKnown_; }

  /// Reads or writes what is due; to be called regularly, and when the
  /// registration has changed.
  void update();

  /// Calls \p Done with true once the store holds the departure of \p Id, or
  /// with false if that takes too long for an answer to the upstream.
  void whenRecorded(const mesh::UpstreamId &Id, std::function<void(bool)> Done);

  /// To be called when the operator's records have changed. Writes departures
  /// again that a store which came back from an older copy may have lost.
  void onRecords();

private:
  struct Waiting {
    mesh::UpstreamId Id;
    std::function<void(bool)> Done;
    reactor::TimerId Timer;
  };

  bool mayCall() const;
  void recordFailure(Milliseconds Longest);
  void read();
  void onRead(const StoreRead &Read);
  std::optional<int> slotOf(const std::string &Key) const;
  std::string keyOf(int Slot) const;
  int slotFor(const mesh::Departure &Item) const;
  void write(const mesh::Departure &Item);
  void onWritten(int Slot, const mesh::Departure &Item, StoreOutcome Outcome);
  void answerWaiting();
  /// Takes note of a later era, in which the store may have lost every slot.
  void enterEra(StoreEra Now);

  NodeContext &Context_;
  StoreClient &Store_;
  Callbacks Callbacks_;
  bool IsKnown_ = false;
  /// A call to the store is in progress.
  bool IsBusy_ = false;
  /// When the departures are read, unless the list makes that needless.
  SteadyTime ReadAt_;
  SteadyTime FailedAt_;
  Milliseconds Backoff_{0};
  /// What each slot holds, and the next one to use.
  std::map<int, mesh::Departure> Slots_;
  int NextSlot_ = 0;
  /// Era of the store in which the slots were written.
  StoreEra Era_;
  std::list<Waiting> Waiting_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_DEPARTURELOG_H
