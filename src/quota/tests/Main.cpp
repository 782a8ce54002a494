#define BOOST_TEST_MODULE Quota
#include <boost/test/unit_test.hpp>
