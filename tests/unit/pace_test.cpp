//===- pace_test.cpp - Upstreams that differ in speed ---------------------===//
//
// Plays times of work at upstreams of different speed, seen by several gateways
// that tell each other what they have learned.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "pace/upstream_paces.h"
#include "policy/admission.h"
#include "policy/upstream_choice.h"
#include <algorithm>
#include <cmath>
#include <limits>

using namespace olivevalve;

namespace {

constexpr std::string_view Service = "model";
constexpr uint64_t SlowUpstream = 1;
constexpr uint64_t FastUpstream = 2;

upstream_paces learningPaces() {
  upstream_paces Paces;
  Paces.enable();
  Paces.recordTellsSlowdown(Service);
  return Paces;
}

/// One upstream in four takes twice as long as the others.
double trueFactor(uint64_t Upstream) { return Upstream % 4 == 1 ? 2 : 1; }

/// A time that scatters by a factor of some 1.5 and by what passes.
work_time timeAt(uint64_t Upstream, std::mt19937_64 &Random) {
  std::lognormal_distribution<double> Scatter(0, 0.4);
  double Slowdown = Random() % 6 == 0 ? 2.5 : 1;
  return {.Upstream = Upstream,
          .Service = Service,
          .Work = paced_work::FirstToken,
          .Class = "small",
          .Seconds = 0.1 * trueFactor(Upstream) * Slowdown * Scatter(Random),
          .Usual = 0.1,
          .Slowdown = Slowdown};
}

void play(upstream_paces &Paces, double From, double Seconds,
          std::mt19937_64 &Random) {
  constexpr uint64_t Upstreams = 12;
  constexpr double PerSecond = 84;
  for (int I = 0; I < int(Seconds * PerSecond); ++I)
    Paces.record(timeAt(1 + Random() % Upstreams, Random),
                 From + I / PerSecond);
}

double relativePace(const upstream_paces &Paces, double Now) {
  return Paces.paceOf(SlowUpstream, Now) / Paces.paceOf(FastUpstream, Now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(pace_of_upstreams)

BOOST_AUTO_TEST_SUITE(is_learned)

// Guards against callers that name ever more models.
BOOST_AUTO_TEST_CASE(for_a_bounded_number_of_classes) {
  upstream_paces Paces = learningPaces();
  std::mt19937_64 Random(1);
  for (size_t I = 0; I < 2 * upstream_paces::MaxClasses; ++I) {
    work_time Seen = timeAt(1, Random);
    std::string Name = std::to_string(I);
    Seen.Class = Name;
    Seen.ExpectedSeconds = Seen.ExpectedTokens = 1;
    Paces.record(Seen, 0);
  }
  BOOST_TEST(Paces.classCount() == upstream_paces::MaxClasses);
}

// Callers of a slow upstream wait longer than expected for as long as its pace
// is not known: it has to be within a tenth after some seconds of traffic.
BOOST_AUTO_TEST_CASE(within_a_tenth_after_five_seconds_of_scattered_times) {
  constexpr unsigned Plays = 20;
  double MeanError = 0;
  for (unsigned Seed = 1; Seed <= Plays; ++Seed) {
    std::mt19937_64 Random(Seed);
    upstream_paces Paces = learningPaces();
    play(Paces, 0, 5, Random);
    double Slow = 0;
    double Fast = 0;
    for (uint64_t Upstream = 1; Upstream <= 12; ++Upstream)
      (trueFactor(Upstream) > 1 ? Slow : Fast) += Paces.paceOf(Upstream, 5);
    MeanError += std::abs(std::log((Slow / 3) / (Fast / 9) / 2)) / Plays;
    double Error = std::abs(std::log(relativePace(Paces, 5) / 2));
    BOOST_TEST(Error < 3 * (Paces.uncertaintyOf(SlowUpstream, 5) +
                            Paces.uncertaintyOf(FastUpstream, 5)));
  }
  BOOST_TEST(MeanError < 0.1);
}

BOOST_AUTO_TEST_CASE(anew_after_an_upstream_turned_slow) {
  upstream_paces Paces = learningPaces();
  for (int I = 0; I < 1000; ++I) {
    double Now = 0.1 * I;
    for (uint64_t Upstream : {SlowUpstream, FastUpstream, uint64_t(3)})
      Paces.record({.Upstream = Upstream,
                    .Service = Service,
                    .Seconds = Upstream == SlowUpstream && I > 500 ? 0.3 : 0.1},
                   Now);
  }
  BOOST_TEST(relativePace(Paces, 100) > 2);
}

// The fastest upstreams get the most requests, whose times hold those of
// others.
BOOST_AUTO_TEST_CASE(as_fast_of_an_upstream_that_is_busy_most_of_the_time) {
  std::mt19937_64 Random(1);
  upstream_paces Paces = learningPaces();
  for (int I = 0; I < 2000; ++I) {
    work_time Seen = timeAt(2 + Random() % 4, Random);
    if (Seen.Upstream == FastUpstream && Random() % 10 < 6)
      Seen.Seconds *= 3;
    Paces.record(Seen, 0.01 * I);
  }
  constexpr uint64_t OtherSlow = 5;
  BOOST_TEST(Paces.paceOf(FastUpstream, 20) < Paces.paceOf(OtherSlow, 20));
}

// Part of the time to the first token does not depend on the upstream.
BOOST_AUTO_TEST_CASE(and_corrects_what_was_expected_of_all_upstreams) {
  upstream_paces Paces = learningPaces();
  for (int I = 0; I < 100; ++I)
    Paces.record({.Upstream = uint64_t(I % 3),
                  .Service = Service,
                  .Work = paced_work::FirstToken,
                  .Class = "small",
                  .Seconds = 0.03,
                  .ExpectedSeconds = 0.06,
                  .TellsPace = false},
                 0);
  double Ratio = Paces.expectedRatio(Service, paced_work::FirstToken, "small");
  BOOST_TEST(std::abs(Ratio - 0.5) < 0.01);
  BOOST_TEST(Paces.paceOf(1, 0) == 1);
}

BOOST_AUTO_TEST_CASE(not_from_a_single_time_spent_in_a_queue) {
  upstream_paces Paces = learningPaces();
  for (int I = 0; I < 100; ++I)
    Paces.record(
        {.Upstream = uint64_t(I % 3), .Service = Service, .Seconds = 0.1}, 0);
  Paces.record({.Upstream = 1, .Service = Service, .Seconds = 20}, 0);
  BOOST_TEST(Paces.paceOf(1, 0) < 1.1);
}

BOOST_AUTO_TEST_CASE(and_forgotten_so_that_a_slow_upstream_is_tried_again) {
  std::mt19937_64 Random(1);
  upstream_paces Paces = learningPaces();
  play(Paces, 0, 10, Random);
  BOOST_TEST(relativePace(Paces, 10) > 1.7);
  BOOST_TEST(relativePace(Paces, 300) < 1.1);
}

BOOST_AUTO_TEST_CASE(only_where_upstreams_tell_how_long_work_takes) {
  upstream_paces Off;
  Off.recordTellsSlowdown(Service);
  upstream_paces Silent;
  Silent.enable();
  for (upstream_paces *Paces : {&Off, &Silent}) {
    for (int I = 0; I < 100; ++I)
      Paces->record({.Upstream = uint64_t(I % 2),
                     .Service = Service,
                     .Seconds = I % 2 ? 0.3 : 0.1},
                    0);
    BOOST_TEST(!Paces->learns(Service));
    BOOST_TEST(Paces->paceOf(1, 0) == 1);
    BOOST_TEST(Paces->own(1, 0).Weight == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_told_among_gateways)

BOOST_AUTO_TEST_CASE(so_that_a_new_gateway_knows_it_before_its_first_request) {
  std::mt19937_64 Random(1);
  upstream_paces Old = learningPaces();
  play(Old, 0, 10, Random);
  upstream_paces New = learningPaces();
  for (uint64_t Upstream : {SlowUpstream, FastUpstream})
    New.hear(7, Upstream, Old.own(Upstream, 10), 10);
  BOOST_TEST(relativePace(New, 10) > 0.95 * relativePace(Old, 10));
}

BOOST_AUTO_TEST_CASE(and_counts_once_however_often_it_is_told) {
  upstream_paces Paces = learningPaces();
  for (int I = 0; I < 50; ++I)
    Paces.hear(7, SlowUpstream, {.Pace = 2, .Weight = 4}, 0);
  BOOST_TEST(Paces.paceOf(SlowUpstream, 0) < 1.5);
  BOOST_TEST(Paces.own(SlowUpstream, 0).Weight == 0);
}

BOOST_AUTO_TEST_CASE(but_nothing_that_is_not_plausible) {
  upstream_paces Paces = learningPaces();
  double NaN = std::numeric_limits<double>::quiet_NaN();
  for (learned_pace Absurd : {learned_pace{NaN, 5}, learned_pace{-1, 5},
                              learned_pace{2, NaN}, learned_pace{0, 5}})
    Paces.hear(7, SlowUpstream, Absurd, 0);
  BOOST_TEST(Paces.paceOf(SlowUpstream, 0) == 1);
  BOOST_TEST_CONTEXT("an upstream stays within reach of requests") {
    Paces.hear(7, SlowUpstream, {.Pace = 1e9, .Weight = 1e30}, 0);
    BOOST_TEST(Paces.paceOf(SlowUpstream, 0) < 4.1);
  }
}

// A gateway that ends is no reason to forget: its part fades with age.
BOOST_AUTO_TEST_CASE(and_fades_once_its_teller_has_ended) {
  upstream_paces Paces = learningPaces();
  Paces.hear(7, SlowUpstream, {.Pace = 2, .Weight = 1000}, 0);
  BOOST_TEST(Paces.paceOf(SlowUpstream, 3) > 1.9);
  BOOST_TEST(Paces.paceOf(SlowUpstream, 400) < 1.05);
  Paces.hear(8, SlowUpstream, {.Pace = 0.5, .Weight = 1000}, 400);
  BOOST_TEST(Paces.paceOf(SlowUpstream, 400) < 0.55);
}

BOOST_AUTO_TEST_CASE(and_a_new_incarnation_begins_anew) {
  upstream_paces Paces = learningPaces();
  Paces.hear(7, SlowUpstream, {.Pace = 2, .Weight = 1000}, 0);
  Paces.forget(SlowUpstream);
  BOOST_TEST(Paces.paceOf(SlowUpstream, 0) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(places_work)

std::vector<upstream_view> slowAndFast(double LoadOfFast) {
  return {{.Id = "slow", .Slots = 10, .SameHall = true, .Pace = 2},
          {.Id = "fast", .Load = LoadOfFast, .Slots = 10, .SameHall = true}};
}

// A long answer takes twice as long at the slow upstream; a short one is there
// first when the fast one has more to read before it.
BOOST_AUTO_TEST_CASE(a_long_answer_by_its_whole_time) {
  std::mt19937_64 Random(1);
  auto Views = slowAndFast(0);
  Views[1].PrefillSeconds = 0.1;
  prompt_view Short{.TargetSecondsLeft = 1.5};
  BOOST_TEST(*chooseEarliestFirstToken(Views, Short, Random) == 0U);
  prompt_view Long{.OutputSeconds = 2, .TargetSecondsLeft = 1.5};
  BOOST_TEST(*chooseEarliestFirstToken(Views, Long, Random) == 1U);
  BOOST_TEST_CONTEXT("unless the first token is nearly late") {
    Long.TargetSecondsLeft = 0.05;
    BOOST_TEST(*chooseEarliestFirstToken(Views, Long, Random) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(plain_requests_at_fast_upstreams_until_they_are_fuller) {
  std::mt19937_64 Random(1);
  BOOST_TEST(*chooseLeastLoaded(slowAndFast(0.5), Random) == 1U);
  BOOST_TEST(*chooseLeastLoaded(slowAndFast(5), Random) == 0U);
}

BOOST_AUTO_TEST_CASE(and_foresees_the_longer_queue_of_slow_upstreams) {
  std::vector<upstream_view> Full = {{.Load = 20, .Slots = 10, .Pace = 2}};
  double Slow = expectedSlotWait(Full, 1);
  Full[0].Pace = 1;
  BOOST_TEST(Slow == 2 * expectedSlotWait(Full, 1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
