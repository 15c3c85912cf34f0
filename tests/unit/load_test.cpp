//===- load_test.cpp - What callers get of the decisions under load -------===//
//
// Upstreams that read prompts one after the other and keep them, as a queue in
// simulated time, under the real decisions of a gateway. Checks what callers
// get, not how it came about.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "policy/model_choice.h"
#include "policy/prompt_memory.h"
#include "policy/prompt_pace.h"
#include "policy/upstream_choice.h"
#include <algorithm>
#include <numeric>
#include <vector>

using namespace olivevalve;

namespace {

constexpr double SmallPace = 8e-6; // Seconds for a token read.
constexpr double LargeTimes = 10;  // The largest model's time beside that.
constexpr double LargeCost = 0.12; // For 1,000 tokens made.
constexpr double TargetSeconds = 4;
constexpr uint32_t SharedTokens = 13300;
constexpr uint32_t OwnTokens = 3700;
constexpr uint32_t MadeTokens = 120;
constexpr double SmallIsGood = 0.54;

struct load_options {
  size_t Upstreams = 12;
  uint64_t Subjects = 50; ///< Shared parts.
  double PerSecond = 10;
  double Seconds = 200;
  bool KnowsMemory = true;
  bool HeedsBacklog = true; ///< Before it asks the largest model.
};

struct load_result {
  size_t Requests = 0;
  size_t InTime = 0;
  size_t Good = 0; ///< In time, and by a model that could answer.
  uint64_t Read = 0;

  double inTime() const { return double(InTime) / double(Requests); }
  double good() const { return double(Good) / double(Requests); }
};

/// One upstream: reads in order; the time when it is through with all it has.
struct played_upstream {
  std::string Id;
  double FreeAt = 0;
  prefix_cache_model Kept; ///< What it really keeps.
};

class played_load {
public:
  explicit played_load(load_options Options) : Options(Options) {
    for (size_t I = 0; I < Options.Upstreams; ++I)
      Upstreams.push_back({.Id = "upstream-" + std::to_string(I)});
  }

  load_result play() {
    std::exponential_distribution<double> Pause(Options.PerSecond);
    for (Now = Pause(Random); Now < Options.Seconds; Now += Pause(Random))
      request();
    return Result;
  }

private:
  static constexpr size_t Small = 0;
  static constexpr size_t Large = 1;

  static double paceOf(size_t Model) {
    return SmallPace * (Model == Large ? LargeTimes : 1);
  }

  double waitAt(size_t Place) const {
    return std::max(0.0, Upstreams[Place].FreeAt - Now);
  }

  double meanBacklog() const {
    double Sum = 0;
    for (size_t I = 0; I < Upstreams.size(); ++I)
      Sum += waitAt(I);
    return Sum / double(Upstreams.size());
  }

  size_t choose(size_t Model, const std::vector<prompt_block> &Pieces) {
    std::vector<upstream_view> Views;
    double Whole = paceOf(Model) * (SharedTokens + OwnTokens);
    for (size_t I = 0; I < Upstreams.size(); ++I) {
      uint32_t Kept = Options.KnowsMemory ? Memory.cachedTokens(I, Pieces) : 0;
      Views.push_back({.Id = Upstreams[I].Id,
                       .Slots = 64,
                       .SameHall = true,
                       .PrefillSeconds = waitAt(I),
                       .UncachedPrefillSeconds = Whole - paceOf(Model) * Kept});
    }
    prompt_view Prompt{.PrefillSeconds = Whole};
    if (Options.KnowsMemory) {
      Prompt.SharedPrefillSeconds = paceOf(Model) * SharedTokens;
      Prompt.SharedPrefixKey = Pieces.front().Key;
    }
    return *chooseEarliestFirstToken(Views, Prompt, Random);
  }

  /// Returns when the first token comes.
  double send(size_t Place, size_t Model,
              const std::vector<prompt_block> &Pieces) {
    played_upstream &Upstream = Upstreams[Place];
    uint32_t Tokens =
        SharedTokens + OwnTokens - Upstream.Kept.cachedTokens(0, Pieces);
    Result.Read += Tokens;
    Upstream.FreeAt = std::max(Now, Upstream.FreeAt) + paceOf(Model) * Tokens;
    Upstream.Kept.addPrompt(0, Pieces);
    Memory.addPrompt(Place, Pieces);
    return Upstream.FreeAt;
  }

  std::vector<prompt_block> piecesFor(size_t Model, uint64_t Subject) {
    uint64_t Key = (Subject + 1) * 2 + Model;
    return {{.Key = Key, .Tokens = SharedTokens},
            {.Key = ++Owns << 20, .Tokens = OwnTokens}};
  }

  void request() {
    ++Result.Requests;
    uint64_t Subject = Random() % Options.Subjects;
    std::uniform_real_distribution<double> Hardness(0, 1);
    bool SmallGood = Hardness(Random) < SmallIsGood;
    std::normal_distribution<double> Noise(SmallGood ? 0.75 : 0.25, 0.15);
    auto Pieces = piecesFor(Small, Subject);
    double First = send(choose(Small, Pieces), Small, Pieces);
    request_size Size{.InputTokens = SharedTokens + OwnTokens,
                      .OutputTokens = MadeTokens,
                      .Priority = 1};
    Earnings.add(utilityOf(Size), SmallPace * (SharedTokens + OwnTokens));
    // The larger model is weighed when the first one's token comes; nothing
    // that arrives until then is left out by looking at it now.
    Pieces = piecesFor(Large, Subject);
    size_t Place = choose(Large, Pieces);
    double Read = paceOf(Large) * (SharedTokens + OwnTokens -
                                   Memory.cachedTokens(Place, Pieces));
    double Backlog = Options.HeedsBacklog ? meanBacklog() : 0;
    Works.add(Read);
    auto Larger = largerModel(
        {.ModelCount = 2,
         .ModelIndex = Small,
         .Confidence = std::clamp(Noise(Random), 0.0, 1.0),
         .Size = Size,
         .LargestCost = LargeCost,
         .LargestSeconds = Read,
         .OpportunityCostPerSecond = opportunityCostPerSecond(
             Earnings.perSecond(), Backlog, Works.residualSeconds()),
         .InTime =
             !Options.HeedsBacklog || waitAt(Place) + Read < TargetSeconds});
    if (Larger)
      First = std::max(First, send(Place, Large, Pieces));
    bool InTime = First < Now + TargetSeconds;
    Result.InTime += InTime ? 1 : 0;
    Result.Good += InTime && (SmallGood || Larger) ? 1 : 0;
  }

  load_options Options;
  std::vector<played_upstream> Upstreams;
  prefix_cache_model Memory; ///< What the gateway knows.
  utility_rate Earnings;
  processing_time_stats Works;
  std::mt19937_64 Random{11};
  double Now = 0;
  uint64_t Owns = 0;
  load_result Result;
};

} // namespace

BOOST_AUTO_TEST_SUITE(decisions_under_load)

BOOST_AUTO_TEST_CASE(read_shared_parts_once_not_everywhere) {
  load_result Knows = played_load({.PerSecond = 6}).play();
  load_result Blind =
      played_load({.PerSecond = 6, .KnowsMemory = false}).play();
  BOOST_TEST(Knows.Read * 2 < Blind.Read);
  BOOST_TEST(Knows.good() > 0.9);
  BOOST_TEST(Knows.good() > Blind.good());
}

BOOST_AUTO_TEST_CASE(keep_to_the_target_at_six_times_the_load) {
  for (double PerSecond : {10.0, 20.0, 40.0, 60.0}) {
    load_result Heeds = played_load({.PerSecond = PerSecond}).play();
    load_result Heedless =
        played_load({.PerSecond = PerSecond, .HeedsBacklog = false}).play();
    BOOST_TEST(Heeds.inTime() > 0.9);
    // No worse than never to ask the largest model.
    BOOST_TEST(Heeds.good() > 0.9 * SmallIsGood);
    BOOST_TEST(Heeds.good() > Heedless.good() - 0.01);
  }
}

BOOST_AUTO_TEST_CASE(leave_the_largest_model_when_prompts_wait) {
  // Asked at any doubt it fills all upstreams: one answer in a hundred begins
  // within the target.
  load_result Heeds = played_load({.PerSecond = 60}).play();
  load_result Heedless =
      played_load({.PerSecond = 60, .HeedsBacklog = false}).play();
  BOOST_TEST(Heeds.good() > 0.8);
  BOOST_TEST(Heedless.good() < 0.2);
}

BOOST_AUTO_TEST_CASE(serve_on_when_a_quarter_of_the_upstreams_is_left) {
  load_result Few = played_load({.Upstreams = 3, .PerSecond = 10}).play();
  BOOST_TEST(Few.inTime() > 0.9);
  BOOST_TEST(Few.good() > SmallIsGood);
}

BOOST_AUTO_TEST_CASE(copy_a_shared_part_that_all_ask_for) {
  load_result Hot = played_load({.Subjects = 1, .PerSecond = 30}).play();
  BOOST_TEST(Hot.inTime() > 0.95);
  BOOST_TEST(Hot.good() > 0.8);
}

BOOST_AUTO_TEST_SUITE_END()
