// The entry point that every test program shares.
#define BOOST_TEST_MODULE skylarkseam
#include <boost/test/unit_test.hpp>
