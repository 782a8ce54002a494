#define BOOST_TEST_MODULE Http
#include "http/Http.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread::http;

namespace {

const std::string Chunked =
    "5\r\nhello\r\n6;x=1\r\n world\r\n0\r\nA: b\r\n\r\n";

std::string decodeInPieces(const std::string &Wire, std::size_t Piece,
                           BodyDecoder &Decoder) {
  std::string Body;
  for (std::size_t At = 0; At < Wire.size(); At += Piece)
    Decoder.feed(std::string_view(Wire).substr(At, Piece), Body);
  return Body;
}

} // namespace

// Guards against decoding that depends on how TCP segments the body.
BOOST_AUTO_TEST_CASE(chunkedBodyIsTheSameInAnySplit) {
  for (std::size_t Piece = 1; Piece <= Chunked.size(); ++Piece) {
    BodyDecoder Decoder({FramingKind::Chunked, 0});
    BOOST_TEST(decodeInPieces(Chunked, Piece, Decoder) == "hello world");
    BOOST_TEST(Decoder.isComplete());
  }
}

// Guards against bytes of the next message that end up in the body.
BOOST_AUTO_TEST_CASE(bytesAfterTheBodyAreNotConsumed) {
  std::string Body;
  BodyDecoder Fixed({FramingKind::Fixed, 3});
  BOOST_TEST(Fixed.feed("abcHTTP", Body) == 3U);
  BodyDecoder Chunks({FramingKind::Chunked, 0});
  BOOST_TEST(Chunks.feed(Chunked + "HTTP", Body) == Chunked.size());
  BOOST_TEST(Body == "abchello world");
}

// Guards against a truncated body that is forwarded as a complete one.
BOOST_AUTO_TEST_CASE(closeCompletesOnlyABodyWithoutLength) {
  std::string Body;
  BodyDecoder Fixed({FramingKind::Fixed, 3});
  Fixed.feed("ab", Body);
  BOOST_TEST(!Fixed.finish());
  BodyDecoder Chunks({FramingKind::Chunked, 0});
  Chunks.feed("5\r\nhello\r\n", Body);
  BOOST_TEST(!Chunks.finish());
  BodyDecoder Open({FramingKind::UntilClose, 0});
  Open.feed("ab", Body);
  BOOST_TEST(Open.finish());
}

// Guards against chunk sizes that two parsers interpret differently (request
// smuggling).
BOOST_AUTO_TEST_CASE(brokenChunksAreRejected) {
  for (const char *Wire : {"-1\r\n", "\r\n", "5\nhello", "5\r\nhelloX\r\n",
                           "0x5\r\n", "FFFFFFFFFFFFFFFFF\r\n"}) {
    BodyDecoder Decoder({FramingKind::Chunked, 0});
    std::string Body;
    BOOST_CHECK_THROW(Decoder.feed(Wire, Body), BadMessage);
  }
}

BOOST_AUTO_TEST_CASE(encodedChunksDecode) {
  BodyDecoder Decoder({FramingKind::Chunked, 0});
  std::string Body;
  Decoder.feed(encodeChunk("abc") + encodeChunk("") + std::string(LastChunk),
               Body);
  BOOST_TEST(Body == "abc");
  BOOST_TEST(Decoder.isComplete());
}
