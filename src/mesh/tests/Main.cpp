#define BOOST_TEST_MODULE Mesh
#include <boost/test/unit_test.hpp>
