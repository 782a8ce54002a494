#include "http/Http.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread::http;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

/// Decoded, this ends a head and begins a second request.
const std::string EncodedRequest =
    "=?UTF-8?Q?note=0D=0A=0D=0APOST_/write/42_HTTP/1.1=0D=0AHost:_h?=";

std::string forwardedRequest(const std::string &Head) {
  HTTPRequest Read;
  parseRequest(Head, Read);
  HTTPRequest Forwarded(Read.getMethod(), Read.getURI(), Read.getVersion());
  copyEndToEndHeaders(Read, Forwarded);
  return serialize(Forwarded);
}

std::string forwardedResponse(const std::string &Head) {
  HTTPResponse Read;
  parseResponse(Head, Read);
  HTTPResponse Forwarded(Read.getStatus(), Read.getReason());
  Forwarded.setVersion(Read.getVersion());
  copyEndToEndHeaders(Read, Forwarded);
  return serialize(Forwarded);
}

bool isRejectedRequest(const std::string &Head) {
  HTTPRequest Read;
  try {
    parseRequest(Head, Read);
  } catch (const BadMessage &) {
    return true;
  }
  return false;
}

bool isRejectedResponse(const std::string &Head) {
  HTTPResponse Read;
  try {
    parseResponse(Head, Read);
  } catch (const BadMessage &) {
    return true;
  }
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Heads)

// Guards against a header value that is decoded on the way: line breaks in an
// encoded word (RFC 2047) end the head, and what follows runs as a request.
BOOST_AUTO_TEST_CASE(encodedWordsAreForwardedAsTheyCame) {
  const std::string Fields = "Host: h\r\nX-Note: " + EncodedRequest +
                             "\r\nX-Name: =?ISO-8859-1?B?SvxyZ2Vu?=\r\n\r\n";
  const std::string Request = "GET /read/1 HTTP/1.1\r\n" + Fields;
  BOOST_TEST(forwardedRequest(Request) == Request);
  const std::string Response = "HTTP/1.1 200 OK\r\n" + Fields;
  BOOST_TEST(forwardedResponse(Response) == Response);
}

// Guards against heads within the limits of the configuration that are changed
// or rejected because of limits of the library.
BOOST_AUTO_TEST_CASE(headsAreForwardedByteForByte) {
  std::string Fields = "Host: h\r\n";
  Fields += "X-Long: " + std::string(12'000, 'v') + "\r\n";
  Fields += std::string(300, 'n') + ": long name\r\n";
  Fields += "X-Inner: a  b\tc, \"d:e\"; f=\"g\"\r\n";
  Fields += "X-Bytes: \xc3\xa4\x80\xff\r\n";
  Fields += "X-Empty: \r\n";
  for (int Index = 0; Index < 300; ++Index)
    Fields +=
        "x-" + std::to_string(Index) + ": " + std::to_string(Index) + "\r\n";
  Fields += "\r\n";
  const std::string Target =
      "/read/%0d%0A?q=%3D%3F&a=" + std::string(5000, 'q');
  const std::string Request = "GET " + Target + " HTTP/1.1\r\n" + Fields;
  BOOST_TEST(forwardedRequest(Request) == Request);
  const std::string Response =
      "HTTP/1.1 299 " + std::string(600, 'r') + "\r\n" + Fields;
  BOOST_TEST(forwardedResponse(Response) == Response);
}

// Guards against white space around a value that becomes part of it, and
// against lines of one name that are merged or lost.
BOOST_AUTO_TEST_CASE(valuesAreReadWithoutSurroundingSpace) {
  HTTPRequest Read;
  parseRequest(
      "GET /x HTTP/1.1\r\nHost:h\r\nX-A: \t one \t \r\nx-a:two\r\n\r\n", Read);
  std::vector<std::string> Values;
  for (auto It = Read.find("X-A"); It != Read.end() && It->first != "Host";
       ++It)
    Values.push_back(It->second);
  BOOST_TEST(Values.size() == 2U);
  BOOST_TEST(Values.front() == "one");
  BOOST_TEST(Values.back() == "two");
  BOOST_TEST(Read.get("host") == "h");
}

// Guards against a field that a proxy sets and that stands twice, since only
// the first of several lines was replaced.
BOOST_AUTO_TEST_CASE(settingAFieldReplacesAllItsLines) {
  HTTPRequest Head;
  parseRequest("GET /x HTTP/1.1\r\nHost: h\r\nX-Caller: a\r\nX-Other: o\r\n"
               "x-caller: b\r\nX-CALLER: c\r\n\r\n",
               Head);
  setField(Head, "X-Caller", "desk");
  BOOST_TEST(serialize(Head) ==
             "GET /x HTTP/1.1\r\nHost: h\r\nX-Other: o\r\nX-Caller: desk"
             "\r\n\r\n");
}

// Guards against options of the second of two Connection lines that are not
// obeyed: lines of one name are one list.
BOOST_AUTO_TEST_CASE(allConnectionLinesAreObeyed) {
  const std::string Start = "GET /x HTTP/1.1\r\nHost: h\r\n";
  BOOST_TEST(forwardedRequest(Start + "Connection: x-a\r\nX-A: 1\r\n"
                                      "Connection: x-b , X-C\r\nX-B: 2\r\n"
                                      "X-C: 3\r\nX-D: 4\r\n\r\n") ==
             Start + "X-D: 4\r\n\r\n");
  const auto Keeps = [](const std::string &Version, const std::string &Fields) {
    HTTPRequest Head;
    parseRequest("GET /x " + Version + "\r\n" + Fields + "\r\n", Head);
    return keepsConnection(Head);
  };
  BOOST_TEST(Keeps("HTTP/1.1", ""));
  BOOST_TEST(Keeps("HTTP/1.1", "Connection: Keep-Alive\r\n"));
  BOOST_TEST(!Keeps("HTTP/1.1", "Connection: Close\r\n"));
  BOOST_TEST(!Keeps("HTTP/1.1", "Connection: x-a, close\r\n"));
  BOOST_TEST(!Keeps("HTTP/1.1", "Connection: x-a\r\nConnection: close\r\n"));
  BOOST_TEST(!Keeps("HTTP/1.0", ""));
  BOOST_TEST(!Keeps("HTTP/1.0", "Connection: x-a\r\n"));
  BOOST_TEST(Keeps("HTTP/1.0", "Connection: keep-alive\r\n"));
  BOOST_TEST(!Keeps("HTTP/1.0", "Connection: keep-alive, close\r\n"));
}

// Guards against request lines that two parsers interpret differently.
BOOST_AUTO_TEST_CASE(ambiguousRequestLinesAreRejected) {
  const std::string Rest = "\r\nHost: h\r\n\r\n";
  for (const std::string Line :
       {"GET /a b HTTP/1.1", "GET /a HTTP/1.1 HTTP/1.1", "GET  /a HTTP/1.1",
        "GET /a  HTTP/1.1", " GET /a HTTP/1.1", "GET /a", "GET /a HTTP/1.1 ",
        "GET /a HTTP/2.0", "GET /a http/1.1", "GET\t/a HTTP/1.1",
        "G(T /a HTTP/1.1", "GET a HTTP/1.1", "/a HTTP/1.1", "GET"})
    BOOST_TEST(isRejectedRequest(Line + Rest), Line);
  BOOST_TEST(!isRejectedRequest("GET /a HTTP/1.0" + Rest));
}

// Guards against bytes that are no status line and are taken for an answer.
BOOST_AUTO_TEST_CASE(malformedStatusLinesAreRejected) {
  for (const std::string Line :
       {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 abc OK", "HTTP/1.1",
        "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "ICY 200 OK", "200 OK",
        "HTTP/1.1 -20 OK", "HTTP/1.1 099 OK", "HTTP/1.1 200OK"})
    BOOST_TEST(isRejectedResponse(Line + "\r\n\r\n"), Line);
  for (const std::string Line : {"HTTP/1.1 200 OK", "HTTP/1.1 200 ",
                                 "HTTP/1.1 200", "HTTP/1.0 404 Not Found"})
    BOOST_TEST(!isRejectedResponse(Line + "\r\n\r\n"), Line);
}

// Guards against header lines that another parser joins or splits.
BOOST_AUTO_TEST_CASE(ambiguousHeaderLinesAreRejected) {
  for (const std::string Field :
       {"no colon", ": value", "X A: b", "X-A : b", " folded: line",
        "X-A: b\rX-B: c", "X-A: b\nX-B: c", "X-A: \x01", "X-A: \x7f",
        "X\xc3\xa4: b"})
    BOOST_TEST(isRejectedRequest("GET /x HTTP/1.1\r\nHost: h\r\n" + Field +
                                 "\r\n\r\n"),
               Field);
  BOOST_TEST(isRejectedRequest(std::string("GET /x HTTP/1.1\r\nX-A: a") + '\0' +
                               "b\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()
