//===- warming_test.cpp - Request rate to cold upstreams during warm-up ---===//

#include "boost/test/unit_test.hpp"
#include "gateway/upstream_table.h"
#include "policy/warmup.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

using namespace olivevalve;

namespace {

constexpr double RequestsPerSecond = 18;
constexpr cold_bounds Bounds{.Ratio = 1.5, .Slack = 5};
constexpr double Bound = RequestsPerSecond * 1.5 + 5;

/// A gateway that always has a request for the cold upstream.
struct saturating_gateway {
  warmup_group Group;
  warmup_pacer Pace;
  double From = 0; ///< Time in seconds at which it starts or joins the group.
};

/// Returns the largest number of requests that all \p Gateways together send
/// within any one second of a simulation of \p Seconds.
size_t peakRequestsPerSecond(std::vector<saturating_gateway> Gateways,
                             double Seconds) {
  std::deque<double> Window;
  size_t Most = 0;
  for (double Now = 0; Now < Seconds; Now += 0.001) {
    for (saturating_gateway &Each : Gateways) {
      double Share = warmupRate(RequestsPerSecond, Bounds, Each.Group);
      if (Now < Each.From || Share == 0 || !Each.Pace.allows(Now))
        continue;
      Each.Pace.recordRequest(Now, Share);
      Window.push_back(Now);
    }
    while (!Window.empty() && Window.front() < Now - 1)
      Window.pop_front();
    Most = std::max(Most, Window.size());
  }
  return Most;
}

/// Returns \p Gateways gateways that all have the complete group and one rank
/// each.
std::vector<saturating_gateway> gatewaysInOneGroup(size_t Gateways) {
  std::vector<saturating_gateway> Group;
  for (size_t I = 0; I < Gateways; ++I)
    Group.push_back({.Group = {.Gateways = Gateways, .Rank = I}});
  return Group;
}

platform::listed_upstream listedCold(double Seconds) {
  return {.Id = "a", .Service = "s", .Version = "v1", .ColdSeconds = Seconds};
}

} // namespace

BOOST_AUTO_TEST_SUITE(warming)

BOOST_AUTO_TEST_CASE(stays_within_the_bound_for_any_number_of_gateways) {
  for (size_t Gateways : {1, 2, 3, 7, 16, 21, 32, 103, 410}) {
    size_t Most = peakRequestsPerSecond(gatewaysInOneGroup(Gateways), 6);
    BOOST_TEST_INFO(Gateways << " gateways");
    BOOST_TEST(double(Most) <= Bound);
    BOOST_TEST(double(Most) >= RequestsPerSecond / 2);
  }
}

BOOST_AUTO_TEST_CASE(stays_within_the_bound_while_gateways_join) {
  std::mt19937_64 Random(7);
  for (size_t Old : {1, 3, 10, 21, 51, 205})
    for (size_t New : {2 * Old, Old + 1, 3 * Old}) {
      std::vector<saturating_gateway> All = gatewaysInOneGroup(Old);
      // The gateways that join have a group of the new size and arbitrary ranks
      // in it.
      std::vector<saturating_gateway> Joining = gatewaysInOneGroup(New);
      std::shuffle(Joining.begin(), Joining.end(), Random);
      Joining.resize(New - Old);
      for (saturating_gateway &Each : Joining) {
        Each.From = 1 + 0.001 * double(Random() % 1000);
        All.push_back(Each);
      }
      BOOST_TEST_INFO(Old << " gateways became " << New);
      BOOST_TEST(double(peakRequestsPerSecond(All, 5)) <= Bound);
    }
}

BOOST_AUTO_TEST_CASE(rate_is_zero_for_an_unknown_group) {
  BOOST_TEST(warmupRate(RequestsPerSecond, Bounds, {}) == 0);
}

BOOST_AUTO_TEST_CASE(rate_is_sane_for_odd_limits) {
  const warmup_group Alone{.Gateways = 1};
  BOOST_TEST(warmupRate(0.5, Bounds, Alone) == 1);
  BOOST_TEST(warmupRate(0.5, {.Ratio = 1, .Slack = 0}, Alone) == 0);
  BOOST_TEST(warmupRate(NAN, Bounds, Alone) == 0);
  BOOST_TEST(warmupRate(INFINITY, Bounds, Alone) == 0);
  BOOST_TEST(warmupRate(4, {.Ratio = 0, .Slack = 0}, Alone) == 0);
}

BOOST_AUTO_TEST_CASE(begins_and_ends_as_listed) {
  upstream_table Table;
  Table.update({listedCold(0)}, 10);
  upstream &Upstream = *Table.ofService("s")[0];
  BOOST_TEST(!Upstream.cold(10));
  Table.update({listedCold(3)}, 11);
  BOOST_TEST(Upstream.cold(11));
  BOOST_TEST_CONTEXT("the cold period ends only when the list says so") {
    BOOST_TEST(Upstream.cold(15));
  }
  Table.update({listedCold(0)}, 16);
  BOOST_TEST(!Upstream.cold(16));
  BOOST_TEST_CONTEXT("an excessive cold time is capped at 60 s") {
    Table.update({listedCold(86400)}, 20);
    BOOST_TEST(Upstream.cold(79));
    BOOST_TEST(!Upstream.cold(81));
  }
}

BOOST_AUTO_TEST_CASE(does_not_carry_over_to_the_next_incarnation) {
  upstream_table Table;
  platform::listed_upstream Listed = listedCold(3);
  Listed.StartedMs = 1000;
  Table.update({Listed}, 10);
  Listed.StartedMs = 2000;
  Listed.ColdSeconds = 0;
  Table.update({Listed}, 11);
  BOOST_TEST(!Table.ofService("s")[0]->cold(11));
  BOOST_TEST_CONTEXT("a stale list of the previous incarnation is ignored") {
    Listed.StartedMs = 1000;
    Listed.ColdSeconds = 3;
    Table.update({Listed}, 12);
    BOOST_TEST(!Table.ofService("s")[0]->cold(12));
  }
}

BOOST_AUTO_TEST_CASE(assumed_cold_state_expires) {
  upstream Upstream;
  Upstream.assumeCold(3, 10);
  Upstream.assumeCold(1, 10);
  BOOST_TEST(Upstream.cold(12));
  BOOST_TEST(!Upstream.cold(13));
  Upstream.assumeCold(1e9, 20);
  BOOST_TEST(!Upstream.cold(81));
}

BOOST_AUTO_TEST_SUITE_END()
