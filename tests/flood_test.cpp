//===- flood_test.cpp - What callers get in a flood -----------------------===//
//
// Many gateways before many upstreams, in simulated time, under the real
// decisions. Each gateway knows its own requests at once, those of the others
// of its data hall a moment late, and of those of other halls what upstreams
// tell with the first tokens of answers. Upstreams begin requests in their
// order as slots get free; a caller that is refused comes back once. Checks
// what callers get: at several times the load, what is begun in time must not
// be less than what the upstreams can do.
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
constexpr double HoldSeconds = 1.6; // Of a slot, for one answer.
constexpr double ReadSeconds = 0.1; // From its begin to the first token.
constexpr double TargetSeconds = 2;
constexpr double DeadlineSeconds = 20;
constexpr uint32_t Priority = 1;
// What an upstream told longer ago says nothing of the present.
constexpr double ToldLifetime = 2;
constexpr double CalmPart = 0.4; // Of what the upstreams can serve.
constexpr double FloodBegins = 20;
constexpr double FloodSeconds = 10;
constexpr double EndsAt = 60;
constexpr double CanServe = double(Upstreams * Slots) / HoldSeconds;

struct flood_options {
  double Times = 5; ///< The calm load.
  size_t Gateways = 30;
  double NewsSeconds = 0.13; ///< Age of what is known of other gateways.
  size_t Halls = 1;          ///< Gateways tell those of their own only.
  bool ComeBack = false;     ///< Callers that were refused, once.
};

/// In time, of the requests asked in a span of time.
struct served_count {
  int Asked = 0;
  int InTime = 0;
  int Served = 0; ///< In time or late.
  double inTime() const { return double(InTime) / std::max(1, Asked); }
};

class played_flood {
public:
  explicit played_flood(flood_options NewOptions) : Options(NewOptions) {
    for (size_t I = 0; I < Upstreams; ++I)
      Ids.push_back("upstream-" + std::to_string(I));
    FreeAt.assign(Upstreams, std::vector<double>(Slots, 0));
    EndsOf.resize(Upstreams);
    Told.assign(Upstreams, std::vector<std::deque<told_load>>(Options.Halls));
    Pace.recordRequest(TargetSeconds);
    Pace.recordResponse(HoldSeconds);
  }

  void play() {
    for (double Now = 0; Now < EndsAt;) {
      bool Flood = Now >= FloodBegins && Now < FloodBegins + FloodSeconds;
      double PerSecond = CalmPart * CanServe * (Flood ? Options.Times : 1);
      Now += std::exponential_distribution<double>(PerSecond)(Random);
      comeBackUntil(Now);
      ask(Now, Now);
    }
  }

  /// Of those asked in [From, To).
  served_count of(double From, double To) const {
    served_count Sum;
    for (const auto &[At, Result] : Results)
      if (At >= From && At < To) {
        ++Sum.Asked;
        Sum.InTime += Result.FirstTokenAt <= At + TargetSeconds;
        Sum.Served += std::isfinite(Result.FirstTokenAt);
      }
    return Sum;
  }
  /// Requests begun in time, by when they began.
  double begunInTimePerSecond(double From, double To) const {
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

  /// What an upstream told with the first token of an answer.
  struct told_load {
    double At = 0;
    double Load = 0;
    double OwnHall = 0; ///< Of it, requests of the hall that was told.
  };

  struct known_load {
    double Requests = 0;
    bool IsAll = true; ///< No others are there that the gateway cannot know.
  };

  struct sent_request {
    double SentAt = 0;
    double FirstTokenAt = 0;
    double EndsAt = 0;
    size_t Gateway = 0;
  };

  size_t hallOf(size_t Gateway) const { return Gateway % Options.Halls; }

  // Takes in what has happened at an upstream until \p Now.
  void advance(size_t Place, double Now) {
    auto &Sent = EndsOf[Place];
    while (!FirstTokens.empty() && FirstTokens.begin()->first <= Now) {
      auto [At, First] = *FirstTokens.begin();
      FirstTokens.erase(FirstTokens.begin());
      told_load Load{.At = At};
      for (const sent_request &Each : EndsOf[First.Place])
        if (Each.SentAt <= At && Each.EndsAt > At) {
          Load.Load += 1;
          Load.OwnHall += hallOf(Each.Gateway) == First.Hall ? 1 : 0;
        }
      Told[First.Place][First.Hall].push_back(Load);
    }
    std::erase_if(Sent, [&](const sent_request &Each) {
      return Each.EndsAt < Now - Options.NewsSeconds - 0.1;
    });
  }

  // Of the gateway's hall: all that were there a moment ago, and its own since
  // then; what upstreams told says how many of other halls there were.
  known_load loadAt(size_t Place, size_t Gateway, double Now) {
    advance(Place, Now);
    size_t Hall = hallOf(Gateway);
    double Known = 0;
    for (const sent_request &Each : EndsOf[Place]) {
      bool Own = Each.Gateway == Gateway;
      bool Counts = Own ? Each.EndsAt > Now
                        : hallOf(Each.Gateway) == Hall &&
                              Each.SentAt <= Now - Options.NewsSeconds &&
                              Each.EndsAt > Now - Options.NewsSeconds;
      Known += Counts ? 1 : 0;
    }
    auto &Heard = Told[Place][Hall];
    while (Heard.size() > 1 && Heard[1].At <= Now - Options.NewsSeconds)
      Heard.pop_front();
    if (Options.Halls == 1 || Heard.empty() ||
        Heard.front().At > Now - Options.NewsSeconds ||
        Heard.front().At < Now - ToldLifetime)
      return {.Requests = Known, .IsAll = Options.Halls == 1};
    const told_load &Last = Heard.front();
    return {.Requests = std::max(Known, Last.Load - Last.OwnHall + Known)};
  }

  void comeBackUntil(double Now) {
    while (!Returns.empty() && Returns.begin()->first <= Now) {
      auto [At, FirstAsked] = *Returns.begin();
      Returns.erase(Returns.begin());
      ask(At, FirstAsked);
    }
  }

  void ask(double Now, double FirstAsked) {
    result &Result = Results[FirstAsked];
    size_t Gateway = Random() % Options.Gateways;
    std::vector<upstream_view> Views;
    for (size_t I = 0; I < Upstreams; ++I) {
      known_load Load = loadAt(I, Gateway, Now);
      Views.push_back({.Id = Ids[I],
                       .Load = Load.Requests,
                       .LoadKnown = Load.IsAll,
                       .Slots = Slots,
                       .SameHall = I % Options.Halls == hallOf(Gateway),
                       .UncachedPrefillSeconds = ReadSeconds});
    }
    estimateUnobservedLoad(Views);
    size_t Place = *chooseEarliestFirstToken(
        Views, {.PrefillSeconds = ReadSeconds}, Random);
    double Wait = expectedSlotWait(Views, Pace.meanSlotSeconds());
    double Chance =
        refusalProbability(Wait, Pace.shortestTargetSeconds(), Priority);
    if (std::uniform_real_distribution<double>(0, 1)(Random) < Chance) {
      double Left = FirstAsked + DeadlineSeconds - Now;
      if (Options.ComeBack && FirstAsked == Now)
        Returns.emplace(Now + retryAfterSeconds(Left, Random), FirstAsked);
      return;
    }
    auto Free = std::min_element(FreeAt[Place].begin(), FreeAt[Place].end());
    double Begins = std::max(Now, *Free);
    // A caller that has left frees its place in the queue.
    if (Begins > FirstAsked + DeadlineSeconds)
      return;
    *Free = Begins + HoldSeconds;
    Result.FirstTokenAt = Begins + ReadSeconds;
    EndsOf[Place].push_back({.SentAt = Now,
                             .FirstTokenAt = Result.FirstTokenAt,
                             .EndsAt = *Free,
                             .Gateway = Gateway});
    FirstTokens.emplace(Result.FirstTokenAt,
                        first_token{Place, hallOf(Gateway)});
  }

  struct first_token {
    size_t Place = 0;
    size_t Hall = 0;
  };

  flood_options Options;
  std::vector<std::string> Ids;
  std::vector<std::vector<double>> FreeAt; ///< Of each slot.
  std::vector<std::vector<sent_request>> EndsOf;
  std::multimap<double, first_token> FirstTokens;       ///< By when they come.
  std::vector<std::vector<std::deque<told_load>>> Told; ///< By place, hall.
  std::multimap<double, double> Returns; ///< Of refused ones: when, asked when.
  service_stats Pace;
  std::map<double, result> Results; ///< By when it was first asked.
  std::mt19937_64 Random{23};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_flood)

BOOST_AUTO_TEST_CASE(takes_nothing_from_what_is_begun_in_time) {
  for (double Times : {2.0, 5.0, 10.0}) {
    played_flood Flood({.Times = Times});
    Flood.play();
    double Can = std::min(CanServe, Times * CalmPart * CanServe);
    // From a second after it began.
    double Begun =
        Flood.begunInTimePerSecond(FloodBegins + 1, FloodBegins + FloodSeconds);
    BOOST_TEST_MESSAGE("times " << Times << ": begun in time "
                                << Begun / CanServe << " of what could be");
    BOOST_TEST(Begun > 0.9 * Can);
    // Two seconds after it all is as before.
    served_count After = Flood.of(FloodBegins + FloodSeconds + 2, EndsAt - 5);
    BOOST_TEST(After.inTime() > 0.98);
  }
}

// Callers who come back in the midst of it are late already. They take slots
// from those who could still begin in time, but no slot is empty.
BOOST_AUTO_TEST_CASE(serves_those_who_come_back_as_slots_allow) {
  played_flood Flood({.Times = 5, .ComeBack = true});
  Flood.play();
  served_count Asked = Flood.of(FloodBegins, FloodBegins + FloodSeconds);
  double Can = FloodSeconds * CanServe;
  BOOST_TEST_MESSAGE("with returns: in time " << Asked.InTime / Can
                                              << ", served "
                                              << Asked.Served / Can);
  BOOST_TEST(Asked.InTime > 0.8 * Can);
  BOOST_TEST(Asked.Served > Can);
  // Calm is back when the last ones have come back.
  double Last = FloodBegins + FloodSeconds + DeadlineSeconds / 3;
  BOOST_TEST(Flood.of(Last + 1, EndsAt - 5).inTime() > 0.98);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_flood_by_halls)

// A hundred gateways are too many to tell each other all: those of five data
// halls know of their own hall only, a fifth of what upstreams have.
BOOST_AUTO_TEST_CASE(is_decided_as_well_where_gateways_know_their_own_hall) {
  for (double Times : {2.0, 5.0, 10.0}) {
    played_flood Flood({.Times = Times, .Gateways = 100, .Halls = 5});
    Flood.play();
    double Can = std::min(CanServe, Times * CalmPart * CanServe);
    double Begun =
        Flood.begunInTimePerSecond(FloodBegins + 1, FloodBegins + FloodSeconds);
    BOOST_TEST_MESSAGE("halls, times " << Times << ": begun in time "
                                       << Begun / CanServe
                                       << " of what could be");
    BOOST_TEST(Begun > 0.9 * Can);
    served_count After = Flood.of(FloodBegins + FloodSeconds + 2, EndsAt - 5);
    BOOST_TEST(After.inTime() > 0.98);
  }
}

BOOST_AUTO_TEST_SUITE_END()
