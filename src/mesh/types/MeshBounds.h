#ifndef LYCHEETHREAD_MESH_TYPES_MESHBOUNDS_H
#define LYCHEETHREAD_MESH_TYPES_MESHBOUNDS_H

#include "model/Model.h"
#include "organisations/Organisations.h"

namespace lycheethread::mesh {

/// Limits that the platform's users set for all nodes together. The defaults
/// hold where the settings state nothing.
struct MeshBounds {
  /// Time from SIGTERM until the platform kills the process.
  Milliseconds GraceTime{6000};
  /// Time within which an acknowledged configuration is in force on every node.
  Milliseconds ConfigApplyTime{2500};
  /// Retries that all nodes together may make at one service: a part of its
  /// requests, and a number on top.
  double RetryRatio = 0.2;
  double RetrySlack = 50;
  /// Part of a service's requests that a bad version may get in total.
  double ExposureShare = 0.1;
  organisations::RevocationBounds Revocation;
  /// Requests of an organisation in any QuotaWindow may exceed its quota by
  /// this part, and by a number on top.
  Milliseconds QuotaWindow{5000};
  double QuotaOverage = 0.1;
  double QuotaSlack = 20;
  /// The same for the requests that a cold upstream gets in any second: a
  /// factor on its rate, and a number on top.
  double ColdOverage = 1.5;
  double ColdSlack = 8;
};

/// What the settings say, with the defaults for values that cannot be used.
struct ParsedMeshBounds {
  MeshBounds Bounds;
  Findings Problems;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_MESHBOUNDS_H
