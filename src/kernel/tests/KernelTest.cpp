#define BOOST_TEST_MODULE Kernel
#include "kernel/Kernel.h"

#include <boost/test/unit_test.hpp>

#include <stdexcept>
#include <string>

using namespace lycheethread::kernel;

// Guards against a module that keeps running, with its threads and ports, after
// the start of a later module has failed.
BOOST_AUTO_TEST_CASE(FailedInitShutsDownTheModulesBeforeItInReverse) {
  std::string Calls;
  Kernel Tested;
  for (const char *Name : {"a", "b"})
    Tested.add({Name,
                {},
                [&Calls, Name](ServiceRegistry &) { Calls += Name; },
                [&Calls, Name] { Calls += std::string("-") + Name; }});
  Tested.add({"c",
              {},
              [](ServiceRegistry &) { throw std::runtime_error("port"); },
              [&Calls] { Calls += "-c"; }});
  BOOST_CHECK_THROW(Tested.start(), std::runtime_error);
  BOOST_TEST(Calls == "ab-b-a");
}

// Guards against an unchecked cast when two modules disagree on the type of a
// service.
BOOST_AUTO_TEST_CASE(RegistryRejectsMissingDoubleAndMistypedServices) {
  ServiceRegistry Registry;
  Registry.add("number", std::make_shared<int>(3));
  BOOST_TEST(*Registry.find<int>("number") == 3);
  BOOST_CHECK_THROW(Registry.find<long>("number"), RegistryError);
  BOOST_CHECK_THROW(Registry.find<int>("absent"), RegistryError);
  BOOST_CHECK_THROW(Registry.add("number", std::make_shared<int>(4)),
                    RegistryError);
}
