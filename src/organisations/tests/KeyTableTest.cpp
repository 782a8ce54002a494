#include "organisations/Organisations.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread::organisations;

BOOST_AUTO_TEST_SUITE(Keys)

// Guards against a key that is taken for another organisation's.
BOOST_AUTO_TEST_CASE(eachKeyBelongsToItsHolder) {
  const KeyTable Table = makeKeyTable(
      {{"first", 0}, {"second", 0}, {"third", 1}}, DigestSecret("secret"));
  BOOST_TEST((findHolder(Table, "first") == std::optional<std::size_t>(0)));
  BOOST_TEST((findHolder(Table, "second") == std::optional<std::size_t>(0)));
  BOOST_TEST((findHolder(Table, "third") == std::optional<std::size_t>(1)));
  for (const char *const Other :
       {"", "fourth", "First", "first ", "firs", "first,third"})
    BOOST_TEST(!findHolder(Table, Other).has_value(), Other);
}

// Guards against keys that can be read from the memory of the table.
BOOST_AUTO_TEST_CASE(tableHoldsDigestsThatDependOnTheSecret) {
  const KeyTable First = makeKeyTable({{"key", 0}}, DigestSecret("one"));
  const KeyTable Second = makeKeyTable({{"key", 0}}, DigestSecret("two"));
  const std::string &Stored = First.Holders.begin()->first;
  BOOST_TEST(Stored.find("key") == std::string::npos);
  BOOST_TEST(Stored != Second.Holders.begin()->first);
  BOOST_TEST(Stored.size() == 32U);
}

BOOST_AUTO_TEST_CASE(manyKeysAreFound) {
  std::vector<StatedKey> Keys;
  for (std::size_t Number = 0; Number < 10'000; ++Number)
    Keys.push_back({"key-" + std::to_string(Number), Number % 84});
  const KeyTable Table = makeKeyTable(Keys, DigestSecret("secret"));
  BOOST_TEST(Table.Holders.size() == Keys.size());
  BOOST_TEST(
      (findHolder(Table, "key-9999") == std::optional<std::size_t>(9999 % 84)));
}

BOOST_AUTO_TEST_SUITE_END()
