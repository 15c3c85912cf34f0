//===- gateway_test.cpp - The gateway's parts, without sockets ------------===//

#include "boost/test/unit_test.hpp"
#include "gateway/event_splitter.h"
#include "gateway/peer_work.h"
#include "gateway/selection.h"
#include "gateway/session_pins.h"
#include "gateway/software_versions.h"
#include "gateway/upstream_table.h"
#include "policy/list_poll.h"
#include "policy/model_choice.h"
#include "policy/prefill_estimator.h"
#include "policy/prefix_cache_model.h"
#include "policy/upstream_choice.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <set>

using namespace olivevalve;
using namespace std::string_literals;

namespace {

platform::listed_upstream listed(const std::string &Id,
                                 const std::string &Version = "v1") {
  return {.Id = Id,
          .Service = "llm",
          .Address = "127.0.0.1:1",
          .DataHall = "lac",
          .Version = Version,
          .Slots = 8};
}

wire::notice noticeOf(wire::rollout_stage Stage) {
  wire::notice Notice;
  wire::rollout *Rollout = Notice.add_rollouts();
  Rollout->set_service("llm");
  Rollout->set_target_version("v2");
  Rollout->set_stage(Stage);
  return Notice;
}

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

BOOST_AUTO_TEST_SUITE(events)

BOOST_AUTO_TEST_CASE(are_forwarded_complete_wherever_the_bytes_are_cut) {
  std::string Stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                       ": note\n\nid:3\ndata: c\n\n";
  for (size_t Cut = 0; Cut <= Stream.size(); ++Cut) {
    event_splitter Splitter;
    std::string Out = Splitter.take(Stream.substr(0, Cut));
    BOOST_TEST((Out.empty() || Out.ends_with("\n")));
    Out += Splitter.take(Stream.substr(Cut));
    BOOST_TEST(Out == Stream);
    BOOST_TEST(Splitter.lastId() == "3");
  }
}

BOOST_AUTO_TEST_CASE(
    partial_event_is_dropped_when_the_stream_resumes_elsewhere) {
  event_splitter Splitter;
  BOOST_TEST(Splitter.take("id: 1\ndata: a\n\nid: 2\ndata: b") ==
             "id: 1\ndata: a\n\n");
  BOOST_TEST(Splitter.lastId() == "1");
  Splitter.restart();
  BOOST_TEST(Splitter.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(Splitter.lastId() == "2");
}

BOOST_AUTO_TEST_SUITE_END()

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

BOOST_AUTO_TEST_SUITE(peer_gateway_work)

namespace {

wire::work_news workReport(uint64_t Gateway, uint64_t Sequence,
                           bool Complete = false) {
  wire::work_news Report;
  Report.set_gateway(Gateway);
  Report.set_sequence(Sequence);
  Report.set_whole(Complete);
  return Report;
}

void addWork(wire::work_news &Report, uint64_t Upstream, uint32_t PromptMs,
             uint32_t InFlight) {
  wire::upstream_work *Work = Report.add_works();
  Work->set_upstream(Upstream);
  Work->set_prompt_ms(PromptMs);
  Work->set_in_flight(InFlight);
}

} // namespace

BOOST_AUTO_TEST_CASE(sums_the_latest_report_of_each_gateway) {
  peer_work_totals Totals;
  auto First = workReport(1, 1);
  addWork(First, 7, 300, 2);
  addWork(First, 8, 0, 1);
  auto Second = workReport(2, 5);
  addWork(Second, 7, 200, 1);
  Totals.update(First, 0);
  Totals.update(Second, 0);
  BOOST_TEST(Totals.at(7).InFlight == 3U);
  BOOST_TEST(std::abs(Totals.at(7).PrefillSeconds - 0.5) < 1e-9);
  auto Later = workReport(1, 2);
  addWork(Later, 7, 0, 1);
  Totals.update(Later, 1);
  Totals.update(First, 1); // Arrives out of order.
  BOOST_TEST(Totals.at(7).InFlight == 2U);
  BOOST_TEST(Totals.at(8).InFlight == 1U);
  BOOST_TEST(Totals.at(9).InFlight == 0U);
}

BOOST_AUTO_TEST_CASE(is_repaired_by_a_full_report_after_a_lost_one) {
  peer_work_totals Totals;
  auto First = workReport(1, 1);
  addWork(First, 7, 300, 2);
  Totals.update(First, 0);
  auto Complete = workReport(1, 3, true);
  addWork(Complete, 8, 100, 1);
  Totals.update(Complete, 1);
  BOOST_TEST(Totals.at(7).InFlight == 0U);
  BOOST_TEST(Totals.at(8).InFlight == 1U);
}

BOOST_AUTO_TEST_CASE(is_dropped_when_its_gateway_falls_silent) {
  peer_work_totals Totals;
  auto First = workReport(1, 1);
  addWork(First, 7, 300, 2);
  Totals.update(First, 0);
  auto Second = workReport(2, 1);
  addWork(Second, 7, 100, 1);
  Totals.update(Second, 4);
  Totals.forgetSilent(4.5);
  BOOST_TEST(Totals.gateways() == 1U);
  BOOST_TEST(Totals.at(7).InFlight == 1U);
  BOOST_TEST(std::abs(Totals.at(7).PrefillSeconds - 0.1) < 1e-9);
}

// Guards against gateways that ignore load and crash reports of their peers: an
// upstream reports its load to one gateway, which forwards it to the others.
BOOST_AUTO_TEST_CASE(forwards_reported_loads_and_crashes) {
  struct ev_loop *Loop = ev_loop_new(0);
  upstream_table Table;
  Table.update({listed("i-1"), listed("i-2")}, 0);
  const upstream &Full = *Table.all().at("i-1");
  {
    peer_work Sender(Loop, Table, {.Incarnation = 1, .Address = "127.0.0.1:0"});
    peer_work Receiver(Loop, Table,
                       {.Incarnation = 2, .Address = "127.0.0.1:0"});
    BOOST_REQUIRE(Sender.bind());
    BOOST_REQUIRE(Receiver.bind());
    Sender.setGateways({Receiver.address()});
    Receiver.setGateways({Sender.address()});
    BOOST_TEST(Sender.receivesFromAll(2));
    BOOST_TEST(!Sender.receivesFromAll(3));
    std::map<uint64_t, uint32_t> ReceivedLoads;
    Receiver.OnLoad = [&](uint64_t Key, uint32_t Load) {
      ReceivedLoads[Key] = Load;
    };
    Sender.reportLoad(Full, 0);
    Sender.reportLoad(Full, 48);
    while (ReceivedLoads.empty())
      ev_run(Loop, EVRUN_ONCE);
    BOOST_TEST(ReceivedLoads.size() == 1U);
    BOOST_TEST(ReceivedLoads[Full.Key] == 48U);
    // A crash is forwarded too, exactly once.
    std::vector<uint64_t> ReportedCrashes;
    Receiver.OnCrash = [&](uint64_t Key) { ReportedCrashes.push_back(Key); };
    ReceivedLoads.clear();
    Sender.reportCrash(Full);
    while (ReportedCrashes.empty())
      ev_run(Loop, EVRUN_ONCE);
    Sender.reportLoad(Full, 1);
    while (ReceivedLoads.empty())
      ev_run(Loop, EVRUN_ONCE);
    BOOST_TEST(ReportedCrashes == std::vector<uint64_t>{Full.Key},
               boost::test_tools::per_element());
  }
  ev_loop_destroy(Loop);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(table_of_upstreams)

BOOST_AUTO_TEST_CASE(
    keeps_counters_across_updates_and_returns_removed_upstreams) {
  upstream_table Table;
  Table.update({listed("i-1"), listed("i-2")}, 0);
  auto First = Table.all().at("i-1");
  First->InFlight = 3;
  auto Removed = Table.update({listed("i-1"), listed("i-3")}, 0);
  BOOST_REQUIRE(Removed.size() == 1U);
  BOOST_TEST(Removed[0]->Gone);
  BOOST_TEST(!Removed[0]->acceptsRequests(0));
  BOOST_TEST(Table.all().at("i-1")->InFlight == 3U);
  // All gateways order the upstreams equally, whatever the order of the list.
  upstream_table Other;
  Other.update({listed("i-3"), listed("i-1")}, 0);
  for (size_t I = 0; I < 2; ++I)
    BOOST_TEST(Other.ofService("llm")[I]->Listed.Id ==
               Table.ofService("llm")[I]->Listed.Id);
}

// Guards against every gateway losing a request to each crashed upstream:
// without reports from its peers, a gateway notices a crash only by its own
// failed request.
BOOST_AUTO_TEST_CASE(avoids_upstreams_that_peers_report_crashed) {
  upstream_table Table;
  std::vector<platform::listed_upstream> Listed;
  for (int I = 0; I < 6; ++I)
    Listed.push_back(listed("i-" + std::to_string(I)));
  Table.update(Listed, 0);
  auto First = Table.all().at("i-0");
  BOOST_TEST(Table.presumeCrashed(First->Key, 10));
  BOOST_TEST(First->suspect(10.5));
  BOOST_TEST(First->acceptsRequests(0));
  BOOST_TEST(!First->suspect(20));
  BOOST_TEST(Table.presumeCrashed(First->Key, 20));
  First->recordResponse();
  BOOST_TEST(!First->suspect(20.1));
  BOOST_TEST(!Table.presumeCrashed(12345, 30)); // Unknown key.

  // At most half of the upstreams may be suspects: a report that all crashed is
  // wrong, or leaves no better choice.
  for (const auto &Each : Table.ofService("llm"))
    Table.presumeCrashed(Each->Key, 40);
  auto Suspects = std::count_if(
      Table.ofService("llm").begin(), Table.ofService("llm").end(),
      [](const auto &Each) { return Each->suspect(41); });
  BOOST_TEST(Suspects == 3);
}

// Guards against state carried over to a restarted upstream: it keeps its id
// but has lost its cache and its requests, and late reports about the previous
// incarnation must not apply to it.
BOOST_AUTO_TEST_CASE(resets_state_when_an_upstream_restarts) {
  auto Started = [](uint64_t StartedMs, bool Leaving = false) {
    platform::listed_upstream Listed = listed("i-1");
    Listed.StartedMs = StartedMs;
    Listed.Leaving = Leaving;
    return Listed;
  };
  upstream_table Table;
  Table.update({Started(1000)}, 0);
  auto First = Table.all().at("i-1");
  First->recordFailure(0);
  First->recordLoad(7, 0);
  // With no start time, or the same one, it is the same incarnation.
  BOOST_TEST(Table.update({Started(0)}, 0).empty());
  BOOST_TEST(Table.update({Started(1000)}, 0).empty());
  BOOST_TEST((Table.all().at("i-1") == First));

  auto Removed = Table.update({Started(2000)}, 0);
  BOOST_REQUIRE(Removed.size() == 1U);
  BOOST_TEST((Removed[0] == First));
  BOOST_TEST(First->Gone);
  auto Second = Table.all().at("i-1");
  BOOST_TEST(Second->acceptsRequests(0));
  BOOST_TEST(!Second->unrecovered(0.1));
  BOOST_TEST(Second->load(0.1) == 0);
  // The prefix cache model and the reported work are stored by the key of the
  // incarnation, so the new incarnation needs a different key.
  BOOST_TEST(Second->Key != First->Key);
  BOOST_TEST(Table.has(Second->Key));
  BOOST_TEST(!Table.has(First->Key));

  // A stale list does not restore the previous incarnation, nor does its
  // leaving flag apply to the new one.
  BOOST_TEST(Table.update({Started(1000, true)}, 0).empty());
  BOOST_TEST((Table.all().at("i-1") == Second));
  BOOST_TEST(Second->acceptsRequests(0));
  // A gateway that first sees the upstream now computes the same key.
  upstream_table Other;
  Other.update({Started(2000)}, 0);
  BOOST_TEST(Other.all().at("i-1")->Key == Second->Key);
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_upstreams_in_backoff) {
  gateway_state State;
  State.Routing = std::make_shared<const routing_table>(routing_config());
  upstream_table &Table = State.Upstreams;
  Table.update({listed("i-1"), listed("i-2")}, 0);
  auto First = Table.all().at("i-1");
  const std::string &Service = First->Listed.Service;
  First->backOff(3, 10);
  First->backOff(1, 11); // The longer backoff wins.
  BOOST_TEST(!First->acceptsRequests(12.9));
  BOOST_TEST(First->acceptsRequests(13));
  BOOST_TEST_CONTEXT("backoff does not count as a failure") {
    BOOST_TEST(!First->suspect(11));
    BOOST_TEST(!First->unrecovered(11));
  }
  BOOST_TEST_CONTEXT("an excessive Retry-After is capped") {
    First->backOff(31536000, 20);
    BOOST_TEST(!First->acceptsRequests(21));
    BOOST_TEST(First->acceptsRequests(20 + 60));
  }
  BOOST_TEST_CONTEXT("the soonest end of a backoff is known") {
    BOOST_TEST(reopeningOf(State, Service, 30).Seconds == 0);
    auto Second = Table.all().at("i-2");
    Second->backOff(5, 30);
    BOOST_TEST(reopeningOf(State, Service, 31).Seconds == 4);
    Second->markLeaving();
    BOOST_TEST(reopeningOf(State, Service, 31).Seconds == 49);
    First->markLeaving();
    BOOST_TEST(reopeningOf(State, Service, 31).Seconds == 0);
  }
  BOOST_TEST_CONTEXT("a leaving upstream stays so when a later list names it") {
    Table.update({listed("i-1"), listed("i-2")}, 0);
    BOOST_TEST(Table.all().at("i-1")->leaving());
  }
}

BOOST_AUTO_TEST_CASE(adjusts_reported_load_by_own_requests_since) {
  upstream Upstream;
  Upstream.InFlight = 2;
  BOOST_TEST(Upstream.load(10) == 2);
  Upstream.recordLoad(7, 10);
  BOOST_TEST(Upstream.load(10.1) == 7);
  Upstream.InFlight = 4;
  BOOST_TEST(Upstream.load(10.1) == 9);
  BOOST_TEST(Upstream.load(20) == 4);
  // Requests of peer gateways that the reported load already includes are not
  // counted twice.
  Upstream.recordLoad(12, 30, 5);
  BOOST_TEST(Upstream.load(30.1, 5) == 12);
  BOOST_TEST(Upstream.load(30.1, 7) == 14);
  BOOST_TEST(Upstream.load(30.1, 1) == 8);
  Upstream.recordLoad(4000000000U, 40, 0);
  BOOST_TEST(Upstream.load(40.1) < 100);
  Upstream.recordLoad(12, 30, 5);
  BOOST_TEST(Upstream.hasFreshLoad(31));
  BOOST_TEST(!Upstream.hasFreshLoad(33));
}

BOOST_AUTO_TEST_CASE(suspects_a_failing_upstream_longer_each_time) {
  upstream Upstream;
  Upstream.recordFailure(0);
  BOOST_TEST(Upstream.suspect(0.4));
  BOOST_TEST(!Upstream.suspect(0.6));
  Upstream.recordFailure(1);
  BOOST_TEST(Upstream.suspect(1.9));
  Upstream.recordResponse();
  Upstream.recordFailure(3);
  BOOST_TEST(!Upstream.suspect(3.6));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(versions_during_a_rollout)

BOOST_AUTO_TEST_CASE(of_a_session_is_kept_during_a_canary) {
  upstream_table Upstreams;
  Upstreams.update({listed("i-1"), listed("i-2", "v2")}, 0);
  software_versions Versions;
  Versions.apply(noticeOf(wire::CANARY), Upstreams);
  BOOST_TEST(Upstreams.stableVersion("llm") == "v1");
  int Tried = 0;
  for (uint64_t Draw = 0; Draw < 1'000'000; Draw += 997) {
    BOOST_TEST(Versions.versionFor("llm", "v1", "v1", Draw) == "v1");
    BOOST_TEST(Versions.versionFor("llm", "v1", "v2", Draw) == "v2");
    Tried += Versions.versionFor("llm", "v1", "", Draw) == "v2";
  }
  BOOST_TEST(Tried > 40);
  BOOST_TEST(Tried < 80);
}

BOOST_AUTO_TEST_CASE(moves_sessions_after_shift_and_back_after_revert) {
  upstream_table Upstreams;
  Upstreams.update({listed("i-1"), listed("i-2", "v2")}, 0);
  software_versions Versions;
  Versions.apply(noticeOf(wire::SHIFT), Upstreams);
  BOOST_TEST(Versions.versionFor("llm", "v1", "v1", 1) == "v2");
  Versions.apply(noticeOf(wire::COMPLETED), Upstreams);
  BOOST_TEST(Upstreams.stableVersion("llm") == "v2");
  Versions.apply(noticeOf(wire::REVERTED), Upstreams);
  BOOST_TEST(Upstreams.stableVersion("llm") == "v1");
  BOOST_TEST(Versions.versionFor("llm", "v1", "v2", 1) == "v1");
  BOOST_TEST(Versions.revertedVersion("llm") == "v2");
}

BOOST_AUTO_TEST_CASE(tallies_are_reported_per_version) {
  software_versions Versions;
  Versions.count("llm", "v1", false, 0.5);
  Versions.count("llm", "v1", true, 1);
  Versions.count("llm", "v2", false, 2);
  wire::watch Watch;
  Versions.fillTallies(Watch);
  BOOST_REQUIRE(Watch.tallies_size() == 2);
  BOOST_TEST(Watch.tallies(0).answers() == 2U);
  BOOST_TEST(Watch.tallies(0).failures() == 1U);
  BOOST_TEST(Watch.tallies(0).seconds() == 1.5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_session_pin_expires_after_its_lifetime) {
  session_pins Pins;
  Pins.setLifetime(10);
  Pins.touch("llm", "s", {.Version = "v1"});
  BOOST_REQUIRE(Pins.find("llm", "s", 9));
  BOOST_TEST(Pins.find("llm", "s", 9)->Version == "v1");
  BOOST_TEST(!Pins.find("ledger", "s", 9));
  BOOST_TEST(!Pins.find("llm", "s", 11));
  Pins.forgetOld(11);
  BOOST_TEST(Pins.size() == 0U);
}

BOOST_AUTO_TEST_CASE(stable_pins_are_reported_once_and_expire) {
  session_pins Pins;
  Pins.setLifetime(10);
  Pins.pinToStable(7, 0);
  Pins.pinToStable(7, 1);
  Pins.applyStablePin(8, 1);
  BOOST_TEST(Pins.takeUnreportedPins().size() == 1U);
  BOOST_TEST(Pins.takeUnreportedPins().empty());
  BOOST_TEST(Pins.isPinnedToStable(7, 10.5));
  BOOST_TEST(Pins.isPinnedToStable(8, 10.5));
  BOOST_TEST(!Pins.isPinnedToStable(7, 12));
  BOOST_TEST(!Pins.isPinnedToStable(9, 1));
}

// Guards against a flood of calls when control's leader is lost: with 386
// gateways and four pages, 1,544 calls reached the platform at once, which
// takes 130 a second, while control needed the list most.
BOOST_AUTO_TEST_CASE(polls_of_the_list_are_spread_by_the_size_of_the_fleet) {
  struct spread_case {
    uint32_t Gateways;
    size_t Upstreams;
    double CallsPerSecond; ///< That the platform takes.
    double EntriesPerPage;
  };
  const spread_case Cases[] = {{3, 21, 40, 50},
                               {32, 60, 40, 50},
                               {386, 620, 130, 200},
                               {772, 1240, 130, 200},
                               {1000, 1000, 130, 200}};
  for (const spread_case &Case : Cases)
    BOOST_TEST_CONTEXT(Case.Gateways << " gateways") {
      double Spread =
          std::max(0.4, listPollSpread(Case.Gateways, Case.Upstreams));
      double Calls = Case.Gateways *
                     std::ceil(double(Case.Upstreams) / Case.EntriesPerPage);
      BOOST_TEST(Calls / Spread <= Case.CallsPerSecond);
      BOOST_TEST(Spread <= 60);
    }
  BOOST_TEST(listPollSpread(0, 620) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
