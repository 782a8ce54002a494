#ifndef LYCHEETHREAD_RECORDS_RECORDS_H
#define LYCHEETHREAD_RECORDS_RECORDS_H

/// Public header of the records library: the bytes of control records.

#include "model/Model.h"

#include <cstddef>
#include <stdexcept>
#include <string>

namespace lycheethread::records {

/// The bytes are no record, or the record does not fit the bounds below.
class BadRecord : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Bytes of one encoded record; a document and its envelope fit.
inline constexpr std::size_t MaxRecordBytes = MaxIniBytes + 16 * 1024;
/// Bytes of a writer, holder, service, subject, move or digest.
inline constexpr std::size_t MaxRecordNameBytes = 256;
/// Bytes of a reason or of evidence.
inline constexpr std::size_t MaxRecordNoteBytes = 4096;

/// Thrift compact protocol, see records.thrift. Throws BadRecord when a text
/// is above its bound.
std::string encodeRecord(const Record &Item);

/// Throws BadRecord for anything that encodeRecord would not have written,
/// except that unknown fields are ignored.
Record decodeRecord(const std::string &Data);

} // namespace lycheethread::records

#endif // LYCHEETHREAD_RECORDS_RECORDS_H
