//===- answer_tally_test.cpp - Upstreams that fail more than the others ---===//

#include "boost/test/unit_test.hpp"
#include "policy/answer_tally.h"

using namespace olivevalve;

BOOST_AUTO_TEST_SUITE(failing_upstreams)

BOOST_AUTO_TEST_CASE(are_told_from_requests_that_fail_everywhere) {
  BOOST_TEST(hasExcessFailures({.Answers = 5, .Failures = 5}, {100, 2}));
  BOOST_TEST(hasExcessFailures({.Answers = 10, .Failures = 4}, {100, 4}));
  BOOST_TEST(!hasExcessFailures({.Answers = 10, .Failures = 4}, {100, 30}));
  BOOST_TEST(!hasExcessFailures({.Answers = 5, .Failures = 5}, {50, 50}));
  BOOST_TEST_CONTEXT("where there is no other") {
    BOOST_TEST(hasExcessFailures({.Answers = 5, .Failures = 5}, {}));
    BOOST_TEST(!hasExcessFailures({}, {}));
  }
}

BOOST_AUTO_TEST_CASE(need_more_than_one_or_two_failures) {
  BOOST_TEST(!hasExcessFailures({.Answers = 2, .Failures = 2}, {100, 0}));
  BOOST_TEST(!hasExcessFailures({.Answers = 20, .Failures = 4}, {100, 0}));
}

BOOST_AUTO_TEST_CASE(are_tried_again_after_a_while) {
  answer_tally Tally;
  Tally.add(4, 4, 10);
  BOOST_TEST(hasExcessFailures(Tally.at(10), {100, 0}));
  BOOST_TEST(!hasExcessFailures(Tally.at(13), {100, 0}));
  BOOST_TEST_CONTEXT("and kept away while they go on to fail") {
    Tally.add(2, 2, 13);
    BOOST_TEST(hasExcessFailures(Tally.at(13), {100, 0}));
  }
  BOOST_TEST_CONTEXT("one that has recovered is believed soon") {
    for (int I = 0; I < 8; ++I)
      Tally.add(1, 0, 15 + I * 0.1);
    BOOST_TEST(!hasExcessFailures(Tally.at(16), {100, 0}));
  }
}

BOOST_AUTO_TEST_CASE(are_counted_through_odd_news_and_clocks) {
  answer_tally Tally;
  Tally.add(1, 1000000, 10);
  BOOST_TEST(Tally.at(10).Failures == 1);
  Tally.add(1, 0, 5); // Late news.
  BOOST_TEST(Tally.at(10).Answers == 2);
}

BOOST_AUTO_TEST_SUITE_END()
