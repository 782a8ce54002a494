#define BOOST_TEST_MODULE PlatformNode
#include <boost/test/unit_test.hpp>
