//===- main.cpp - The pure parts, a file for each group -------------------===//

#define BOOST_TEST_MODULE unit
#include "boost/test/unit_test.hpp"
