#include "moveowner/internal/OutcomeCodec.h"

#include <outcomes_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>

namespace lycheethread::moveowner {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t MaxReportBytes = 256 * 1024;
constexpr std::size_t MaxReportRoutes = 1024;

template <typename Message> std::string encode(const Message &Sent) {
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer);
  Sent.write(&Protocol);
  return Buffer->getBufferAsString();
}

template <typename Message> Message decode(const std::string &Payload) {
  if (Payload.size() > MaxReportBytes)
    throw BadMessage("message of " + std::to_string(Payload.size()) +
                     " bytes is too large");
  // With this limit Thrift refuses a length field that would make it reserve
  // more memory than the largest message.
  const auto Settings = std::make_shared<apache::thrift::TConfiguration>(
      static_cast<int>(MaxReportBytes));
  const auto Buffer = std::make_shared<TMemoryBuffer>(Settings);
  Buffer->write(reinterpret_cast<const std::uint8_t *>(Payload.data()),
                static_cast<std::uint32_t>(Payload.size()));
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer,
                                            static_cast<int>(MaxReportBytes),
                                            static_cast<int>(MaxReportRoutes));
  Message Result;
  try {
    Result.read(&Protocol);
  } catch (const apache::thrift::TException &Error) {
    throw BadMessage(Error.what());
  }
  return Result;
}

wire::RouteCounts toWire(const RouteOutcomes &Seen) {
  wire::RouteCounts Result;
  Result.group = Seen.Group.str();
  Result.route = Seen.Route.str();
  Result.version = Seen.Version.str();
  Result.requests = Seen.Requests;
  Result.failures = Seen.Failures;
  const auto IsUsed = [](std::int64_t Count) { return Count != 0; };
  const auto First =
      std::find_if(Seen.Latency.begin(), Seen.Latency.end(), IsUsed) -
      Seen.Latency.begin();
  const auto Unused =
      std::find_if(Seen.Latency.rbegin(), Seen.Latency.rend(), IsUsed) -
      Seen.Latency.rbegin();
  Result.first_bucket = static_cast<std::int32_t>(First);
  const auto Used = static_cast<std::ptrdiff_t>(LatencyBuckets) - Unused;
  for (std::ptrdiff_t I = First; I < Used; ++I)
    Result.latency.push_back(Seen.Latency[static_cast<std::size_t>(I)]);
  return Result;
}

RouteOutcomes fromWire(const wire::RouteCounts &Seen) {
  RouteOutcomes Result;
  Result.Group = GroupName(Seen.group);
  Result.Route = RouteName(Seen.route);
  Result.Version = VersionName(Seen.version);
  Result.Requests = Seen.requests;
  Result.Failures = Seen.failures;
  const auto First = static_cast<std::size_t>(std::max(Seen.first_bucket, 0));
  if (First + Seen.latency.size() > LatencyBuckets)
    throw BadMessage("report has too many latency buckets");
  std::copy(Seen.latency.begin(), Seen.latency.end(),
            Result.Latency.begin() + static_cast<std::ptrdiff_t>(First));
  return Result;
}

} // namespace

std::string encodeReport(const ServiceReport &Sent) {
  wire::HopOutcomes Message;
  Message.service_name = Sent.Service.str();
  Message.hop = Sent.Report.Hop.str();
  Message.traffic_age_ms = Sent.Report.TimeSinceFirstRequest.count();
  const std::size_t Count =
      std::min(Sent.Report.Routes.size(), MaxReportRoutes);
  for (std::size_t I = 0; I < Count; ++I)
    Message.routes.push_back(toWire(Sent.Report.Routes[I]));
  return encode(Message);
}

ServiceReport decodeReport(const std::string &Payload) {
  const auto Message = decode<wire::HopOutcomes>(Payload);
  ServiceReport Result;
  Result.Service = ServiceName(Message.service_name);
  Result.Report.Hop = NodeId(Message.hop);
  Result.Report.TimeSinceFirstRequest = Milliseconds(Message.traffic_age_ms);
  for (const wire::RouteCounts &Seen : Message.routes)
    Result.Report.Routes.push_back(fromWire(Seen));
  return Result;
}

std::string encodeStopNotice(const MoveId &Id) {
  wire::BrakeNotice Message;
  Message.move_id = Id.str();
  return encode(Message);
}

MoveId decodeStopNotice(const std::string &Payload) {
  const auto Message = decode<wire::BrakeNotice>(Payload);
  if (Message.move_id.empty())
    throw BadMessage("stop notice without a move id");
  return MoveId(Message.move_id);
}

} // namespace lycheethread::moveowner
