//===- choice_test.cpp - What gateways choose, and by which estimates -----===//

#include "boost/test/unit_test.hpp"
#include "gateway/selection.h"
#include "policy/model_choice.h"
#include "policy/prefill_estimator.h"
#include "policy/prefix_cache_model.h"
#include "policy/slowdown.h"
#include "policy/upstream_choice.h"
#include <cmath>
#include <random>
#include <set>

using namespace olivevalve;
using namespace std::string_literals;

namespace {

std::vector<upstream_view> views(std::initializer_list<double> Loads,
                                 double ReadSeconds = 0) {
  static const char *Names[] = {"a", "b", "c", "d", "e", "f",
                                "g", "h", "i", "j", "k", "l"};
  std::vector<upstream_view> Views;
  for (double Load : Loads)
    Views.push_back({.Id = Names[Views.size()],
                     .Load = Load,
                     .Slots = 10,
                     .UncachedPrefillSeconds = ReadSeconds});
  return Views;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway)

BOOST_AUTO_TEST_SUITE(choice_of_an_upstream)

BOOST_AUTO_TEST_CASE(picks_the_least_loaded_and_prefers_its_data_hall) {
  std::mt19937_64 Random(1);
  BOOST_TEST(*chooseLeastLoaded(views({5, 2, 7}), Random) == 1U);
  auto Views = views({2, 2, 2});
  Views[2].SameHall = true;
  BOOST_TEST(*chooseLeastLoaded(Views, Random) == 2U);
  Views[2].Load = 9;
  BOOST_TEST(*chooseLeastLoaded(Views, Random) != 2U);
  Views[0].Suspect = Views[1].Suspect = true;
  BOOST_TEST(*chooseLeastLoaded(Views, Random) == 2U);
  Views[2].Suspect = true;
  BOOST_TEST(chooseLeastLoaded(Views, Random).has_value());
  BOOST_TEST(!chooseLeastLoaded({}, Random).has_value());
}

BOOST_AUTO_TEST_CASE(
    keeps_a_shared_prefix_on_one_upstream_when_another_leaves) {
  std::mt19937_64 Random(1);
  auto All = views({1, 1, 1, 1, 1, 1}, 0.3);
  auto Fewer = All;
  Fewer.pop_back();
  std::set<size_t> Used;
  for (uint64_t Key = 0; Key < 200; ++Key) {
    prompt_view Prompt{.PrefillSeconds = 0.3,
                       .SharedPrefillSeconds = 0.2,
                       .SharedPrefixKey = Key};
    size_t Index = *chooseEarliestFirstToken(All, Prompt, Random);
    BOOST_TEST(*chooseEarliestFirstToken(All, Prompt, Random) == Index);
    if (Index < Fewer.size())
      BOOST_TEST(*chooseEarliestFirstToken(Fewer, Prompt, Random) == Index);
    Used.insert(Index);
  }
  BOOST_TEST(Used.size() == All.size());
}

BOOST_AUTO_TEST_CASE(
    moves_a_shared_prefix_when_its_upstream_is_busy_or_suspect) {
  std::mt19937_64 Random(1);
  auto Views = views({1, 1, 1}, 0.3);
  prompt_view Prompt{
      .PrefillSeconds = 0.3, .SharedPrefillSeconds = 0.2, .SharedPrefixKey = 5};
  size_t Home = *chooseEarliestFirstToken(Views, Prompt, Random);
  Views[Home].PrefillSeconds = 1;
  BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) != Home);
  Views[Home].PrefillSeconds = 0;
  Views[Home].Suspect = true;
  BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) != Home);
  Views[Home].Suspect = false;
  Views[Home].Load = Views[Home].Slots; // All slots in use.
  BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) != Home);
}

BOOST_AUTO_TEST_CASE(avoids_an_upstream_where_work_takes_longer) {
  std::mt19937_64 Random(1);
  auto Views = views({1, 1, 1}, 0.1);
  Views[1].Slowdown = 0.5;
  Views[2].Slowdown = 2;
  prompt_view Prompt{.PrefillSeconds = 0.1};
  for (int I = 0; I < 50; ++I) {
    BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) == 1U);
    BOOST_TEST(*chooseLeastLoaded(Views, Random) == 1U);
  }
  BOOST_TEST_CONTEXT("unless more waits at the faster one") {
    Views[1].PrefillSeconds = 1;
    Views[1].Load = 9;
    BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) == 0U);
    BOOST_TEST(*chooseLeastLoaded(Views, Random) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(expects_what_upstreams_told_lately_of_their_speed) {
  slowdown_estimate Slowdown;
  BOOST_TEST(Slowdown.value() == 1);
  for (int I = 0; I < 20; ++I)
    Slowdown.record(I % 2 == 0 ? 1.5 : 2.5, 0.1 * I);
  BOOST_TEST(Slowdown.value() > 1.8);
  BOOST_TEST(Slowdown.value() < 2.1);
  BOOST_TEST_CONTEXT("older figures count less") {
    for (int I = 0; I < 5; ++I)
      Slowdown.record(0.5, 60 + I);
    BOOST_TEST(Slowdown.value() < 0.7);
  }
  BOOST_TEST_CONTEXT("absurd figures are bounded") {
    for (int I = 0; I < 50; ++I)
      Slowdown.record(4e7, 200 + I);
    BOOST_TEST(Slowdown.value() <= 5);
    for (int I = 0; I < 50; ++I)
      Slowdown.record(0, 400 + I);
    BOOST_TEST(Slowdown.value() >= 0.2);
  }
}

BOOST_AUTO_TEST_CASE(prefers_its_data_hall_unless_the_wait_is_longer) {
  std::mt19937_64 Random(1);
  auto Views = views({1, 1, 1});
  Views[1].SameHall = true;
  prompt_view Prompt{.PrefillSeconds = 0.1};
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) == 1U);
  Views[1].PrefillSeconds = 0.2;
  BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) != 1U);
}

BOOST_AUTO_TEST_CASE(
    prefers_the_upstream_with_the_cached_prompt_unless_it_is_busy) {
  std::mt19937_64 Random(1);
  auto Views = views({1, 1, 1, 1});
  prompt_view Prompt{.PrefillSeconds = 0.3, .SharedPrefillSeconds = 0.2};
  for (uint64_t Key = 0; Key < 50; ++Key) {
    Prompt.SharedPrefixKey = Key;
    for (upstream_view &View : Views)
      View.UncachedPrefillSeconds = 0.3;
    Views[2].UncachedPrefillSeconds = 0.1;
    Views[2].PrefillSeconds = 0.3;
    BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) == 2U);
    Views[2].PrefillSeconds = 1;
    BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) != 2U);
  }
  BOOST_TEST(!chooseEarliestFirstToken({}, {}, Random).has_value());
}

BOOST_AUTO_TEST_CASE(
    keeps_a_session_on_one_upstream_when_all_cache_the_first_block) {
  std::mt19937_64 Random(1);
  auto Views = views({1, 1, 1, 1});
  // Every upstream caches the first prompt block and none the second, which
  // the key identifies.
  for (upstream_view &View : Views)
    View.UncachedPrefillSeconds = 0.2;
  prompt_view Prompt{.PrefillSeconds = 0.3,
                     .SharedPrefillSeconds = 0.25,
                     .SharedPrefixKey = 7};
  size_t Index = *chooseEarliestFirstToken(Views, Prompt, Random);
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) == Index);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(prefill_estimates)

BOOST_AUTO_TEST_CASE(are_not_inflated_by_queueing_time) {
  prefill_estimator Estimator;
  constexpr uint32_t Tokens = 10000;
  BOOST_TEST(Estimator.estimateSeconds("large", 10, Tokens) >
             5 * Estimator.estimateSeconds("small", 1, Tokens));
  std::mt19937_64 Random(3);
  constexpr double Real = 0.4;
  for (int I = 0; I < 2000; ++I) {
    bool Waited = Random() % 10 < 7;
    Estimator.recordFirstToken("large", 10, Tokens, 0,
                               0.05 + (Waited ? 5 * Real : Real));
  }
  BOOST_TEST(Estimator.estimateSeconds("large", 10, Tokens) > 0.8 * Real);
  BOOST_TEST(Estimator.estimateSeconds("large", 10, Tokens) < 1.3 * Real);
  // Prefill time grows faster than linearly with the prompt length.
  BOOST_TEST(Estimator.estimateSeconds("large", 10, 2 * Tokens) >
             2.1 * Estimator.estimateSeconds("large", 10, Tokens));
}

BOOST_AUTO_TEST_CASE(converge_in_a_few_answers_from_a_wrong_prior) {
  prefill_estimator Estimator;
  constexpr uint32_t Tokens = 10000;
  double Real = 5 * Estimator.estimateSeconds("small", 1, Tokens);
  for (int I = 0; I < 20; ++I)
    Estimator.recordFirstToken("small", 1, Tokens, 0, 0.05 + Real);
  BOOST_TEST(Estimator.estimateSeconds("small", 1, Tokens) > 0.5 * Real);
  BOOST_TEST(Estimator.estimateSeconds("small", 1, Tokens) < 1.5 * Real);
}

// Guards against callers that name ever more models.
BOOST_AUTO_TEST_CASE(are_kept_for_a_bounded_number_of_models) {
  prefill_estimator Estimator;
  for (size_t I = 0; I < 2 * prefill_estimator::MaxModels; ++I)
    Estimator.recordFirstToken(std::to_string(I), 1, 10000, 0, 9);
  BOOST_TEST(Estimator.modelCount() == prefill_estimator::MaxModels);
}

BOOST_AUTO_TEST_CASE(do_not_mistake_cached_tokens_for_a_fast_model) {
  prefill_estimator Estimator;
  double Before = Estimator.estimateSeconds("small", 1, 10000);
  double Rest = Estimator.estimateSeconds("small", 1, 10000, 8000);
  BOOST_TEST(Rest > 0.2 * Before);
  BOOST_TEST(Rest < 0.3 * Before);
  for (int I = 0; I < 20; ++I)
    Estimator.recordFirstToken("small", 1, 10000, 8000, 0.05 + Rest);
  BOOST_TEST(Estimator.estimateSeconds("small", 1, 10000) > 0.7 * Before);
  BOOST_TEST(Estimator.estimateSeconds("small", 1, 10000) < 1.4 * Before);
  // Too few tokens were prefilled for a measurement.
  Before = Estimator.estimateSeconds("small", 1, 10000);
  Estimator.recordFirstToken("small", 1, 10000, 9900, 9);
  Estimator.recordFirstToken("small", 1, 300, 20000, 9);
  BOOST_TEST(Estimator.estimateSeconds("small", 1, 10000) == Before);
  BOOST_TEST(Estimator.estimateSeconds("small", 1, 300, 20000) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(prefix_cache_tracking)

namespace {

constexpr uint64_t Home = 1;
constexpr uint64_t Elsewhere = 2;
const std::vector<prompt_block> Review = {{11, 2500}, {12, 3800}, {13, 2900}};

} // namespace

BOOST_AUTO_TEST_CASE(counts_only_prefixes_sent_to_the_upstream) {
  prefix_cache_model Caches;
  BOOST_TEST(Caches.cachedTokens(Home, Review) == 0U);
  Caches.addPrompt(Home, Review);
  BOOST_TEST(Caches.cachedTokens(Home, Review) == 9200U);
  BOOST_TEST(Caches.cachedTokens(Elsewhere, Review) == 0U);
  // Another session that shares the first block.
  BOOST_TEST(Caches.cachedTokens(Home, std::vector<prompt_block>{
                                           {11, 2500}, {22, 3800}}) == 2500U);
  // A cached block cannot be used unless all blocks before it are cached.
  BOOST_TEST(Caches.cachedTokens(
                 Home, std::vector<prompt_block>{{31, 100}, {12, 3800}}) == 0U);
  Caches.removeUpstream(Home);
  BOOST_TEST(Caches.cachedTokens(Home, Review) == 0U);
}

BOOST_AUTO_TEST_CASE(evicts_the_least_recently_used_blocks_when_full) {
  prefix_cache_model Caches;
  Caches.setCapacity(20000);
  Caches.addPrompt(Home, Review);
  for (uint64_t Key = 100; Key < 103; ++Key) {
    Caches.addPrompt(Home, std::vector<prompt_block>{{11, 2500}, {Key, 3000}});
  }
  // The shared prefix is requested all the time, the session's suffix is not.
  BOOST_TEST(Caches.cachedTokens(Home, Review) >= 2500U);
  BOOST_TEST(Caches.cachedTokens(Home, Review) < 9200U);
  // A single prompt larger than the capacity is still recorded.
  std::vector<prompt_block> Complete = {{55, 90000}};
  Caches.addPrompt(Home, Complete);
  BOOST_TEST(Caches.cachedTokens(Home, Complete) == 90000U);
  BOOST_TEST(Caches.cachedTokens(Home, Review) == 0U);
}

// Guards against callers that state very many blocks of no tokens.
BOOST_AUTO_TEST_CASE(keeps_few_blocks_however_small_they_are) {
  prefix_cache_model Caches;
  for (uint64_t Key = 0; Key < 300000; ++Key)
    Caches.addPrompt(Home,
                     std::vector<prompt_block>{{2 * Key, 0}, {2 * Key + 1, 1}});
  BOOST_TEST(Caches.blockCount(Home) == Caches.maxBlocks());
  for (uint64_t Upstream = 100; Upstream < 1100; ++Upstream)
    Caches.addPrompt(Upstream, Review);
  Caches.addPrompt(Home, Review);
  BOOST_TEST(Caches.blockCount(Home) == Caches.maxBlocks());
  BOOST_TEST(Caches.cachedTokens(Home, Review) == 9200U);
}

BOOST_AUTO_TEST_CASE(removes_blocks_that_may_not_have_been_prefilled) {
  prefix_cache_model Caches;
  Caches.addPrompt(Home, std::span(Review).first(1));
  Caches.addPrompt(Home, Review);
  Caches.removeBlocks(Home, std::span(Review).subspan(1));
  BOOST_TEST(Caches.cachedTokens(Home, Review) == 2500U);
  Caches.removeBlocks(Elsewhere, Review);
  Caches.removeBlocks(Home, Review);
  BOOST_TEST(Caches.cachedTokens(Home, Review) == 0U);
}

// Prompt work of a request with the given prefix-hash and token-count headers.
prompt_work workOfParts(const std::string &Parts, const std::string &Tokens) {
  gateway_state State;
  routing_table Routing{routing_config()};
  route_spec Route;
  http_head Head;
  Head.Lines = {{"X-Model", "small"},
                {"X-Token-Count", Tokens},
                {"X-Prefix-Hash", Parts}};
  platform::caller_facts Facts = platform::readCaller(Head);
  std::set<std::string> Tried;
  return promptWork(
      State, Routing,
      {.Service = "llm", .Route = Route, .Facts = Facts, .Tried = Tried});
}

BOOST_AUTO_TEST_CASE(keys_depend_on_all_preceding_blocks) {
  prompt_work Work = workOfParts("a:100,b:200,c:50", "350,20");
  BOOST_REQUIRE_EQUAL(Work.Blocks.size(), 3U);
  BOOST_TEST(Work.Prompt.SharedPrefixKey == Work.Blocks[1].Key);
  BOOST_TEST(Work.Prompt.SharedPrefillSeconds > 0);
  prompt_work Other = workOfParts("a:100,d:200,c:50", "350,20");
  BOOST_TEST(Work.Blocks[0].Key == Other.Blocks[0].Key);
  BOOST_TEST(Work.Blocks[1].Key != Other.Blocks[1].Key);
  BOOST_TEST(Work.Blocks[2].Key != Other.Blocks[2].Key);
}

BOOST_AUTO_TEST_CASE(ignores_invalid_prefix_headers) {
  std::string Many;
  for (int I = 0; I < 500; ++I)
    Many += (I ? ",1:1" : "1:1");
  for (const std::string &Parts : {"a:4294967295,b:4294967295"s, "a:100,b:300"s,
                                   Many, ""s, "a:-5,b:9"s, "zz"s})
    BOOST_TEST(workOfParts(Parts, "350,20").Blocks.empty(), Parts);
  BOOST_TEST(workOfParts("a:10", "").Blocks.empty());
  BOOST_TEST(workOfParts("a:10", "-3,x").Blocks.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(choice_of_a_model)

// An answer of the smallest of three models. The largest model costs 0.12 per
// 1,000 tokens; the upstreams are idle.
larger_model_input answerOf(request_size Size, double Confidence) {
  return {.ModelCount = 3,
          .Confidence = Confidence,
          .Size = Size,
          .LargestCost = 0.12,
          .LargestSeconds = 0.3};
}

constexpr request_size Appraisal{
    .InputTokens = 17000, .OutputTokens = 120, .Priority = 1};
constexpr request_size Summary{
    .InputTokens = 1460, .OutputTokens = 171, .Priority = 2};

bool asks(request_size Size, double Confidence,
          double OpportunityCostPerSecond = 0, bool InTime = true) {
  larger_model_input Answer = answerOf(Size, Confidence);
  Answer.OpportunityCostPerSecond = OpportunityCostPerSecond;
  Answer.InTime = InTime;
  return largerModel(Answer).has_value();
}

BOOST_AUTO_TEST_CASE(escalates_to_the_largest_at_low_confidence) {
  BOOST_TEST(firstModel(3) == 0U);
  for (request_size Size : {Appraisal, Summary}) {
    larger_model_input Answer = answerOf(Size, 0.2);
    BOOST_TEST(largerModel(Answer).value() == 2U);
    Answer.Confidence = 0.8;
    BOOST_TEST(!largerModel(Answer).has_value());
    Answer.Confidence = 0.2;
    Answer.ModelIndex = 2;
    BOOST_TEST(!largerModel(Answer).has_value());
  }
  BOOST_TEST(poorAnswerProbability(0) == 1);
  BOOST_TEST(poorAnswerProbability(1) == 0);
}

BOOST_AUTO_TEST_CASE(weighs_answer_utility_against_cost) {
  // A long prompt with a short answer justifies the largest model at medium
  // confidence: a poor answer is useless even if it is short.
  BOOST_TEST(asks(Appraisal, 0.55));
  BOOST_TEST(!asks(Appraisal, 0.65));
  BOOST_TEST(asks(Summary, 0.55));
  larger_model_input Expensive = answerOf(Appraisal, 0.55);
  Expensive.LargestCost = 0.5;
  BOOST_TEST(!largerModel(Expensive).has_value());
  // Less urgent requests have a lower utility.
  request_size Least = Appraisal;
  Least.Priority = 5;
  BOOST_TEST(!asks(Least, 0.55));
  BOOST_TEST(utilityOf(Appraisal) > utilityOf(Least));
}

BOOST_AUTO_TEST_CASE(escalates_less_while_requests_are_refused) {
  auto EscalatesWhile = [](double RefusalProbability, double Confidence) {
    larger_model_input Answer = answerOf(Appraisal, Confidence);
    Answer.RefusalProbability = RefusalProbability;
    return largerModel(Answer).has_value();
  };
  BOOST_TEST(EscalatesWhile(0, 0.55));
  BOOST_TEST(!EscalatesWhile(0.5, 0.55));
  BOOST_TEST(EscalatesWhile(0.5, 0.2));
  BOOST_TEST(!EscalatesWhile(1, 0));
}

BOOST_AUTO_TEST_CASE(escalates_less_while_prompts_queue) {
  constexpr double UtilityPerSecond = 15; // Utility per upstream second.
  constexpr double WorkSeconds = 1.65;
  double Short = opportunityCostPerSecond(UtilityPerSecond, 0.3, WorkSeconds);
  double Long = opportunityCostPerSecond(UtilityPerSecond, 8, WorkSeconds);
  BOOST_TEST(asks(Appraisal, 0.55, Short));
  BOOST_TEST(!asks(Appraisal, 0.55, Long));
  BOOST_TEST(!asks(Appraisal, 0.2, Long));
  BOOST_TEST(opportunityCostPerSecond(UtilityPerSecond, 100, WorkSeconds) ==
             UtilityPerSecond);
  BOOST_TEST(opportunityCostPerSecond(UtilityPerSecond, 1, 0) ==
             UtilityPerSecond);
  BOOST_TEST(opportunityCostPerSecond(0, 1, WorkSeconds) == 0);
  // An answer that would miss the latency target has little utility.
  BOOST_TEST(!asks(Appraisal, 0.5, 0, false));
  BOOST_TEST(asks(Appraisal, 0.2, 0, false));
}

// Guards against judging a backlog in absolute seconds: the same backlog is
// short where single requests take long.
BOOST_AUTO_TEST_CASE(scales_the_backlog_by_processing_times) {
  processing_time_stats Short;
  processing_time_stats Long;
  BOOST_TEST(Short.residualSeconds() == 0);
  for (int I = 0; I < 1000; ++I) {
    Short.add(0.2);
    Long.add(2);
  }
  BOOST_TEST(Short.residualSeconds() == 0.2,
             boost::test_tools::tolerance(1e-9));
  constexpr double UtilityPerSecond = 15;
  double CostOfShort =
      opportunityCostPerSecond(UtilityPerSecond, 1, Short.residualSeconds());
  double CostOfLong =
      opportunityCostPerSecond(UtilityPerSecond, 1, Long.residualSeconds());
  BOOST_TEST(!asks(Appraisal, 0.55, CostOfShort));
  BOOST_TEST(asks(Appraisal, 0.55, CostOfLong));
  BOOST_TEST_CONTEXT(
      "a few long requests among many short ones raise the residual time") {
    for (int I = 0; I < 20; ++I)
      Short.add(2);
    BOOST_TEST(Short.residualSeconds() > 1);
  }
}

BOOST_AUTO_TEST_CASE(tracks_utility_per_upstream_second) {
  utility_rate Rate;
  BOOST_TEST(Rate.perSecond() == 0);
  Rate.add(3, 0.5);
  BOOST_TEST(Rate.perSecond() == 6);
  for (int I = 0; I < 2000; ++I)
    Rate.add(1, 0.1);
  BOOST_TEST(std::abs(Rate.perSecond() - 10) < 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
