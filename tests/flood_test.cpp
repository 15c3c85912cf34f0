//===- flood_test.cpp - Admission and upstream choice under overload ------===//
//
// Simulates many gateways in front of many upstreams; admission and the choice
// of an upstream are the real code. A gateway has its own requests without
// delay, those of the other gateways in its data hall with a delay, and those
// of other data halls only as the load that upstreams report with the first
// token of a response. Upstreams start requests in order of arrival as slots
// become free; a refused client can retry once. Checks that under several times
// the normal load, requests are started in time at nearly the rate that the
// upstreams can serve.
//
//===----------------------------------------------------------------------===//

#define BOOST_TEST_MODULE flood
#include "boost/test/unit_test.hpp"
#include "policy/admission.h"
#include "policy/upstream_choice.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <queue>
#include <vector>

using namespace olivevalve;

namespace {

constexpr size_t Upstreams = 40;
constexpr size_t Slots = 16;
constexpr double SlotSeconds = 1.6;    // One request occupies a slot.
constexpr double PrefillSeconds = 0.1; // From its start to the first token.
constexpr double TargetSeconds = 2;
constexpr double DeadlineSeconds = 20;
constexpr uint32_t Priority = 1;
// A load reported by an upstream longer ago is ignored.
constexpr double ReportedLoadLifetime = 2;
// Normal load as a fraction of what the upstreams can serve.
constexpr double NormalLoadShare = 0.4;
constexpr double OverloadBegins = 20;
constexpr double OverloadSeconds = 10;
constexpr double EndsAt = 60;
// Requests per second that the upstreams can serve.
constexpr double MaxServed = double(Upstreams * Slots) / SlotSeconds;

struct overload_options {
  double Times = 5; ///< Load during the overload, as a multiple of normal.
  size_t Gateways = 30;
  double ReportDelaySeconds = 0.13; ///< Age of reports from other gateways.
  size_t Halls = 1;     ///< Gateways report to those in their data hall only.
  bool Retries = false; ///< Refused clients retry once.
};

/// Results of the requests sent within a span of time.
struct served_count {
  int Sent = 0;
  int InTime = 0;
  int Served = 0; ///< In time or late.
  double inTime() const { return double(InTime) / std::max(1, Sent); }
};

class overload_simulation {
public:
  explicit overload_simulation(overload_options NewOptions)
      : Options(NewOptions) {
    for (size_t I = 0; I < Upstreams; ++I)
      Ids.push_back("upstream-" + std::to_string(I));
    FreeAt.assign(Upstreams, std::vector<double>(Slots, 0));
    EndsOf.resize(Upstreams);
    Reported.assign(Upstreams,
                    std::vector<std::deque<reported_load>>(Options.Halls));
    Stats.recordRequest(TargetSeconds);
    Stats.recordResponse(SlotSeconds);
  }

  void play() {
    for (double Now = 0; Now < EndsAt;) {
      bool Overload =
          Now >= OverloadBegins && Now < OverloadBegins + OverloadSeconds;
      double PerSecond =
          NormalLoadShare * MaxServed * (Overload ? Options.Times : 1);
      Now += std::exponential_distribution<double>(PerSecond)(Random);
      retryUntil(Now);
      send(Now, Now);
    }
  }

  /// Results of the requests first sent in [From, To).
  served_count of(double From, double To) const {
    served_count Sum;
    for (const auto &[At, Result] : Results)
      if (At >= From && At < To) {
        ++Sum.Sent;
        Sum.InTime += Result.FirstTokenAt <= At + TargetSeconds;
        Sum.Served += std::isfinite(Result.FirstTokenAt);
      }
    return Sum;
  }
  /// Rate of first tokens in [From, To) that came within the target time.
  double startedInTimePerSecond(double From, double To) const {
    int Count = 0;
    for (const auto &[At, Result] : Results)
      Count += Result.FirstTokenAt >= From && Result.FirstTokenAt < To &&
               Result.FirstTokenAt <= At + TargetSeconds;
    return Count / (To - From);
  }

private:
  struct result {
    double FirstTokenAt = std::numeric_limits<double>::infinity();
  };

  /// The load that an upstream reported with the first token of a response.
  struct reported_load {
    double At = 0;
    double Load = 0;
    double OwnHall = 0; ///< Part of Load from the data hall that receives it.
  };

  /// The load of an upstream as a gateway has it.
  struct visible_load {
    double Requests = 0;
    bool IsAll = true; ///< Includes the requests of all data halls.
  };

  struct sent_request {
    double SentAt = 0;
    double FirstTokenAt = 0;
    double EndsAt = 0;
    size_t Gateway = 0;
  };

  size_t hallOf(size_t Gateway) const { return Gateway % Options.Halls; }

  // Processes the first tokens of all upstreams until \p Now, and drops the
  // finished requests of the upstream \p Index.
  void advance(size_t Index, double Now) {
    auto &Sent = EndsOf[Index];
    while (!FirstTokens.empty() && FirstTokens.begin()->first <= Now) {
      auto [At, First] = *FirstTokens.begin();
      FirstTokens.erase(FirstTokens.begin());
      reported_load Load{.At = At};
      for (const sent_request &Each : EndsOf[First.Upstream])
        if (Each.SentAt <= At && Each.EndsAt > At) {
          Load.Load += 1;
          Load.OwnHall += hallOf(Each.Gateway) == First.Hall ? 1 : 0;
        }
      Reported[First.Upstream][First.Hall].push_back(Load);
    }
    std::erase_if(Sent, [&](const sent_request &Each) {
      return Each.EndsAt < Now - Options.ReportDelaySeconds - 0.1;
    });
  }

  // Returns the load of an upstream as the gateway has it: its own requests,
  // those of its data hall as of ReportDelaySeconds ago, and those of other
  // data halls as last reported by the upstream.
  visible_load loadAt(size_t Index, size_t Gateway, double Now) {
    advance(Index, Now);
    size_t Hall = hallOf(Gateway);
    double Visible = 0;
    for (const sent_request &Each : EndsOf[Index]) {
      bool Own = Each.Gateway == Gateway;
      bool Counts = Own ? Each.EndsAt > Now
                        : hallOf(Each.Gateway) == Hall &&
                              Each.SentAt <= Now - Options.ReportDelaySeconds &&
                              Each.EndsAt > Now - Options.ReportDelaySeconds;
      Visible += Counts ? 1 : 0;
    }
    auto &Received = Reported[Index][Hall];
    while (Received.size() > 1 &&
           Received[1].At <= Now - Options.ReportDelaySeconds)
      Received.pop_front();
    if (Options.Halls == 1 || Received.empty() ||
        Received.front().At > Now - Options.ReportDelaySeconds ||
        Received.front().At < Now - ReportedLoadLifetime)
      return {.Requests = Visible, .IsAll = Options.Halls == 1};
    const reported_load &Last = Received.front();
    return {.Requests = std::max(Visible, Last.Load - Last.OwnHall + Visible)};
  }

  // Sends the retries that are due.
  void retryUntil(double Now) {
    while (!Returns.empty() && Returns.begin()->first <= Now) {
      auto [At, FirstSent] = *Returns.begin();
      Returns.erase(Returns.begin());
      send(At, FirstSent);
    }
  }

  // Sends a request to a random gateway. \p FirstSent differs from \p Now for a
  // retry.
  void send(double Now, double FirstSent) {
    result &Result = Results[FirstSent];
    size_t Gateway = Random() % Options.Gateways;
    std::vector<upstream_view> Views;
    for (size_t I = 0; I < Upstreams; ++I) {
      visible_load Load = loadAt(I, Gateway, Now);
      Views.push_back({.Id = Ids[I],
                       .Load = Load.Requests,
                       .LoadKnown = Load.IsAll,
                       .Slots = Slots,
                       .SameHall = I % Options.Halls == hallOf(Gateway),
                       .UncachedPrefillSeconds = PrefillSeconds});
    }
    estimateUnobservedLoad(Views);
    size_t Index = *chooseEarliestFirstToken(
        Views, {.PrefillSeconds = PrefillSeconds}, Random);
    double Wait = expectedSlotWait(Views, Stats.meanSlotSeconds());
    double Chance =
        refusalProbability(Wait, Stats.shortestTargetSeconds(), Priority);
    if (std::uniform_real_distribution<double>(0, 1)(Random) < Chance) {
      double Left = FirstSent + DeadlineSeconds - Now;
      if (Options.Retries && FirstSent == Now)
        Returns.emplace(Now + retryAfterSeconds(Left, Random), FirstSent);
      return;
    }
    auto Free = std::min_element(FreeAt[Index].begin(), FreeAt[Index].end());
    double Begins = std::max(Now, *Free);
    // The client has left before a slot became free, so none is used.
    if (Begins > FirstSent + DeadlineSeconds)
      return;
    *Free = Begins + SlotSeconds;
    Result.FirstTokenAt = Begins + PrefillSeconds;
    EndsOf[Index].push_back({.SentAt = Now,
                             .FirstTokenAt = Result.FirstTokenAt,
                             .EndsAt = *Free,
                             .Gateway = Gateway});
    FirstTokens.emplace(Result.FirstTokenAt,
                        first_token{Index, hallOf(Gateway)});
  }

  struct first_token {
    size_t Upstream = 0; ///< Index.
    size_t Hall = 0;     ///< Data hall of the gateway that sent the request.
  };

  overload_options Options;
  std::vector<std::string> Ids;                   ///< Of the upstreams.
  std::vector<std::vector<double>> FreeAt;        ///< By upstream and slot.
  std::vector<std::vector<sent_request>> EndsOf;  ///< By upstream.
  std::multimap<double, first_token> FirstTokens; ///< By time.
  /// By upstream and receiving data hall.
  std::vector<std::vector<std::deque<reported_load>>> Reported;
  /// Retries to come: time of the retry and of the first request.
  std::multimap<double, double> Returns;
  service_stats Stats;
  std::map<double, result> Results; ///< By time of the first request.
  std::mt19937_64 Random{23};
};

} // namespace

BOOST_AUTO_TEST_SUITE(overload)

// Guards against an overload that fills the queues, so that most requests start
// too late although the upstreams are busy.
BOOST_AUTO_TEST_CASE(does_not_reduce_the_requests_started_in_time) {
  for (double Times : {2.0, 5.0, 10.0}) {
    overload_simulation Simulation({.Times = Times});
    Simulation.play();
    double Possible = std::min(MaxServed, Times * NormalLoadShare * MaxServed);
    // The first second of the overload is not counted.
    double Started = Simulation.startedInTimePerSecond(
        OverloadBegins + 1, OverloadBegins + OverloadSeconds);
    BOOST_TEST_MESSAGE("load " << Times << " times normal: started in time "
                               << Started / MaxServed << " of the capacity");
    BOOST_TEST(Started > 0.9 * Possible);
    // Two seconds after the overload, service is back to normal.
    served_count After =
        Simulation.of(OverloadBegins + OverloadSeconds + 2, EndsAt - 5);
    BOOST_TEST(After.inTime() > 0.98);
  }
}

// Guards against idle slots and slow recovery when refused clients retry. A
// retry during the overload is late already and takes a slot from a request
// that could have started in time, so fewer start in time, but all slots must
// be used.
BOOST_AUTO_TEST_CASE(serves_retries_as_slots_allow) {
  overload_simulation Simulation({.Times = 5, .Retries = true});
  Simulation.play();
  served_count Count =
      Simulation.of(OverloadBegins, OverloadBegins + OverloadSeconds);
  double Possible = OverloadSeconds * MaxServed;
  BOOST_TEST_MESSAGE("with retries: in time " << Count.InTime / Possible
                                              << ", served "
                                              << Count.Served / Possible);
  BOOST_TEST(Count.InTime > 0.8 * Possible);
  BOOST_TEST(Count.Served > Possible);
  // Service is back to normal after the last retries.
  double Last = OverloadBegins + OverloadSeconds + DeadlineSeconds / 3;
  BOOST_TEST(Simulation.of(Last + 1, EndsAt - 5).inTime() > 0.98);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(overload_across_data_halls)

// Guards against worse decisions where gateways receive reports only from their
// own data hall, as with a hundred gateways, which are too many to exchange
// reports with each other. With five data halls a gateway then sees a fifth of
// the upstreams' load directly.
BOOST_AUTO_TEST_CASE(is_handled_as_well_with_reports_of_one_hall_only) {
  for (double Times : {2.0, 5.0, 10.0}) {
    overload_simulation Simulation(
        {.Times = Times, .Gateways = 100, .Halls = 5});
    Simulation.play();
    double Possible = std::min(MaxServed, Times * NormalLoadShare * MaxServed);
    double Started = Simulation.startedInTimePerSecond(
        OverloadBegins + 1, OverloadBegins + OverloadSeconds);
    BOOST_TEST_MESSAGE("data halls, load "
                       << Times << " times normal: started in time "
                       << Started / MaxServed << " of the capacity");
    BOOST_TEST(Started > 0.9 * Possible);
    served_count After =
        Simulation.of(OverloadBegins + OverloadSeconds + 2, EndsAt - 5);
    BOOST_TEST(After.inTime() > 0.98);
  }
}

BOOST_AUTO_TEST_SUITE_END()
