#ifndef LYCHEETHREAD_TESTS_PLATFORM_RAWCALL_H
#define LYCHEETHREAD_TESTS_PLATFORM_RAWCALL_H

#include "RawExchange.h"

#include <cstdint>
#include <string>

namespace lycheethread::platformtest {

using harness::bodyOf;

/// Sends the bytes on a new connection to 127.0.0.1 and returns all bytes that
/// come back until the connection ends; the request should ask for that.
std::string sendRaw(std::uint16_t Port, const std::string &Bytes);

} // namespace lycheethread::platformtest

#endif // LYCHEETHREAD_TESTS_PLATFORM_RAWCALL_H
