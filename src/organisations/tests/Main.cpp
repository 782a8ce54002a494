#define BOOST_TEST_MODULE Organisations
#include <boost/test/unit_test.hpp>
