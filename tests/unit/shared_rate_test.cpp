//===- shared_rate_test.cpp - Bounds that all gateways share --------------===//

#include "boost/test/unit_test.hpp"
#include "gateway/upstream_table.h"
#include "policy/shared_rate.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

using namespace olivevalve;

namespace {

constexpr shared_bound ColdBound{.Ratio = 1.5, .Slack = 5};
constexpr shared_bound LimitBound{
    .Ratio = 1.5, .Slack = 5, .WindowSeconds = 4, .ProbePart = 0.1};
constexpr double ColdRate = 18;
constexpr double LimitRates[] = {0.1, 0.5, 1.7, 2, 5, 20, 50};

double allowed(double Rate, const shared_bound &Bound) {
  return Rate * Bound.WindowSeconds * Bound.Ratio + Bound.Slack;
}

/// A gateway that always has a request for the upstream.
struct saturating_gateway {
  gateway_group Group;
  size_t AllGateways = 0;
  double From = 0; ///< Time in seconds at which it starts or joins the group.
  request_pacer Pacer;

  double gap(double Rate, const shared_bound &Bound) const {
    return std::min(shareGap(Rate, Bound, Group),
                    probeGap(Rate, Bound, AllGateways));
  }
};

/// Requests that gateways send in a simulation.
struct simulated_traffic {
  size_t MostInWindow = 0;
  double PerSecond = 0;
};

/// Simulates \p Seconds; the bound begins at 0.
simulated_traffic simulate(std::vector<saturating_gateway> Gateways,
                           double Rate, const shared_bound &Bound,
                           double Seconds, double StepSeconds = 0.004) {
  std::deque<double> Window;
  simulated_traffic Traffic;
  size_t Sent = 0;
  for (saturating_gateway &Each : Gateways)
    Each.Pacer.begin(Each.From, Each.gap(Rate, Bound), Each.Group.Phase);
  for (double Now = 0; Now < Seconds; Now += StepSeconds) {
    for (saturating_gateway &Each : Gateways) {
      double Gap = Each.gap(Rate, Bound);
      if (Now < Each.From || Gap == NeverSeconds ||
          Now < Each.Pacer.nextAt(Gap))
        continue;
      Each.Pacer.recordRequest(Now);
      Window.push_back(Now);
      ++Sent;
    }
    while (!Window.empty() && Window.front() < Now - Bound.WindowSeconds)
      Window.pop_front();
    Traffic.MostInWindow = std::max(Traffic.MostInWindow, Window.size());
  }
  Traffic.PerSecond = double(Sent) / Seconds;
  return Traffic;
}

/// Returns \p Gateways gateways that all have the complete group and one rank
/// each.
std::vector<saturating_gateway> gatewaysInOneGroup(size_t Gateways) {
  std::vector<saturating_gateway> Group;
  for (size_t I = 0; I < Gateways; ++I)
    Group.push_back({.Group = {.Gateways = Gateways,
                               .Rank = I,
                               .Phase = double(I) / double(Gateways)},
                     .AllGateways = Gateways});
  return Group;
}

/// Gateways that are restarted in turn. Each one hears of every start and stop
/// at a random time of its own, so that many lists are in use at once, and a
/// restarted one knows neither what it sent nor, at first, of the bound.
class rolling_restart {
public:
  rolling_restart(size_t Count, double Rate, uint64_t Seed)
      : Rate(Rate), Random(Seed), Members(Count) {
    for (member &Each : Members) {
      Each.Key = Random();
      Each.Listed.assign(Count, true);
    }
    for (size_t I = 0; I < Count; ++I)
      beginAt(I, 0);
  }
  /// Returns the most requests within any window.
  size_t run(double Seconds) {
    constexpr double StepSeconds = 0.005;
    std::deque<double> Window;
    size_t Most = 0;
    double NextStop = 1;
    for (double Now = 0; Now < Seconds; Now += StepSeconds) {
      if (Now >= NextStop) {
        stop(Random() % Members.size(), Now);
        NextStop = Now + StopEverySeconds;
      }
      hearOfChanges(Now);
      for (size_t I = 0; I < Members.size(); ++I)
        if (sends(I, Now))
          Window.push_back(Now);
      while (!Window.empty() && Window.front() < Now - LimitBound.WindowSeconds)
        Window.pop_front();
      Most = std::max(Most, Window.size());
    }
    return Most;
  }

private:
  static constexpr double StopEverySeconds = 0.7;
  static constexpr double DownSeconds = 1.5;
  static constexpr double MaxNoticeSeconds = 1;

  struct member {
    uint64_t Key = 0;
    std::vector<bool> Listed; ///< The gateways that this one knows.
    double UpAt = 0;
    bool Begun = false; ///< Knows of the bound.
    request_pacer Pacer;
  };
  /// Gateway Of hears that gateway About has started or stopped.
  struct notice {
    double At;
    size_t Of;
    size_t About;
    bool Up;
  };

  gateway_group groupOf(size_t I) const {
    gateway_group Group;
    for (size_t J = 0; J < Members.size(); ++J) {
      Group.Gateways += Members[I].Listed[J];
      Group.Rank += Members[I].Listed[J] && Members[J].Key < Members[I].Key;
    }
    Group.Phase = double(Group.Rank) / double(Group.Gateways);
    return Group;
  }
  double gapOf(size_t I) const {
    return std::min(shareGap(Rate, LimitBound, groupOf(I)),
                    probeGap(Rate, LimitBound, Members.size()));
  }
  void beginAt(size_t I, double Now) {
    Members[I].Begun = true;
    Members[I].Pacer.begin(Now, gapOf(I), groupOf(I).Phase);
  }
  void stop(size_t I, double Now) {
    Members[I].UpAt = Now + DownSeconds;
    Members[I].Begun = false;
    Members[I].Pacer = {};
    for (size_t J = 0; J < Members.size(); ++J) {
      if (J == I)
        continue;
      Notices.push_back({Now + delay(), J, I, false});
      Notices.push_back({Members[I].UpAt + delay(), J, I, true});
    }
  }
  double delay() {
    return std::uniform_real_distribution<double>(0, MaxNoticeSeconds)(Random);
  }
  void hearOfChanges(double Now) {
    std::erase_if(Notices, [&](const notice &Each) {
      if (Each.At > Now)
        return false;
      Members[Each.Of].Listed[Each.About] = Each.Up;
      return true;
    });
  }
  bool sends(size_t I, double Now) {
    member &Gateway = Members[I];
    if (Now < Gateway.UpAt)
      return false;
    if (!Gateway.Begun)
      beginAt(I, Now);
    if (Now < Gateway.Pacer.nextAt(gapOf(I)))
      return false;
    Gateway.Pacer.recordRequest(Now);
    return true;
  }

  double Rate;
  std::mt19937_64 Random;
  std::vector<member> Members;
  std::vector<notice> Notices;
};

platform::listed_upstream listedCold(double Seconds) {
  return {.Id = "a", .Service = "s", .Version = "v1", .ColdSeconds = Seconds};
}

} // namespace

BOOST_AUTO_TEST_SUITE(shared_rates)

BOOST_AUTO_TEST_CASE(stay_within_the_bound_for_any_number_of_gateways) {
  for (size_t Gateways : {1, 2, 3, 7, 16, 21, 32, 103, 410}) {
    BOOST_TEST_CONTEXT(Gateways << " gateways") {
      auto All = gatewaysInOneGroup(Gateways);
      auto Cold = simulate(All, ColdRate, ColdBound, 6, 0.001);
      BOOST_TEST(double(Cold.MostInWindow) <= allowed(ColdRate, ColdBound));
      BOOST_TEST(double(Cold.MostInWindow) >= ColdRate / 2);
      for (double Rate : LimitRates) {
        BOOST_TEST_CONTEXT("limit of " << Rate) {
          auto Limited = simulate(All, Rate, LimitBound, 60);
          BOOST_TEST(double(Limited.MostInWindow) <= allowed(Rate, LimitBound));
          BOOST_TEST(Limited.PerSecond >= Rate / 2);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(stay_within_the_bound_while_gateways_join) {
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
      BOOST_TEST_CONTEXT(Old << " gateways became " << New) {
        BOOST_TEST(
            double(simulate(All, ColdRate, ColdBound, 5, 0.001).MostInWindow) <=
            allowed(ColdRate, ColdBound));
        for (double Rate : LimitRates)
          BOOST_TEST_CONTEXT("limit of " << Rate)
        BOOST_TEST(double(simulate(All, Rate, LimitBound, 30).MostInWindow) <=
                   allowed(Rate, LimitBound));
      }
    }
}

BOOST_AUTO_TEST_CASE(stay_within_the_bound_while_gateways_restart_in_turn) {
  for (size_t Gateways : {3, 4, 21})
    for (double Rate : LimitRates)
      for (uint64_t Seed : {1, 2, 3})
        BOOST_TEST_CONTEXT(Gateways << " gateways, limit of " << Rate
                                    << ", seed " << Seed)
  BOOST_TEST(double(rolling_restart(Gateways, Rate, Seed).run(30)) <=
             allowed(Rate, LimitBound));
}

BOOST_AUTO_TEST_CASE(leave_room_for_probes_of_gateways_in_other_halls) {
  constexpr size_t Halls = 10;
  constexpr size_t OfHall = 41;
  std::vector<saturating_gateway> All = gatewaysInOneGroup(OfHall);
  // Ranks within a data hall repeat in each one; the rest of a phase is random.
  std::mt19937_64 Random(11);
  std::uniform_real_distribution<double> Fraction(0, 1);
  for (size_t I = 0; I < OfHall * (Halls - 1); ++I)
    All.push_back(
        {.Group = {.Phase = (double(I % OfHall) + Fraction(Random)) / OfHall}});
  for (saturating_gateway &Each : All)
    Each.AllGateways = OfHall * Halls;
  for (double Rate : LimitRates)
    BOOST_TEST_CONTEXT("limit of " << Rate) {
      auto Limited = simulate(All, Rate, LimitBound, 1200, 0.1);
      BOOST_TEST(double(Limited.MostInWindow) <= allowed(Rate, LimitBound));
      BOOST_TEST(probeGap(Rate, LimitBound, OfHall * Halls) < 3600);
    }
}

BOOST_AUTO_TEST_CASE(are_zero_for_an_unknown_group) {
  BOOST_TEST(shareGap(ColdRate, ColdBound, {}) == NeverSeconds);
  BOOST_TEST(probeGap(ColdRate, LimitBound, 0) == NeverSeconds);
}

BOOST_AUTO_TEST_CASE(are_sane_for_odd_limits) {
  const gateway_group Alone{.Gateways = 1};
  BOOST_TEST(shareGap(0.5, ColdBound, Alone) == 2.2);
  BOOST_TEST(shareGap(0.5, {.Ratio = 1, .Slack = 0}, Alone) == NeverSeconds);
  BOOST_TEST(shareGap(NAN, ColdBound, Alone) == NeverSeconds);
  BOOST_TEST(shareGap(INFINITY, ColdBound, Alone) == NeverSeconds);
  BOOST_TEST(shareGap(4, {.Ratio = 0, .Slack = 0}, Alone) == NeverSeconds);
  BOOST_TEST(shareGap(0, LimitBound, Alone) == NeverSeconds);
  BOOST_TEST(shareGap(1e300, LimitBound, Alone) > 0);
  BOOST_TEST(shareGap(1e300, LimitBound, Alone) < 1);
  BOOST_TEST_CONTEXT("a limit of 0 is probed") {
    BOOST_TEST(probeGap(0, LimitBound, 1) < 60);
  }
}

BOOST_AUTO_TEST_CASE(count_the_gap_from_the_last_request_when_it_changes) {
  request_pacer Pacer;
  BOOST_TEST(Pacer.nextAt(5) < 0);
  Pacer.recordRequest(10);
  BOOST_TEST(Pacer.nextAt(0.1) == 10.1);
  BOOST_TEST(Pacer.nextAt(4) == 14);
  Pacer.begin(20, 4, 0.75);
  BOOST_TEST(Pacer.nextAt(4) == 21);
  Pacer.begin(30, NeverSeconds, 0);
  BOOST_TEST(Pacer.nextAt(4) == 34);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(warming)

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
