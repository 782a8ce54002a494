#include "model/Model.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;

// Guards against comments that become part of a value, and against a '#' inside
// a value that is treated as a comment.
BOOST_AUTO_TEST_CASE(CommentRequiresPrecedingWhiteSpace) {
  const IniFile File = readIni("a.ini", "; first\n[a] # x\n"
                                        "k = v#1 ; note\r\n#k = 2\n");
  BOOST_TEST(File.Problems.empty());
  BOOST_REQUIRE(File.Sections.size() == 1);
  BOOST_REQUIRE(File.Sections[0].Entries.size() == 1);
  BOOST_TEST(File.Sections[0].Entries[0].Value == "v#1");
  BOOST_TEST(File.Sections[0].Entries[0].Line == 3);
}

// Guards against unreadable bytes that are accepted or appear in messages.
BOOST_AUTO_TEST_CASE(UnreadableBytesAreReportedWithTheirLine) {
  const IniFile File =
      readIni("a.ini", "[a]\nk = \xC3\x28\nl = a\x01z\nm = \xC3\xA4\n");
  BOOST_REQUIRE(File.Problems.size() == 2);
  BOOST_TEST(File.Problems[0].Line == 2);
  BOOST_TEST(File.Problems[1].Line == 3);
  BOOST_TEST(File.Sections[0].Entries[0].Value == "?(");
  BOOST_TEST(File.Sections[0].Entries[2].Value == "\xC3\xA4");
}

// Guards against memory use that grows with the length of a published text.
BOOST_AUTO_TEST_CASE(OverlongTextIsNotParsed) {
  const IniFile File = readIni("a.ini", std::string(MaxIniBytes + 1, ' '));
  BOOST_TEST(File.Problems.size() == 1);
  BOOST_TEST(File.Sections.empty());
}
