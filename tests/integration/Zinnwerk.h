#ifndef LYCHEETHREAD_TESTS_INTEGRATION_ZINNWERK_H
#define LYCHEETHREAD_TESTS_INTEGRATION_ZINNWERK_H

#include "Mesh.h"

#include <string>
#include <vector>

namespace lycheethread::integration {

/// The Zinnwerk deployment with 4 instances: two workshops, one for scans and
/// one for the ledger.
struct Zinnwerk {
  /// Starts the log behind a fault proxy, publishes the documents and starts
  /// all nodes. Throws std::runtime_error when a step fails.
  explicit Zinnwerk(const std::string &TestName);

  harness::Mesh Mesh;
  harness::PortProcess *Log = nullptr;
  harness::FaultProcess *LogFault = nullptr;
  harness::NodeProcess *Eichstaett = nullptr;
  harness::NodeProcess *Ingolstadt = nullptr;
  harness::NodeProcess *Nuernberg = nullptr;
  harness::NodeProcess *Fuerth = nullptr;
  std::vector<harness::NodeProcess *> Nodes;

  /// Publishes a document of examples/zinnwerk. Throws std::runtime_error when
  /// the command fails.
  void publish(const std::string &File);
  /// Whether every node has both documents.
  bool hasDocuments() const;
  /// Whether every node sees every node as ready.
  bool hasMembers() const;
  /// Returns how often all upstreams together executed the idempotency key.
  int executions(const std::string &Key) const;

private:
  harness::NodeProcess *start(const std::string &Id, const std::string &Region,
                              const std::string &Zone,
                              const std::string &Service,
                              const std::string &Group);
};

/// Returns a request to the service through the node, without sending it.
harness::HttpCall callTo(const harness::NodeProcess &Entry,
                         const std::string &Service, const std::string &Method,
                         const std::string &Path);

} // namespace lycheethread::integration

#endif // LYCHEETHREAD_TESTS_INTEGRATION_ZINNWERK_H
