#include <cxxopts.hpp>

#include <iostream>

int main(int Argc, char **Argv) {
  cxxopts::Options Options("lycheethread",
                           "Configuration distribution for a service mesh");
  Options.add_options()("h,help", "print this help")("version",
                                                     "print the version");
  const auto Parsed = Options.parse(Argc, Argv);
  if (Parsed.count("version") != 0) {
    std::cout << "lycheethread " LYCHEETHREAD_VERSION "\n";
    return 0;
  }
  std::cout << Options.help();
  return 0;
}
