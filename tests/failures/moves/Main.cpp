#define BOOST_TEST_MODULE MoveFailures
#include <boost/test/unit_test.hpp>
