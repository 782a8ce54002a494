#include "settings/Settings.h"

#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>
#include <algorithm>
#include <array>
#include <cmath>

namespace lycheethread::settings {

namespace {

constexpr std::int64_t MaxPort = 65'535;
constexpr double MinCheckInSeconds = 0.01;
constexpr double MaxCheckInSeconds = 60;
constexpr double MinLinkMbit = 0.1;
constexpr double MaxLinkMbit = 1e6;
constexpr double BytesPerMsOfMbit = 125;
constexpr double MaxHedgeShare = 0.5;

struct Parsing : SchemaText {
  NodeSettings Settings;
};

void readEndpoint(SchemaText &To, const SchemaSection &From, const char *Key,
                  Endpoint &Into) {
  const auto Text = readTextValue(To, From, Key);
  if (!Text)
    return;
  const auto Read = parseEndpoint(*Text);
  if (!Read)
    reportInvalidValue(To, From, Key,
                       quoted(*Text) + " is not an IP address and port");
  Into = Read.value_or(Endpoint());
}

void readNode(Parsing &To, const SchemaSection &From) {
  To.Settings.Id = NodeId(readNameValue(To, From, "id"));
  To.Settings.At.RegionName = Region(readNameValue(To, From, "region"));
  To.Settings.At.Zone = AvailabilityZone(readNameValue(To, From, "zone"));
}

void readListen(Parsing &To, const SchemaSection &From) {
  readEndpoint(To, From, "requests", To.Settings.Listen);
  readEndpoint(To, From, "hop", To.Settings.Hop);
  readEndpoint(To, From, "control", To.Settings.Control);
  readEndpoint(To, From, "admin", To.Settings.Admin);
  readEndpoint(To, From, "announce", To.Settings.Announce);
}

void readUpstream(Parsing &To, const SchemaSection &From) {
  readEndpoint(To, From, "address", To.Settings.Upstream);
  To.Settings.Service = ServiceName(readNameValue(To, From, "service"));
  To.Settings.Group = GroupName(readNameValue(To, From, "group"));
  To.Settings.Version = VersionName(readNameValue(To, From, "version"));
}

bool isHttpUrl(const std::string &Text) {
  try {
    const Poco::URI Url(Text);
    const std::string Rest = Url.getPathEtc();
    return Url.getScheme() == "http" && (Rest.empty() || Rest == "/") &&
           parseEndpoint(Url.getAuthority()).has_value();
  } catch (const Poco::Exception &) {
    return false;
  }
}

void readLog(Parsing &To, const SchemaSection &From) {
  const auto Text = readTextValue(To, From, "url");
  if (!Text)
    return;
  if (!isHttpUrl(*Text))
    reportInvalidValue(To, From, "url",
                       quoted(*Text) + " is not an HTTP base URL");
  To.Settings.LogUrl = *Text;
}

void readPeers(SchemaText &To, const SchemaSection &From,
               std::vector<Endpoint> &Seeds) {
  if (From.Entries.count("seeds") == 0)
    return;
  for (const std::string &Part : splitList(From.Entries.at("seeds").Value)) {
    if (Part.empty())
      continue;
    const auto Seed = parseEndpoint(Part);
    if (Seed)
      Seeds.push_back(*Seed);
    else
      reportInvalidValue(To, From, "seeds",
                         quoted(Part) + " is not an IP address and port");
  }
}

void readLimits(Parsing &To, const SchemaSection &From) {
  To.Settings.MaxConnections =
      static_cast<std::int32_t>(readNumberValue(To, From, "max_connections"));
  To.Settings.DrainTimeout =
      std::chrono::seconds(readNumberValue(To, From, "drain_timeout_s"));
}

void readLogOutput(SchemaText &To, const SchemaSection &From,
                   std::string &LogLevel) {
  static constexpr std::array<const char *, 5> Levels = {
      "trace", "debug", "info", "warning", "error"};
  const std::string Level = readTextValue(To, From, "level").value_or("info");
  if (std::find(Levels.begin(), Levels.end(), Level) == Levels.end())
    reportInvalidValue(To, From, "level",
                       quoted(Level) + " is not a log level");
  LogLevel = Level;
}

void readSection(Parsing &To, const SchemaSection &From) {
  const std::string &Name = From.Rule->Name;
  if (Name == "node")
    readNode(To, From);
  else if (Name == "listen")
    readListen(To, From);
  else if (Name == "upstream")
    readUpstream(To, From);
  else if (Name == "log")
    readLog(To, From);
  else if (Name == "peers")
    readPeers(To, From, To.Settings.Seeds);
  else if (Name == "limits")
    readLimits(To, From);
  else
    readLogOutput(To, From, To.Settings.LogLevel);
}

void checkRequiredSections(SchemaText &To,
                           const std::vector<const char *> &RequiredSections) {
  for (const char *Name : RequiredSections)
    if (To.Index.Lines.count(Name) == 0)
      report(To, 0, Name, "the section is missing",
             "a section [" + std::string(Name) + "]");
}

/// Reports endpoints that are used twice; binding them would fail with a less
/// helpful error.
void checkDistinctEndpoints(Parsing &To) {
  const NodeSettings &Read = To.Settings;
  const std::array<std::pair<const char *, Endpoint>, 4> Ports = {{
      {"listen.requests", Read.Listen},
      {"listen.hop", Read.Hop},
      {"listen.control", Read.Control},
      {"listen.admin", Read.Admin},
  }};
  for (std::size_t Second = 1; Second < Ports.size(); ++Second)
    for (std::size_t First = 0; First < Second; ++First)
      if (Ports[First].second == Ports[Second].second &&
          Ports[Second].second.Port != 0)
        report(To, To.Index.Lines[Ports[Second].first], Ports[Second].first,
               std::string("the endpoint is also used by ") +
                   Ports[First].first,
               "four different endpoints");
}

struct SidecarParsing : SchemaText {
  SidecarSettings Settings;
};

void readSidecarListen(SidecarParsing &To, const SchemaSection &From) {
  SidecarSettings &Into = To.Settings;
  readEndpoint(To, From, "outbound", Into.Outbound);
  readEndpoint(To, From, "inbound", Into.Inbound);
  readEndpoint(To, From, "readiness", Into.Readiness);
  readEndpoint(To, From, "check_ins", Into.CheckIns);
  readEndpoint(To, From, "gossip", Into.Gossip);
  readEndpoint(To, From, "metrics", Into.Metrics);
}

/// Reads a number that may have a fraction and reports a bad value.
std::optional<double> readDecimalValue(SchemaText &To,
                                       const SchemaSection &From,
                                       const std::string &Key, double Min,
                                       double Max) {
  const auto Text = readTextValue(To, From, Key);
  if (!Text)
    return std::nullopt;
  double Value = 0;
  if (Poco::NumberParser::tryParseFloat(*Text, Value) && Value >= Min &&
      Value <= Max)
    return Value;
  reportInvalidValue(To, From, Key, quoted(*Text) + " is out of range");
  return std::nullopt;
}

void readSidecarUpstream(SidecarParsing &To, const SchemaSection &From) {
  SidecarSettings &Into = To.Settings;
  readEndpoint(To, From, "address", Into.Upstream);
  Into.Service = ServiceName(readNameValue(To, From, "service"));
  if (const auto Seconds = readDecimalValue(
          To, From, "check_in_s", MinCheckInSeconds, MaxCheckInSeconds))
    Into.CheckInInterval = Milliseconds(std::llround(*Seconds * 1000));
}

void readSidecarSection(SidecarParsing &To, const SchemaSection &From) {
  const std::string &Name = From.Rule->Name;
  SidecarSettings &Into = To.Settings;
  if (Name == "node") {
    Into.Id = NodeId(readNameValue(To, From, "id"));
    Into.At.RegionName = Region(readNameValue(To, From, "region"));
    Into.At.Zone = AvailabilityZone(readNameValue(To, From, "zone"));
  } else if (Name == "listen") {
    readSidecarListen(To, From);
  } else if (Name == "upstream") {
    readSidecarUpstream(To, From);
  } else if (Name == "store") {
    readEndpoint(To, From, "address", Into.Store);
  } else if (Name == "peers") {
    readPeers(To, From, Into.Seeds);
  } else if (Name == "limits") {
    if (const auto Link =
            readDecimalValue(To, From, "link_mbit", MinLinkMbit, MaxLinkMbit))
      Into.LinkBytesPerMs = *Link * BytesPerMsOfMbit;
  } else if (Name == "hedging") {
    if (const auto Share =
            readDecimalValue(To, From, "max_share", 0, MaxHedgeShare))
      Into.MaxHedgeShare = *Share;
  } else if (Name == "admission") {
    if (const auto Share = readDecimalValue(To, From, "min_failed_runs", 0, 1))
      Into.MinFailedRuns = *Share;
  } else if (Name == "platform") {
    Into.PlatformBounds = readTextValue(To, From, "bounds").value_or("");
  } else {
    readLogOutput(To, From, Into.LogLevel);
  }
}

} // namespace

bool isForSidecar(const std::string &Text) {
  return Text.rfind("[store]", 0) == 0 ||
         Text.find("\n[store]") != std::string::npos;
}

ParsedSidecarSettings parseSidecarSettings(const std::string &FileName,
                                           const std::string &Text) {
  SidecarParsing State{readSchemaText(FileName, Text, sidecarSchema()), {}};
  if (Text.size() <= MaxIniBytes) {
    for (const SchemaSection &Known : State.Sections)
      readSidecarSection(State, Known);
    checkRequiredSections(State, {"node", "listen", "upstream", "store"});
  }
  return {State.Settings, takeFindings(State)};
}

std::optional<Endpoint> parseEndpoint(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  const auto Port = parseWholeNumber(Text.substr(Colon + 1));
  const std::string Address = Text.substr(0, Colon);
  Poco::Net::IPAddress Parsed;
  if (!Port || *Port < 1 || *Port > MaxPort ||
      !Poco::Net::IPAddress::tryParse(Address, Parsed))
    return std::nullopt;
  return Endpoint{Address, static_cast<std::uint16_t>(*Port)};
}

std::string toString(const Endpoint &At) {
  return At.Address + ":" + std::to_string(At.Port);
}

ParsedSettings parseNodeSettings(const std::string &FileName,
                                 const std::string &Text) {
  Parsing State{readSchemaText(FileName, Text, settingsSchema()), {}};
  if (Text.size() <= MaxIniBytes) {
    for (const SchemaSection &Known : State.Sections)
      readSection(State, Known);
    checkRequiredSections(State, {"node", "listen", "log"});
    checkDistinctEndpoints(State);
  }
  return {State.Settings, takeFindings(State)};
}

} // namespace lycheethread::settings
