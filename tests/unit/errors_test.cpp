//===- errors_test.cpp - Error kinds --------------------------------------===//

#include "base/error.h"
#include "boost/test/unit_test.hpp"

using namespace olivevalve;

BOOST_AUTO_TEST_SUITE(error_kinds)

BOOST_AUTO_TEST_CASE(match_their_row_in_the_response_table) {
  for (uint32_t I = 0; I <= uint32_t(error_kind::Last); ++I) {
    const error_response &Answer = responseFor(error_kind(I));
    BOOST_TEST(uint32_t(Answer.Kind) == I);
    BOOST_TEST(!Answer.Code.empty());
    BOOST_TEST((kindOf(makeError(error_kind(I), "x")) == error_kind(I)));
  }
}

BOOST_AUTO_TEST_SUITE_END()
