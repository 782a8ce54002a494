#ifndef LYCHEETHREAD_MESH_TYPES_UPLOADBACKLOG_H
#define LYCHEETHREAD_MESH_TYPES_UPLOADBACKLOG_H

#include "model/Model.h"

namespace lycheethread::mesh {

/// Long request bodies that a last hop receives over the link of its instance.
struct UploadBacklog {
  /// Bandwidth of the link in bytes per ms.
  double BytesPerMs = 125'000;
  std::int32_t Receiving = 0;
  /// Bytes of the bodies that are being received or wait to be.
  std::int64_t PendingBytes = 0;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_UPLOADBACKLOG_H
