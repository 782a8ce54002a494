#ifndef LYCHEETHREAD_PROXY_INTERNAL_WIREFORMAT_H
#define LYCHEETHREAD_PROXY_INTERNAL_WIREFORMAT_H

#include "requests/Requests.h"

#include <optional>
#include <string>

namespace lycheethread::proxy {

/// Fingerprint of a request that was in progress at a crash.
struct CrashReport {
  requests::Fingerprint RequestFingerprint;
  requests::CrashId Crash;
  requests::SuspectWeight Weight = requests::SuspectWeight::NeverAnswered;
};

/// Thrift compact encoding of the messages in proxy.thrift. Decoders return
/// nothing for invalid input.
std::string encodeClaim(const requests::ClaimEntry &Entry);
std::optional<requests::ClaimEntry> decodeClaim(const std::string &Data);
std::string encodeCrash(const CrashReport &Report);
std::optional<CrashReport> decodeCrash(const std::string &Data);

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_WIREFORMAT_H
