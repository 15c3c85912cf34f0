//===- answer_tally_test.cpp - Upstreams with excess failures -------------===//

#include "boost/test/unit_test.hpp"
#include "policy/answer_tally.h"

using namespace olivevalve;

BOOST_AUTO_TEST_SUITE(failing_upstreams)

BOOST_AUTO_TEST_CASE(are_distinguished_from_requests_that_fail_everywhere) {
  BOOST_TEST(hasExcessFailures({.Answers = 5, .Failures = 5}, {100, 2}));
  BOOST_TEST(hasExcessFailures({.Answers = 10, .Failures = 4}, {100, 4}));
  BOOST_TEST(!hasExcessFailures({.Answers = 10, .Failures = 4}, {100, 30}));
  BOOST_TEST(!hasExcessFailures({.Answers = 5, .Failures = 5}, {50, 50}));
  BOOST_TEST_CONTEXT("without other upstreams") {
    BOOST_TEST(hasExcessFailures({.Answers = 5, .Failures = 5}, {}));
    BOOST_TEST(!hasExcessFailures({}, {}));
  }
}

BOOST_AUTO_TEST_CASE(are_not_assumed_after_a_few_failures) {
  BOOST_TEST(!hasExcessFailures({.Answers = 2, .Failures = 2}, {100, 0}));
  BOOST_TEST(!hasExcessFailures({.Answers = 20, .Failures = 4}, {100, 0}));
}

BOOST_AUTO_TEST_CASE(are_retried_after_a_few_seconds) {
  answer_tally Tally;
  Tally.add(4, 4, 10);
  BOOST_TEST(hasExcessFailures(Tally.at(10), {100, 0}));
  BOOST_TEST(!hasExcessFailures(Tally.at(13), {100, 0}));
  BOOST_TEST_CONTEXT("further failures keep it excluded") {
    Tally.add(2, 2, 13);
    BOOST_TEST(hasExcessFailures(Tally.at(13), {100, 0}));
  }
  BOOST_TEST_CONTEXT("successful answers readmit it") {
    for (int I = 0; I < 8; ++I)
      Tally.add(1, 0, 15 + I * 0.1);
    BOOST_TEST(!hasExcessFailures(Tally.at(16), {100, 0}));
  }
}

BOOST_AUTO_TEST_CASE(are_counted_correctly_after_odd_counts_and_times) {
  answer_tally Tally;
  Tally.add(1, 1000000, 10);
  BOOST_TEST(Tally.at(10).Failures == 1);
  Tally.add(1, 0, 5); // A late report.
  BOOST_TEST(Tally.at(10).Answers == 2);
}

BOOST_AUTO_TEST_SUITE_END()
