//===- warming_test.cpp - What cold upstreams get from all gateways -------===//

#include "boost/test/unit_test.hpp"
#include "gateway/upstream_table.h"
#include "policy/warming.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

using namespace olivevalve;

namespace {

constexpr double Bears = 18;
constexpr cold_bounds Bounds{.Ratio = 1.5, .Slack = 5};
constexpr double Bound = Bears * 1.5 + 5;

/// A gateway that always has a request for the cold upstream.
struct eager_gateway {
  warmup_group Circle;
  warmup_pacer Pace;
  double From = 0; ///< It has started, or has been told of the others.
};

/// The most requests within any second, over some seconds.
size_t mostInASecond(std::vector<eager_gateway> Gateways, double Seconds) {
  std::deque<double> Window;
  size_t Most = 0;
  for (double Now = 0; Now < Seconds; Now += 0.001) {
    for (eager_gateway &Each : Gateways) {
      double Share = warmupRate(Bears, Bounds, Each.Circle);
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

/// Gateways that all know each other.
std::vector<eager_gateway> circleOf(size_t Gateways) {
  std::vector<eager_gateway> Circle;
  for (size_t I = 0; I < Gateways; ++I)
    Circle.push_back({.Circle = {.Gateways = Gateways, .Rank = I}});
  return Circle;
}

platform::listed_upstream listedCold(double Seconds) {
  return {.Id = "a", .Service = "s", .Version = "v1", .ColdSeconds = Seconds};
}

} // namespace

BOOST_AUTO_TEST_SUITE(warming)

BOOST_AUTO_TEST_CASE(sends_no_more_than_the_bound_however_many_gateways) {
  for (size_t Gateways : {1, 2, 3, 7, 16, 21, 32, 103, 410}) {
    size_t Most = mostInASecond(circleOf(Gateways), 6);
    BOOST_TEST_INFO(Gateways << " gateways");
    BOOST_TEST(double(Most) <= Bound);
    BOOST_TEST(double(Most) >= Bears / 2);
  }
}

BOOST_AUTO_TEST_CASE(keeps_the_bound_while_half_of_the_gateways_know_nothing) {
  std::mt19937_64 Random(7);
  for (size_t Old : {1, 3, 10, 21, 51, 205})
    for (size_t New : {2 * Old, Old + 1, 3 * Old}) {
      std::vector<eager_gateway> All = circleOf(Old);
      // Those that came have another view, and any ranks in it.
      std::vector<eager_gateway> Came = circleOf(New);
      std::shuffle(Came.begin(), Came.end(), Random);
      Came.resize(New - Old);
      for (eager_gateway &Each : Came) {
        Each.From = 1 + 0.001 * double(Random() % 1000);
        All.push_back(Each);
      }
      BOOST_TEST_INFO(Old << " gateways became " << New);
      BOOST_TEST(double(mostInASecond(All, 5)) <= Bound);
    }
}

BOOST_AUTO_TEST_CASE(gives_nothing_to_a_gateway_that_knows_no_other) {
  BOOST_TEST(warmupRate(Bears, Bounds, {}) == 0);
}

BOOST_AUTO_TEST_CASE(bears_odd_limits) {
  const warmup_group Alone{.Gateways = 1};
  BOOST_TEST(warmupRate(0.5, Bounds, Alone) == 1);
  BOOST_TEST(warmupRate(0.5, {.Ratio = 1, .Slack = 0}, Alone) == 0);
  BOOST_TEST(warmupRate(NAN, Bounds, Alone) == 0);
  BOOST_TEST(warmupRate(INFINITY, Bounds, Alone) == 0);
  BOOST_TEST(warmupRate(4, {.Ratio = 0, .Slack = 0}, Alone) == 0);
}

BOOST_AUTO_TEST_CASE(begins_and_ends_with_the_list) {
  upstream_table Table;
  Table.update({listedCold(0)}, 10);
  upstream &Upstream = *Table.ofService("s")[0];
  BOOST_TEST(!Upstream.cold(10));
  Table.update({listedCold(3)}, 11);
  BOOST_TEST(Upstream.cold(11));
  BOOST_TEST_CONTEXT("it may have turned cold anew before the list tells") {
    BOOST_TEST(Upstream.cold(15));
  }
  Table.update({listedCold(0)}, 16);
  BOOST_TEST(!Upstream.cold(16));
  BOOST_TEST_CONTEXT("an absurd time is not believed for long") {
    Table.update({listedCold(86400)}, 20);
    BOOST_TEST(Upstream.cold(79));
    BOOST_TEST(!Upstream.cold(81));
  }
}

BOOST_AUTO_TEST_CASE(is_of_one_incarnation) {
  upstream_table Table;
  platform::listed_upstream Listed = listedCold(3);
  Listed.StartedMs = 1000;
  Table.update({Listed}, 10);
  Listed.StartedMs = 2000;
  Listed.ColdSeconds = 0;
  Table.update({Listed}, 11);
  BOOST_TEST(!Table.ofService("s")[0]->cold(11));
  BOOST_TEST_CONTEXT("what was listed of the one before comes late") {
    Listed.StartedMs = 1000;
    Listed.ColdSeconds = 3;
    Table.update({Listed}, 12);
    BOOST_TEST(!Table.ofService("s")[0]->cold(12));
  }
}

BOOST_AUTO_TEST_CASE(is_supposed_for_a_while_only) {
  upstream Upstream;
  Upstream.assumeCold(3, 10);
  Upstream.assumeCold(1, 10);
  BOOST_TEST(Upstream.cold(12));
  BOOST_TEST(!Upstream.cold(13));
  Upstream.assumeCold(1e9, 20);
  BOOST_TEST(!Upstream.cold(81));
}

BOOST_AUTO_TEST_SUITE_END()
