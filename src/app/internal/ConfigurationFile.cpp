#include "app/internal/ConfigurationFile.h"

#include "platform/Platform.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lycheethread::app {

std::optional<configcheck::ParsedConfig>
readConfigurationFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  char First = 0;
  if (!(In >> First) || First != '{')
    return std::nullopt;
  // From the start again, since lines are counted from there.
  In.seekg(0);
  std::ostringstream Text;
  Text << In.rdbuf();
  return platform::parseConfig(Path, Text.str());
}

std::set<Region> parseZones(const std::string &Text) {
  std::set<Region> Regions;
  std::istringstream Entries(Text);
  for (std::string Entry; std::getline(Entries, Entry, ',');) {
    const std::size_t Equals = Entry.find('=');
    if (Equals == 0 || Equals == std::string::npos ||
        Equals + 1 == Entry.size())
      throw std::invalid_argument("--zones: \"" + Entry +
                                  "\" is not of the form zone=region");
    Regions.insert(Region(Entry.substr(Equals + 1)));
  }
  if (Regions.empty())
    throw std::invalid_argument("--zones: no zone is given");
  return Regions;
}

} // namespace lycheethread::app
