//===- main.cpp - Unit tests of parts that need no daemon -----------------===//

#define BOOST_TEST_MODULE unit
#include "boost/test/unit_test.hpp"
