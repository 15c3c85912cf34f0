//===- main.cpp - The promises, with real processes -----------------------===//
//
// Each promise under the faults that threaten it, a suite for each group. The
// table of promises is docs/PROMISES.md.
//
//===----------------------------------------------------------------------===//

#define BOOST_TEST_MODULE system
#include "boost/test/unit_test.hpp"
