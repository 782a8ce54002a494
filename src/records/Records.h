#ifndef LYCHEETHREAD_RECORDS_RECORDS_H
#define LYCHEETHREAD_RECORDS_RECORDS_H

/// Public header of the records library: encodes and decodes the records of the
/// control stream.

#include "model/Model.h"

#include <cstddef>
#include <stdexcept>
#include <string>

namespace lycheethread::records {

/// Thrown when data is not a valid record or a record exceeds the limits below.
class BadRecord : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Maximum size of an encoded record: a document of the maximum size and the
/// other fields.
inline constexpr std::size_t MaxRecordBytes = MaxIniBytes + 16 * 1024;
/// Maximum size of a writer, holder, service, subject, move or digest.
inline constexpr std::size_t MaxRecordNameBytes = 256;
/// Maximum size of a reason or evidence.
inline constexpr std::size_t MaxRecordNoteBytes = 4096;

/// Encodes a record in the Thrift compact protocol, see records.thrift. Throws
/// BadRecord when a text exceeds its limit.
std::string encodeRecord(const Record &Item);

/// Decodes a record and ignores unknown fields. Throws BadRecord for other data
/// that encodeRecord() cannot produce.
Record decodeRecord(const std::string &Data);

} // namespace lycheethread::records

#endif // LYCHEETHREAD_RECORDS_RECORDS_H
