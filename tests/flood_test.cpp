//===- flood_test.cpp - What callers get in a flood -----------------------===//
//
// Many gateways before many upstreams, in simulated time, under the real
// decisions. Each gateway knows its own requests at once and those of the
// others a moment late. Upstreams begin requests in their order as slots get
// free. Checks what callers get: at several times the load, what is begun in
// time must not be less than what the upstreams can do.
//
//===----------------------------------------------------------------------===//

#define BOOST_TEST_MODULE flood
#include "boost/test/unit_test.hpp"
#include "policy/upstream_choice.h"
#include <algorithm>
#include <cmath>
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
constexpr double CalmPart = 0.4; // Of what the upstreams can serve.
constexpr double FloodBegins = 20;
constexpr double FloodSeconds = 10;
constexpr double EndsAt = 60;
constexpr double CanServe = double(Upstreams * Slots) / HoldSeconds;

struct flood_options {
  double Times = 5; ///< The calm load.
  size_t Gateways = 30;
  double NewsSeconds = 0.13; ///< Age of what is known of other gateways.
};

/// In time, of the requests asked in a span of time.
struct served_count {
  int Asked = 0;
  int InTime = 0;
  double inTime() const { return double(InTime) / std::max(1, Asked); }
};

class played_flood {
public:
  explicit played_flood(flood_options NewOptions) : Options(NewOptions) {
    for (size_t I = 0; I < Upstreams; ++I)
      Ids.push_back("upstream-" + std::to_string(I));
    FreeAt.assign(Upstreams, std::vector<double>(Slots, 0));
    EndsOf.resize(Upstreams);
  }

  void play() {
    for (double Now = 0; Now < EndsAt;) {
      bool Flood = Now >= FloodBegins && Now < FloodBegins + FloodSeconds;
      double PerSecond = CalmPart * CanServe * (Flood ? Options.Times : 1);
      Now += std::exponential_distribution<double>(PerSecond)(Random);
      ask(Now);
    }
  }

  /// Of those asked in [From, To).
  served_count of(double From, double To) const {
    served_count Sum;
    for (const auto &[At, Result] : Results)
      if (At >= From && At < To) {
        ++Sum.Asked;
        Sum.InTime += Result.FirstTokenAt <= At + TargetSeconds;
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

  // What a gateway knows: the requests of all that were there a moment ago,
  // and its own since then.
  double loadAt(size_t Place, size_t Gateway, double Now) {
    auto &Ends = EndsOf[Place];
    std::erase_if(Ends, [&](const sent_request &Each) {
      return Each.EndsAt < Now - Options.NewsSeconds;
    });
    double Load = 0;
    for (const sent_request &Each : Ends) {
      bool Known = Each.Gateway == Gateway
                       ? Each.EndsAt > Now
                       : Each.SentAt <= Now - Options.NewsSeconds;
      Load += Known ? 1 : 0;
    }
    return Load;
  }

  void ask(double Now) {
    result &Result = Results[Now];
    size_t Gateway = Random() % Options.Gateways;
    std::vector<upstream_view> Views;
    for (size_t I = 0; I < Upstreams; ++I)
      Views.push_back({.Id = Ids[I],
                       .Load = loadAt(I, Gateway, Now),
                       .Slots = Slots,
                       .SameHall = true,
                       .ReadSeconds = ReadSeconds});
    size_t Place = *chooseSoonest(Views, {.Seconds = ReadSeconds}, Random);
    auto Free = std::min_element(FreeAt[Place].begin(), FreeAt[Place].end());
    double Begins = std::max(Now, *Free);
    // A caller that has left frees its place in the queue.
    if (Begins > Now + DeadlineSeconds)
      return;
    *Free = Begins + HoldSeconds;
    EndsOf[Place].push_back(
        {.SentAt = Now, .EndsAt = *Free, .Gateway = Gateway});
    Result.FirstTokenAt = Begins + ReadSeconds;
  }

  struct sent_request {
    double SentAt = 0;
    double EndsAt = 0;
    size_t Gateway = 0;
  };

  flood_options Options;
  std::vector<std::string> Ids;
  std::vector<std::vector<double>> FreeAt; ///< Of each slot.
  std::vector<std::vector<sent_request>> EndsOf;
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

BOOST_AUTO_TEST_SUITE_END()
