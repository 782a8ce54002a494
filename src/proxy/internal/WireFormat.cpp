#include "proxy/internal/WireFormat.h"

#include <proxy_types.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>

namespace lycheethread::proxy {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t MaxClaimBytes = 16 * 1024;
constexpr std::size_t MaxCrashBytes = 256;

template <typename Message> std::string encode(const Message &From) {
  auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol Protocol(Buffer);
  From.write(&Protocol);
  return Buffer->getBufferAsString();
}

template <typename Message>
std::optional<Message> decode(const std::string &Data, std::size_t Max) {
  if (Data.size() > Max)
    return std::nullopt;
  std::string Copy = Data;
  auto Buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t *>(Copy.data()),
      static_cast<std::uint32_t>(Copy.size()));
  TCompactProtocol Protocol(Buffer);
  try {
    Message Result;
    Result.read(&Protocol);
    return Result;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string encodeClaim(const requests::ClaimEntry &Entry) {
  wire::ClaimMessage Message;
  Message.__set_kind(static_cast<std::int32_t>(Entry.Kind));
  Message.__set_key(Entry.Key.str());
  Message.__set_token(Entry.Token);
  Message.__set_digest(Entry.RequestFingerprint);
  Message.__set_status(Entry.Answer.Status);
  Message.__set_contentType(Entry.Answer.ContentType);
  if (Entry.Answer.Body)
    Message.__set_body(*Entry.Answer.Body);
  return encode(Message);
}

std::optional<requests::ClaimEntry> decodeClaim(const std::string &Data) {
  const auto Message = decode<wire::ClaimMessage>(Data, MaxClaimBytes);
  if (!Message || Message->kind < 0 ||
      Message->kind > static_cast<std::int32_t>(requests::ClaimKind::Release))
    return std::nullopt;
  requests::ClaimEntry Entry;
  Entry.Kind = static_cast<requests::ClaimKind>(Message->kind);
  Entry.Key = IdempotencyKey(Message->key);
  Entry.Token = Message->token;
  Entry.RequestFingerprint = Message->digest;
  Entry.Answer.Status = Message->status;
  Entry.Answer.ContentType = Message->contentType;
  if (Message->__isset.body)
    Entry.Answer.Body = Message->body;
  return Entry;
}

std::string encodeCrash(const CrashReport &Report) {
  wire::CrashMessage Message;
  Message.__set_digest(Report.RequestFingerprint.str());
  Message.__set_crash(Report.Crash.str());
  Message.__set_weight(static_cast<std::int32_t>(Report.Weight));
  return encode(Message);
}

std::optional<CrashReport> decodeCrash(const std::string &Data) {
  const auto Message = decode<wire::CrashMessage>(Data, MaxCrashBytes);
  if (!Message ||
      Message->weight <
          static_cast<std::int32_t>(requests::SuspectWeight::Answered) ||
      Message->weight >
          static_cast<std::int32_t>(requests::SuspectWeight::NeverAnswered))
    return std::nullopt;
  return CrashReport{requests::Fingerprint(Message->digest),
                     requests::CrashId(Message->crash),
                     static_cast<requests::SuspectWeight>(Message->weight)};
}

} // namespace lycheethread::proxy
