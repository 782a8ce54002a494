#define BOOST_TEST_MODULE RequestFailures
#include <boost/test/unit_test.hpp>
