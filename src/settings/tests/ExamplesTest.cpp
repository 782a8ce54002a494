#include "settings/Settings.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace lycheethread;
using namespace lycheethread::settings;

namespace {

std::string exampleText(const std::string &Path) {
  std::ifstream In(SETTINGS_EXAMPLES "/" + Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// Reads an example settings file; reports findings as test errors.
NodeSettings exampleSettings(const std::string &Deployment,
                             const std::string &Name) {
  const std::string Path = Deployment + "/settings/" + Name + ".ini";
  const ParsedSettings Result = parseNodeSettings(Path, exampleText(Path));
  for (const Finding &Item : Result.Problems)
    BOOST_ERROR(toString(Item));
  const std::string Document =
      Deployment + "/" + Result.Settings.Service.str() + ".ini";
  const ParsedDocument Owner = parseDocument(Document, exampleText(Document));
  BOOST_TEST(Owner.Document.Groups.count(Result.Settings.Group) == 1U);
  return Result.Settings;
}

/// Checks that the file contains each key of the schema.
void checkComplete(const std::string &Path) {
  const std::string Text = exampleText(Path);
  for (const SectionRule &Section : settingsSchema())
    for (const KeyRule &Key : Section.Keys)
      BOOST_TEST(Text.find("\n" + Key.Name + " = ") != std::string::npos,
                 Path << " lacks " << Section.Name << "." << Key.Name);
}

} // namespace

// Guards against example settings that a node rejects, and against names that
// differ from the deployments in docs/design.md.
BOOST_AUTO_TEST_CASE(ExampleSettingsAreCompleteAndNameTheDeployments) {
  const NodeSettings Zinnwerk = exampleSettings("zinnwerk", "workshop-1");
  BOOST_TEST(Zinnwerk.At.RegionName == Region("oberbayern"));
  BOOST_TEST(Zinnwerk.At.Zone == AvailabilityZone("eichstaett"));
  BOOST_TEST(Zinnwerk.Seeds.size() == 3U);
  checkComplete("zinnwerk/settings/workshop-1.ini");
  const NodeSettings Wijesekera = exampleSettings("wijesekera", "ticket-1");
  BOOST_TEST(Wijesekera.At.RegionName == Region("western"));
  BOOST_TEST(Wijesekera.At.Zone == AvailabilityZone("colombo-north"));
  BOOST_TEST(Wijesekera.Seeds.size() == 3U);
  checkComplete("wijesekera/settings/ticket-1.ini");
}
