//===- main.cpp - System tests with real processes ------------------------===//
//
// The guarantees listed in docs/PROMISES.md, each tested under the faults that
// threaten it, with one suite for each group.
//
//===----------------------------------------------------------------------===//

#define BOOST_TEST_MODULE system
#include "boost/test/unit_test.hpp"
