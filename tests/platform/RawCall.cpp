#include "RawCall.h"

#include <Poco/Exception.h>

namespace lycheethread::platformtest {

std::string sendRaw(std::uint16_t Port, const std::string &Bytes) {
  try {
    return harness::exchangeRaw(Port, Bytes, 0).Answer;
  } catch (const Poco::Exception &) {
    // The node does not accept the connection or the bytes.
    return "";
  }
}

} // namespace lycheethread::platformtest
