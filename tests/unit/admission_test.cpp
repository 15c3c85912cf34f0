//===- admission_test.cpp - Admission control under overload --------------===//

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

BOOST_AUTO_TEST_SUITE(expected_slot_wait)

BOOST_AUTO_TEST_CASE(is_zero_while_slots_are_free) {
  BOOST_TEST(expectedSlotWait({}, SlotSeconds) == 0);
  BOOST_TEST(expectedSlotWait(upstreamsWith({0, 3, 15}), SlotSeconds) == 0);
  // No answer has completed yet, so the mean time in a slot is unknown.
  BOOST_TEST(expectedSlotWait(upstreamsWith({40, 40}), 0) == 0);
}

BOOST_AUTO_TEST_CASE(grows_with_the_queue) {
  double Half = expectedSlotWait(upstreamsWith({23, 23, 23}), SlotSeconds);
  BOOST_TEST(std::abs(Half - 0.8) < 1e-9);
  double Whole = expectedSlotWait(upstreamsWith({31, 31, 31}), SlotSeconds);
  BOOST_TEST(std::abs(Whole - 1.6) < 1e-9);
}

// Guards against a wrong load report of a single upstream (here 0 or 4e9) that
// changes the expected wait of the whole service.
BOOST_AUTO_TEST_CASE(is_not_changed_by_one_wrong_load_report) {
  for (double Load : {0.0, AbsurdLoad}) {
    auto Idle = upstreamsWith({4, 4, 4, 4, 4, 4, Load});
    BOOST_TEST(expectedSlotWait(Idle, SlotSeconds) == 0);
    auto Full = upstreamsWith({31, 31, 31, 31, 31, 31, Load});
    BOOST_TEST(std::abs(expectedSlotWait(Full, SlotSeconds) - 1.6) < 1e-9);
  }
}

BOOST_AUTO_TEST_CASE(ignores_suspect_upstreams) {
  auto Views = upstreamsWith({0, 0, 31, 31});
  Views[0].Suspect = Views[1].Suspect = true;
  BOOST_TEST(expectedSlotWait(Views, SlotSeconds) > 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(refusal_and_retry_after)

BOOST_AUTO_TEST_CASE(refusal_grows_with_the_expected_wait) {
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

BOOST_AUTO_TEST_CASE(refusal_spares_the_urgent_and_starves_no_priority) {
  for (double Wait = 0.3; Wait < 0.8; Wait += 0.1) {
    BOOST_TEST(refusalProbability(Wait, 2, 0) <=
               refusalProbability(Wait, 2, 1));
    BOOST_TEST(refusalProbability(Wait, 2, 1) <=
               refusalProbability(Wait, 2, 2));
  }
  // While no more than half of the most urgent requests are refused, some of
  // the least urgent are still admitted.
  for (double Wait = 0; Wait < 2; Wait += 0.01)
    if (refusalProbability(Wait, 2, 0) <= 0.5)
      BOOST_TEST(refusalProbability(Wait, 2, 9) < 0.9);
}

BOOST_AUTO_TEST_CASE(refusal_needs_a_latency_target) {
  BOOST_TEST(refusalProbability(5, 0, 2) == 0);
  BOOST_TEST(refusalProbability(5, -1, 2) == 0);
}

// Callers honour a Retry-After of up to a third of their time limit, here 18 s.
// Values are spread over the upper half of that, lest callers return together.
BOOST_AUTO_TEST_CASE(retry_after_is_late_and_spread) {
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

BOOST_AUTO_TEST_CASE(tracks_the_mean_time_in_a_slot) {
  service_stats Stats;
  BOOST_TEST(Stats.meanSlotSeconds() == 0);
  Stats.recordResponse(1);
  BOOST_TEST(Stats.meanSlotSeconds() == 1);
  for (int I = 0; I < 500; ++I)
    Stats.recordResponse(2);
  BOOST_TEST(std::abs(Stats.meanSlotSeconds() - 2) < 0.01);
  Stats.recordResponse(-5); // A clock jumped back.
  BOOST_TEST(Stats.meanSlotSeconds() > 1.9);
  Stats.recordRequest(2);
  Stats.recordRequest(1.5);
  Stats.recordRequest(2);
  BOOST_TEST(Stats.shortestTargetSeconds() == 1.5);
}

BOOST_AUTO_TEST_SUITE(unobserved_load)

BOOST_AUTO_TEST_CASE(is_estimated_from_the_other_upstreams) {
  auto Views = upstreamsWith({8, 8, 8, 1});
  for (upstream_view &Each : Views)
    Each.PrefillSeconds = 0.1;
  Views[3].LoadKnown = false;
  // The gateway's own requests are half of the load of each of the others.
  for (size_t I = 0; I < 3; ++I)
    Views[I].ObservedLoad = 4;
  estimateUnobservedLoad(Views);
  BOOST_TEST(Views[0].Load == 8);
  BOOST_TEST(Views[3].Load == 8);
  // 0.4 s of prefill work for 13 observed requests; 4 more are estimated at the
  // first upstream and 7 at the last.
  BOOST_TEST(std::abs(Views[0].PrefillSeconds - (0.1 + 4 * 0.4 / 13)) < 1e-9);
  BOOST_TEST(std::abs(Views[3].PrefillSeconds - (0.1 + 7 * 0.4 / 13)) < 1e-9);
}

BOOST_AUTO_TEST_CASE(changes_nothing_where_all_loads_are_known) {
  auto Views = upstreamsWith({0, 8, 20});
  Views[1].PrefillSeconds = 0.3;
  estimateUnobservedLoad(Views);
  BOOST_TEST(Views[0].Load == 0);
  BOOST_TEST(Views[1].PrefillSeconds == 0.3);
  BOOST_TEST(Views[2].PrefillSeconds == 0);
  // Nor is anything estimated if no upstream reports its load.
  for (upstream_view &Each : Views)
    Each.LoadKnown = false;
  estimateUnobservedLoad(Views);
  BOOST_TEST(Views[0].Load == 0);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against all gateways choosing the same upstream because they decide
// from the same load reports.
BOOST_AUTO_TEST_CASE(does_not_herd_on_one_upstream_when_all_are_full) {
  std::mt19937_64 Random(7);
  auto Chosen = [&](double Load) {
    auto Views = upstreamsWith(std::vector<double>(20, Load));
    Views[0].Load = Load - 3; // Seems the least loaded.
    int First = 0;
    for (int I = 0; I < 1000; ++I)
      First += *chooseEarliestFirstToken(Views, {.PrefillSeconds = 0.1},
                                         Random) == 0;
    return First;
  };
  BOOST_TEST(Chosen(24) < 250);
  // While slots are free, the least loaded upstream is chosen.
  BOOST_TEST(Chosen(6) > 900);
}

// Guards against refused callers that return all at once to upstreams that take
// one request in two seconds.
BOOST_AUTO_TEST_CASE(
    gives_refused_callers_turns_as_fast_as_upstreams_take_them) {
  std::mt19937_64 Random(5);
  return_schedule Returns;
  const return_request Request{
      .SoonestSeconds = 1, .TurnsPerSecond = 0.5, .LeftSeconds = 24};
  double Last = 0;
  for (int Turn = 0; Turn < 4; ++Turn) {
    double Seconds = Returns.secondsUntilTurn(Request, 10, Random);
    BOOST_TEST(Seconds >= 1 + 2 * Turn);
    BOOST_TEST(Seconds < 2 + 2 * Turn);
    BOOST_TEST(Seconds > Last);
    Last = Seconds;
  }
  BOOST_TEST_CONTEXT("a caller whose turn comes too late takes none") {
    for (int I = 0; I < 100; ++I) {
      double Seconds = Returns.secondsUntilTurn(Request, 10, Random);
      BOOST_TEST(Seconds >= 1);
      BOOST_TEST(Seconds <= 8);
    }
    double Next = Returns.secondsUntilTurn(Request, 20, Random);
    BOOST_TEST(Next < 2);
  }
  BOOST_TEST_CONTEXT("without a rate callers return soon after the end") {
    return_schedule Unbounded;
    for (int I = 0; I < 100; ++I) {
      double Seconds =
          Unbounded.secondsUntilTurn({.SoonestSeconds = 2}, 10, Random);
      BOOST_TEST(Seconds >= 2);
      BOOST_TEST(Seconds <= 2.8);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
