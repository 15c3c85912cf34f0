//===- admission_test.cpp - Whom a full service takes ---------------------===//

#include "boost/test/unit_test.hpp"
#include "policy/admission.h"
#include <cmath>
#include <limits>
#include <map>

using namespace olivevalve;

namespace {

std::vector<upstream_view> upstreamsWith(const std::vector<double> &Loads) {
  std::vector<upstream_view> Views;
  for (double Load : Loads)
    Views.push_back(
        {.Id = "u", .Load = Load, .ObservedLoad = Load, .Slots = 16});
  return Views;
}

constexpr double SlotSeconds = 1.6;
constexpr double AbsurdLoad = 4e9;

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

BOOST_AUTO_TEST_SUITE(the_wait_for_a_slot)

BOOST_AUTO_TEST_CASE(is_none_while_slots_are_free) {
  BOOST_TEST(expectedSlotWait({}, SlotSeconds) == 0);
  BOOST_TEST(expectedSlotWait(upstreamsWith({0, 3, 15}), SlotSeconds) == 0);
  // Nothing is known yet of how long answers take.
  BOOST_TEST(expectedSlotWait(upstreamsWith({40, 40}), 0) == 0);
}

BOOST_AUTO_TEST_CASE(grows_by_what_waits_before) {
  double Half = expectedSlotWait(upstreamsWith({23, 23, 23}), SlotSeconds);
  BOOST_TEST(std::abs(Half - 0.8) < 1e-9);
  double Whole = expectedSlotWait(upstreamsWith({31, 31, 31}), SlotSeconds);
  BOOST_TEST(std::abs(Whole - 1.6) < 1e-9);
}

// A load that cannot be moves no decision to the worse than knowing nothing.
BOOST_AUTO_TEST_CASE(is_not_moved_by_what_one_upstream_says) {
  for (double Load : {0.0, AbsurdLoad}) {
    auto Calm = upstreamsWith({4, 4, 4, 4, 4, 4, Load});
    BOOST_TEST(expectedSlotWait(Calm, SlotSeconds) == 0);
    auto Full = upstreamsWith({31, 31, 31, 31, 31, 31, Load});
    BOOST_TEST(std::abs(expectedSlotWait(Full, SlotSeconds) - 1.6) < 1e-9);
  }
}

BOOST_AUTO_TEST_CASE(leaves_out_upstreams_that_fail) {
  auto Views = upstreamsWith({0, 0, 31, 31});
  Views[0].Suspect = Views[1].Suspect = true;
  BOOST_TEST(expectedSlotWait(Views, SlotSeconds) > 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_refusal)

BOOST_AUTO_TEST_CASE(is_for_those_who_would_wait_too_long) {
  BOOST_TEST(refusalProbability(0, 2, 2) == 0);
  BOOST_TEST(refusalProbability(2, 2, 2) == 1);
  BOOST_TEST(refusalProbability(AbsurdLoad, 2, 0) == 1);
  double Last = 0;
  for (double Wait = 0; Wait < 2; Wait += 0.1) {
    double Chance = refusalProbability(Wait, 2, 1);
    BOOST_TEST(Chance >= Last);
    Last = Chance;
  }
}

BOOST_AUTO_TEST_CASE(meets_the_urgent_last_and_starves_nobody) {
  for (double Wait = 0.3; Wait < 0.8; Wait += 0.1) {
    BOOST_TEST(refusalProbability(Wait, 2, 0) <=
               refusalProbability(Wait, 2, 1));
    BOOST_TEST(refusalProbability(Wait, 2, 1) <=
               refusalProbability(Wait, 2, 2));
  }
  // Where half of the urgent are refused, some of the least urgent are taken.
  for (double Wait = 0; Wait < 2; Wait += 0.01)
    if (refusalProbability(Wait, 2, 0) <= 0.5)
      BOOST_TEST(refusalProbability(Wait, 2, 9) < 0.9);
}

BOOST_AUTO_TEST_CASE(needs_a_target) {
  BOOST_TEST(refusalProbability(5, 0, 2) == 0);
  BOOST_TEST(refusalProbability(5, -1, 2) == 0);
}

// Callers heed advice up to a third of the time that they have.
BOOST_AUTO_TEST_CASE(sends_callers_back_late_and_spread) {
  std::mt19937_64 Random(5);
  double Least = 1e9;
  double Most = 0;
  for (int I = 0; I < 1000; ++I) {
    double Seconds = retryAfterSeconds(18, Random);
    Least = std::min(Least, Seconds);
    Most = std::max(Most, Seconds);
  }
  BOOST_TEST(Least >= 3);
  BOOST_TEST(Least < 3.2);
  BOOST_TEST(Most <= 6);
  BOOST_TEST(Most > 5.8);
  BOOST_TEST(retryAfterSeconds(-1, Random) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(learns_how_long_answers_hold_a_slot) {
  service_stats Pace;
  BOOST_TEST(Pace.meanSlotSeconds() == 0);
  Pace.recordResponse(1);
  BOOST_TEST(Pace.meanSlotSeconds() == 1);
  for (int I = 0; I < 500; ++I)
    Pace.recordResponse(2);
  BOOST_TEST(std::abs(Pace.meanSlotSeconds() - 2) < 0.01);
  Pace.recordResponse(-5); // A clock that jumped.
  BOOST_TEST(Pace.meanSlotSeconds() > 1.9);
  Pace.recordRequest(2);
  Pace.recordRequest(1.5);
  Pace.recordRequest(2);
  BOOST_TEST(Pace.shortestTargetSeconds() == 1.5);
}

BOOST_AUTO_TEST_SUITE(what_a_gateway_cannot_see)

BOOST_AUTO_TEST_CASE(is_supposed_to_be_like_the_rest) {
  auto Views = upstreamsWith({8, 8, 8, 1});
  for (upstream_view &Each : Views)
    Each.PrefillSeconds = 0.1;
  Views[3].LoadKnown = false;
  // Of each of the others half is seen.
  for (size_t I = 0; I < 3; ++I)
    Views[I].ObservedLoad = 4;
  estimateUnobservedLoad(Views);
  BOOST_TEST(Views[0].Load == 8);
  BOOST_TEST(Views[3].Load == 8);
  // 0.4 s of prompts for 13 requests seen, and 4 more at the first.
  BOOST_TEST(std::abs(Views[0].PrefillSeconds - (0.1 + 4 * 0.4 / 13)) < 1e-9);
  BOOST_TEST(std::abs(Views[3].PrefillSeconds - (0.1 + 7 * 0.4 / 13)) < 1e-9);
}

BOOST_AUTO_TEST_CASE(changes_nothing_where_all_is_known) {
  auto Views = upstreamsWith({0, 8, 20});
  Views[1].PrefillSeconds = 0.3;
  estimateUnobservedLoad(Views);
  BOOST_TEST(Views[0].Load == 0);
  BOOST_TEST(Views[1].PrefillSeconds == 0.3);
  BOOST_TEST(Views[2].PrefillSeconds == 0);
  // Nor where nothing is known at all.
  for (upstream_view &Each : Views)
    Each.LoadKnown = false;
  estimateUnobservedLoad(Views);
  BOOST_TEST(Views[0].Load == 0);
}

BOOST_AUTO_TEST_SUITE_END()

// Gateways that choose from the same news do not all choose the same.
BOOST_AUTO_TEST_CASE(spreads_requests_where_all_are_full) {
  std::mt19937_64 Random(7);
  auto Chosen = [&](double Load) {
    auto Views = upstreamsWith(std::vector<double>(20, Load));
    Views[0].Load = Load - 3; // Seems emptiest.
    int First = 0;
    for (int I = 0; I < 1000; ++I)
      First += *chooseEarliestFirstToken(Views, {.PrefillSeconds = 0.1},
                                         Random) == 0;
    return First;
  };
  BOOST_TEST(Chosen(24) < 250);
  // While there is room, what is known decides.
  BOOST_TEST(Chosen(6) > 900);
}

BOOST_AUTO_TEST_SUITE_END()
