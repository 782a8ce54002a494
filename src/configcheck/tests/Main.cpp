#define BOOST_TEST_MODULE ConfigCheck
#include <boost/test/unit_test.hpp>
