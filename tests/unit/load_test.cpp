//===- load_test.cpp - Routing decisions under simulated load -------------===//
//
// Simulates upstreams that prefill prompts one after the other and cache them,
// driven by the real decision functions of a gateway. Checks what callers get
// (answers in time and good answers), not the single decisions.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "policy/model_choice.h"
#include "policy/prefill_estimator.h"
#include "policy/prefix_cache_model.h"
#include "policy/upstream_choice.h"
#include <algorithm>
#include <numeric>
#include <vector>

using namespace olivevalve;

namespace {

constexpr double SmallSecondsPerToken = 8e-6; // Prefill seconds per token.
constexpr double LargeSlowdown = 10;          // Slowdown of the largest model.
constexpr double LargeCost = 0.12;            // Per 1,000 output tokens.
constexpr double TargetSeconds = 4;
constexpr uint32_t SharedTokens = 13300;
constexpr uint32_t SuffixTokens = 3700;
constexpr uint32_t MadeTokens = 120;
constexpr double SmallGoodShare = 0.54;

struct load_options {
  size_t Upstreams = 12;
  uint64_t Subjects = 50; ///< Number of distinct shared prefixes.
  double PerSecond = 10;
  double Seconds = 200;
  bool TracksPrefixCache = true;
  /// Considers the backlog before a request goes to the largest model.
  bool ConsidersBacklog = true;
};

struct load_result {
  size_t Requests = 0;
  size_t InTime = 0;
  size_t Good = 0; ///< In time, and from a model able to answer.
  uint64_t Read = 0;

  double inTime() const { return double(InTime) / double(Requests); }
  double good() const { return double(Good) / double(Requests); }
};

/// A simulated upstream that prefills prompts in order of arrival.
struct simulated_upstream {
  std::string Id;
  double FreeAt = 0;         ///< Time at which its queue is empty.
  prefix_cache_model Cached; ///< Its actual prefix cache.
};

class load_simulation {
public:
  explicit load_simulation(load_options Options) : Options(Options) {
    for (size_t I = 0; I < Options.Upstreams; ++I)
      Upstreams.push_back({.Id = "upstream-" + std::to_string(I)});
  }

  load_result run() {
    std::exponential_distribution<double> Pause(Options.PerSecond);
    for (Now = Pause(Random); Now < Options.Seconds; Now += Pause(Random))
      request();
    return Result;
  }

private:
  static constexpr size_t Small = 0;
  static constexpr size_t Large = 1;

  static double secondsPerToken(size_t Model) {
    return SmallSecondsPerToken * (Model == Large ? LargeSlowdown : 1);
  }

  double waitAt(size_t Index) const {
    return std::max(0.0, Upstreams[Index].FreeAt - Now);
  }

  double meanBacklog() const {
    double Sum = 0;
    for (size_t I = 0; I < Upstreams.size(); ++I)
      Sum += waitAt(I);
    return Sum / double(Upstreams.size());
  }

  size_t choose(size_t Model, const std::vector<prompt_block> &Blocks) {
    std::vector<upstream_view> Views;
    double FullPrefillSeconds =
        secondsPerToken(Model) * (SharedTokens + SuffixTokens);
    for (size_t I = 0; I < Upstreams.size(); ++I) {
      uint32_t Cached =
          Options.TracksPrefixCache ? PrefixCaches.cachedTokens(I, Blocks) : 0;
      Views.push_back(
          {.Id = Upstreams[I].Id,
           .Slots = 64,
           .SameHall = true,
           .PrefillSeconds = waitAt(I),
           .UncachedPrefillSeconds =
               FullPrefillSeconds - secondsPerToken(Model) * Cached});
    }
    prompt_view Prompt{.PrefillSeconds = FullPrefillSeconds};
    if (Options.TracksPrefixCache) {
      Prompt.SharedPrefillSeconds = secondsPerToken(Model) * SharedTokens;
      Prompt.SharedPrefixKey = Blocks.front().Key;
    }
    return *chooseEarliestFirstToken(Views, Prompt, Random);
  }

  /// Returns the time of the first token.
  double send(size_t Index, size_t Model,
              const std::vector<prompt_block> &Blocks) {
    simulated_upstream &Upstream = Upstreams[Index];
    uint32_t Tokens =
        SharedTokens + SuffixTokens - Upstream.Cached.cachedTokens(0, Blocks);
    Result.Read += Tokens;
    Upstream.FreeAt =
        std::max(Now, Upstream.FreeAt) + secondsPerToken(Model) * Tokens;
    Upstream.Cached.addPrompt(0, Blocks);
    PrefixCaches.addPrompt(Index, Blocks);
    return Upstream.FreeAt;
  }

  std::vector<prompt_block> blocksFor(size_t Model, uint64_t Subject) {
    uint64_t Key = (Subject + 1) * 2 + Model;
    return {{.Key = Key, .Tokens = SharedTokens},
            {.Key = ++SuffixCount << 20, .Tokens = SuffixTokens}};
  }

  void request() {
    ++Result.Requests;
    uint64_t Subject = Random() % Options.Subjects;
    std::uniform_real_distribution<double> Difficulty(0, 1);
    bool SmallGood = Difficulty(Random) < SmallGoodShare;
    std::normal_distribution<double> Noise(SmallGood ? 0.75 : 0.25, 0.15);
    auto Blocks = blocksFor(Small, Subject);
    double First = send(choose(Small, Blocks), Small, Blocks);
    request_size Size{.InputTokens = SharedTokens + SuffixTokens,
                      .OutputTokens = MadeTokens,
                      .Priority = 1};
    UtilityRates.add(utilityOf(Size),
                     SmallSecondsPerToken * (SharedTokens + SuffixTokens));
    // A gateway weighs the larger model when the small model's first token
    // comes. The simulation does so at once, which leaves out nothing that
    // arrives until then.
    Blocks = blocksFor(Large, Subject);
    size_t Index = choose(Large, Blocks);
    double Read =
        secondsPerToken(Large) * (SharedTokens + SuffixTokens -
                                  PrefixCaches.cachedTokens(Index, Blocks));
    double Backlog = Options.ConsidersBacklog ? meanBacklog() : 0;
    ProcessingTimes.add(Read);
    auto Larger =
        largerModel({.ModelCount = 2,
                     .ModelIndex = Small,
                     .Confidence = std::clamp(Noise(Random), 0.0, 1.0),
                     .Size = Size,
                     .LargestCost = LargeCost,
                     .LargestSeconds = Read,
                     .OpportunityCostPerSecond = opportunityCostPerSecond(
                         UtilityRates.perSecond(), Backlog,
                         ProcessingTimes.residualSeconds()),
                     .InTime = !Options.ConsidersBacklog ||
                               waitAt(Index) + Read < TargetSeconds});
    if (Larger)
      First = std::max(First, send(Index, Large, Blocks));
    bool InTime = First < Now + TargetSeconds;
    Result.InTime += InTime ? 1 : 0;
    Result.Good += InTime && (SmallGood || Larger) ? 1 : 0;
  }

  load_options Options;
  std::vector<simulated_upstream> Upstreams;
  prefix_cache_model
      PrefixCaches; ///< The gateway's model of the prefix caches.
  utility_rate UtilityRates;
  processing_time_stats ProcessingTimes;
  std::mt19937_64 Random{11};
  double Now = 0;
  uint64_t SuffixCount = 0;
  load_result Result;
};

} // namespace

BOOST_AUTO_TEST_SUITE(decisions_under_load)

BOOST_AUTO_TEST_CASE(do_not_prefill_shared_prefixes_on_every_upstream) {
  load_result Tracking = load_simulation({.PerSecond = 6}).run();
  load_result Untracked =
      load_simulation({.PerSecond = 6, .TracksPrefixCache = false}).run();
  BOOST_TEST(Tracking.Read * 2 < Untracked.Read);
  BOOST_TEST(Tracking.good() > 0.9);
  BOOST_TEST(Tracking.good() > Untracked.good());
}

BOOST_AUTO_TEST_CASE(meet_the_latency_target_at_six_times_the_load) {
  for (double PerSecond : {10.0, 20.0, 40.0, 60.0}) {
    load_result Considering = load_simulation({.PerSecond = PerSecond}).run();
    load_result Ignoring =
        load_simulation({.PerSecond = PerSecond, .ConsidersBacklog = false})
            .run();
    BOOST_TEST(Considering.inTime() > 0.9);
    // No worse than a gateway that never uses the largest model.
    BOOST_TEST(Considering.good() > 0.9 * SmallGoodShare);
    BOOST_TEST(Considering.good() > Ignoring.good() - 0.01);
  }
}

BOOST_AUTO_TEST_CASE(do_not_overload_upstreams_with_the_largest_model) {
  // If every low-confidence answer escalates to the largest model, its prefill
  // work fills all upstreams and one answer in a hundred begins in time.
  load_result Considering = load_simulation({.PerSecond = 60}).run();
  load_result Ignoring =
      load_simulation({.PerSecond = 60, .ConsidersBacklog = false}).run();
  BOOST_TEST(Considering.good() > 0.8);
  BOOST_TEST(Ignoring.good() < 0.2);
}

BOOST_AUTO_TEST_CASE(meet_the_latency_target_with_a_quarter_of_the_upstreams) {
  load_result Few = load_simulation({.Upstreams = 3, .PerSecond = 10}).run();
  BOOST_TEST(Few.inTime() > 0.9);
  BOOST_TEST(Few.good() > SmallGoodShare);
}

BOOST_AUTO_TEST_CASE(replicate_a_shared_prefix_that_all_requests_use) {
  load_result Hot = load_simulation({.Subjects = 1, .PerSecond = 30}).run();
  BOOST_TEST(Hot.inTime() > 0.95);
  BOOST_TEST(Hot.good() > 0.8);
}

BOOST_AUTO_TEST_SUITE_END()
