#ifndef LYCHEETHREAD_TESTS_INTEGRATION_ZINNWERK_H
#define LYCHEETHREAD_TESTS_INTEGRATION_ZINNWERK_H

#include "Mesh.h"

#include <string>
#include <vector>

namespace lycheethread::integration {

/// Zinnwerk with 4 upstreams: two workshops, one for scans and the ledger.
struct Zinnwerk {
  /// Starts the log, a fault proxy before it, all nodes, and publishes the
  /// documents. Throws std::runtime_error when that fails.
  explicit Zinnwerk(const std::string &TestName);

  harness::Mesh Mesh;
  harness::PortProcess *Log = nullptr;
  harness::FaultProcess *LogFault = nullptr;
  harness::NodeProcess *Eichstaett = nullptr;
  harness::NodeProcess *Ingolstadt = nullptr;
  harness::NodeProcess *Nuernberg = nullptr;
  harness::NodeProcess *Fuerth = nullptr;
  std::vector<harness::NodeProcess *> Nodes;

  void publish(const std::string &File);
  /// Whether every node has both documents.
  bool hasDocuments() const;
  /// Whether every node sees every node as ready.
  bool hasMembers() const;
  /// Executions of the key at all upstreams.
  int executions(const std::string &Key) const;

private:
  harness::NodeProcess *start(const std::string &Id, const std::string &Region,
                              const std::string &Zone,
                              const std::string &Service,
                              const std::string &Group);
};

/// A request of a caller to the service through the node.
harness::HttpCall callTo(const harness::NodeProcess &Entry,
                         const std::string &Service, const std::string &Method,
                         const std::string &Path);

} // namespace lycheethread::integration

#endif // LYCHEETHREAD_TESTS_INTEGRATION_ZINNWERK_H
