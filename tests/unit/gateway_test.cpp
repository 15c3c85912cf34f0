//===- gateway_test.cpp - The gateway's parts, without sockets ------------===//

#include "boost/test/unit_test.hpp"
#include "gateway/event_splitter.h"
#include "gateway/peer_work.h"
#include "gateway/selection.h"
#include "gateway/session_pins.h"
#include "gateway/software_versions.h"
#include "gateway/upstream_table.h"
#include "policy/model_choice.h"
#include "policy/prompt_memory.h"
#include "policy/prompt_pace.h"
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

BOOST_AUTO_TEST_CASE(are_passed_on_whole_wherever_the_bytes_are_cut) {
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

BOOST_AUTO_TEST_CASE(half_of_one_is_dropped_when_the_stream_goes_on_elsewhere) {
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

BOOST_AUTO_TEST_CASE(takes_the_least_loaded_and_the_own_data_hall_first) {
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

BOOST_AUTO_TEST_CASE(sends_a_shared_part_to_one_place_and_moves_few_later) {
  std::mt19937_64 Random(1);
  auto All = views({1, 1, 1, 1, 1, 1}, 0.3);
  auto Fewer = All;
  Fewer.pop_back();
  std::set<size_t> Used;
  for (uint64_t Key = 0; Key < 200; ++Key) {
    prompt_view Prompt{.PrefillSeconds = 0.3,
                       .SharedPrefillSeconds = 0.2,
                       .SharedPrefixKey = Key};
    size_t Place = *chooseEarliestFirstToken(All, Prompt, Random);
    BOOST_TEST(*chooseEarliestFirstToken(All, Prompt, Random) == Place);
    if (Place < Fewer.size())
      BOOST_TEST(*chooseEarliestFirstToken(Fewer, Prompt, Random) == Place);
    Used.insert(Place);
  }
  BOOST_TEST(Used.size() == All.size());
}

BOOST_AUTO_TEST_CASE(gives_a_shared_part_away_rather_than_let_it_wait) {
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
  Views[Home].Load = Views[Home].Slots; // Full.
  BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) != Home);
}

BOOST_AUTO_TEST_CASE(stays_in_the_own_data_hall_while_it_costs_little) {
  std::mt19937_64 Random(1);
  auto Views = views({1, 1, 1});
  Views[1].SameHall = true;
  prompt_view Prompt{.PrefillSeconds = 0.1};
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) == 1U);
  Views[1].PrefillSeconds = 0.2;
  BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) != 1U);
}

BOOST_AUTO_TEST_CASE(goes_where_the_prompt_is_kept_unless_that_waits_too_long) {
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
    puts_a_session_behind_a_beginning_that_all_keep_in_one_place) {
  std::mt19937_64 Random(1);
  auto Views = views({1, 1, 1, 1});
  // All keep the first level; none the second, which the key names.
  for (upstream_view &View : Views)
    View.UncachedPrefillSeconds = 0.2;
  prompt_view Prompt{.PrefillSeconds = 0.3,
                     .SharedPrefillSeconds = 0.25,
                     .SharedPrefixKey = 7};
  size_t Place = *chooseEarliestFirstToken(Views, Prompt, Random);
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(*chooseEarliestFirstToken(Views, Prompt, Random) == Place);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(work_of_prompts)

BOOST_AUTO_TEST_CASE(learns_the_pace_of_a_model_from_those_that_did_not_wait) {
  prefill_estimator Pace;
  constexpr uint32_t Tokens = 10000;
  BOOST_TEST(Pace.estimateSeconds("large", 10, Tokens) >
             5 * Pace.estimateSeconds("small", 1, Tokens));
  std::mt19937_64 Random(3);
  constexpr double Real = 0.4;
  for (int I = 0; I < 2000; ++I) {
    bool Waited = Random() % 10 < 7;
    Pace.recordFirstToken("large", 10, Tokens, 0,
                          0.05 + (Waited ? 5 * Real : Real));
  }
  BOOST_TEST(Pace.estimateSeconds("large", 10, Tokens) > 0.8 * Real);
  BOOST_TEST(Pace.estimateSeconds("large", 10, Tokens) < 1.3 * Real);
  // Reading takes longer than in proportion.
  BOOST_TEST(Pace.estimateSeconds("large", 10, 2 * Tokens) >
             2.1 * Pace.estimateSeconds("large", 10, Tokens));
}

BOOST_AUTO_TEST_CASE(learns_a_pace_far_from_the_first_guess_in_a_few_answers) {
  prefill_estimator Pace;
  constexpr uint32_t Tokens = 10000;
  double Real = 5 * Pace.estimateSeconds("small", 1, Tokens);
  for (int I = 0; I < 20; ++I)
    Pace.recordFirstToken("small", 1, Tokens, 0, 0.05 + Real);
  BOOST_TEST(Pace.estimateSeconds("small", 1, Tokens) > 0.5 * Real);
  BOOST_TEST(Pace.estimateSeconds("small", 1, Tokens) < 1.5 * Real);
}

BOOST_AUTO_TEST_CASE(takes_what_was_kept_for_no_sign_of_a_fast_model) {
  prefill_estimator Pace;
  double Before = Pace.estimateSeconds("small", 1, 10000);
  double Rest = Pace.estimateSeconds("small", 1, 10000, 8000);
  BOOST_TEST(Rest > 0.2 * Before);
  BOOST_TEST(Rest < 0.3 * Before);
  for (int I = 0; I < 20; ++I)
    Pace.recordFirstToken("small", 1, 10000, 8000, 0.05 + Rest);
  BOOST_TEST(Pace.estimateSeconds("small", 1, 10000) > 0.7 * Before);
  BOOST_TEST(Pace.estimateSeconds("small", 1, 10000) < 1.4 * Before);
  // Too little was read to tell.
  Before = Pace.estimateSeconds("small", 1, 10000);
  Pace.recordFirstToken("small", 1, 10000, 9900, 9);
  Pace.recordFirstToken("small", 1, 300, 20000, 9);
  BOOST_TEST(Pace.estimateSeconds("small", 1, 10000) == Before);
  BOOST_TEST(Pace.estimateSeconds("small", 1, 300, 20000) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(memory_of_prompts)

namespace {

constexpr uint64_t Home = 1;
constexpr uint64_t Elsewhere = 2;
const std::vector<prompt_block> Review = {{11, 2500}, {12, 3800}, {13, 2900}};

} // namespace

BOOST_AUTO_TEST_CASE(knows_what_was_sent_where) {
  prefix_cache_model Memory;
  BOOST_TEST(Memory.cachedTokens(Home, Review) == 0U);
  Memory.addPrompt(Home, Review);
  BOOST_TEST(Memory.cachedTokens(Home, Review) == 9200U);
  BOOST_TEST(Memory.cachedTokens(Elsewhere, Review) == 0U);
  // Another session of the same subject, and another subject.
  BOOST_TEST(Memory.cachedTokens(Home, std::vector<prompt_block>{
                                           {11, 2500}, {22, 3800}}) == 2500U);
  // A part is of no use without all before it.
  BOOST_TEST(Memory.cachedTokens(
                 Home, std::vector<prompt_block>{{31, 100}, {12, 3800}}) == 0U);
  Memory.removeUpstream(Home);
  BOOST_TEST(Memory.cachedTokens(Home, Review) == 0U);
}

BOOST_AUTO_TEST_CASE(gives_up_what_was_longest_unused_when_there_is_no_room) {
  prefix_cache_model Memory;
  Memory.setCapacity(20000);
  Memory.addPrompt(Home, Review);
  for (uint64_t Key = 100; Key < 103; ++Key) {
    Memory.addPrompt(Home, std::vector<prompt_block>{{11, 2500}, {Key, 3000}});
  }
  // The beginning is in use all the time, the session's part is not.
  BOOST_TEST(Memory.cachedTokens(Home, Review) >= 2500U);
  BOOST_TEST(Memory.cachedTokens(Home, Review) < 9200U);
  // One prompt that fills the memory is held all the same.
  std::vector<prompt_block> Whole = {{55, 90000}};
  Memory.addPrompt(Home, Whole);
  BOOST_TEST(Memory.cachedTokens(Home, Whole) == 90000U);
  BOOST_TEST(Memory.cachedTokens(Home, Review) == 0U);
}

BOOST_AUTO_TEST_CASE(takes_back_what_may_not_have_been_read) {
  prefix_cache_model Memory;
  Memory.addPrompt(Home, std::span(Review).first(1));
  Memory.addPrompt(Home, Review);
  Memory.removeBlocks(Home, std::span(Review).subspan(1));
  BOOST_TEST(Memory.cachedTokens(Home, Review) == 2500U);
  Memory.removeBlocks(Elsewhere, Review);
  Memory.removeBlocks(Home, Review);
  BOOST_TEST(Memory.cachedTokens(Home, Review) == 0U);
}

// A request as the platform's header names its parts.
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

BOOST_AUTO_TEST_CASE(is_named_by_all_parts_up_to_each) {
  prompt_work Work = workOfParts("a:100,b:200,c:50", "350,20");
  BOOST_REQUIRE_EQUAL(Work.Blocks.size(), 3U);
  BOOST_TEST(Work.Prompt.SharedPrefixKey == Work.Blocks[1].Key);
  BOOST_TEST(Work.Prompt.SharedPrefillSeconds > 0);
  prompt_work Other = workOfParts("a:100,d:200,c:50", "350,20");
  BOOST_TEST(Work.Blocks[0].Key == Other.Blocks[0].Key);
  BOOST_TEST(Work.Blocks[1].Key != Other.Blocks[1].Key);
  BOOST_TEST(Work.Blocks[2].Key != Other.Blocks[2].Key);
}

BOOST_AUTO_TEST_CASE(is_not_learnt_from_parts_that_cannot_be) {
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

// The largest model costs 0.12 for 1,000 tokens; upstreams are free.
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

BOOST_AUTO_TEST_CASE(asks_the_largest_when_the_smallest_doubts_itself) {
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

BOOST_AUTO_TEST_CASE(weighs_what_an_answer_is_worth_with_what_it_costs) {
  // A long prompt with a short answer is worth the largest model in doubt: an
  // answer that is poor is of no use however short it is.
  BOOST_TEST(asks(Appraisal, 0.55));
  BOOST_TEST(!asks(Appraisal, 0.65));
  BOOST_TEST(asks(Summary, 0.55));
  larger_model_input Dear = answerOf(Appraisal, 0.55);
  Dear.LargestCost = 0.5;
  BOOST_TEST(!largerModel(Dear).has_value());
  // Less urgent, worth less.
  request_size Least = Appraisal;
  Least.Priority = 5;
  BOOST_TEST(!asks(Least, 0.55));
  BOOST_TEST(utilityOf(Appraisal) > utilityOf(Least));
}

BOOST_AUTO_TEST_CASE(
    leaves_the_largest_to_those_in_most_doubt_when_others_are_refused) {
  auto AsksWhile = [](double RefusalProbability, double Confidence) {
    larger_model_input Answer = answerOf(Appraisal, Confidence);
    Answer.RefusalProbability = RefusalProbability;
    return largerModel(Answer).has_value();
  };
  BOOST_TEST(AsksWhile(0, 0.55));
  BOOST_TEST(!AsksWhile(0.5, 0.55));
  BOOST_TEST(AsksWhile(0.5, 0.2));
  BOOST_TEST(!AsksWhile(1, 0));
}

BOOST_AUTO_TEST_CASE(
    leaves_the_largest_to_those_in_most_doubt_when_prompts_wait) {
  constexpr double Earned = 15; // For a second of an upstream.
  constexpr double WorkSeconds = 1.65;
  double Short = opportunityCostPerSecond(Earned, 0.3, WorkSeconds);
  double Long = opportunityCostPerSecond(Earned, 8, WorkSeconds);
  BOOST_TEST(asks(Appraisal, 0.55, Short));
  BOOST_TEST(!asks(Appraisal, 0.55, Long));
  BOOST_TEST(!asks(Appraisal, 0.2, Long));
  BOOST_TEST(opportunityCostPerSecond(Earned, 100, WorkSeconds) == Earned);
  BOOST_TEST(opportunityCostPerSecond(Earned, 1, 0) == Earned);
  BOOST_TEST(opportunityCostPerSecond(0, 1, WorkSeconds) == 0);
  // What would come too late is worth little.
  BOOST_TEST(!asks(Appraisal, 0.5, 0, false));
  BOOST_TEST(asks(Appraisal, 0.2, 0, false));
}

// The same backlog is a short one where works are long.
BOOST_AUTO_TEST_CASE(measures_a_backlog_by_the_works_of_its_fleet) {
  processing_time_stats Short;
  processing_time_stats Long;
  BOOST_TEST(Short.residualSeconds() == 0);
  for (int I = 0; I < 1000; ++I) {
    Short.add(0.2);
    Long.add(2);
  }
  BOOST_TEST(Short.residualSeconds() == 0.2,
             boost::test_tools::tolerance(1e-9));
  constexpr double Earned = 15;
  double OfShort = opportunityCostPerSecond(Earned, 1, Short.residualSeconds());
  double OfLong = opportunityCostPerSecond(Earned, 1, Long.residualSeconds());
  BOOST_TEST(!asks(Appraisal, 0.55, OfShort));
  BOOST_TEST(asks(Appraisal, 0.55, OfLong));
  BOOST_TEST_CONTEXT("one long work among many short ones counts") {
    for (int I = 0; I < 20; ++I)
      Short.add(2);
    BOOST_TEST(Short.residualSeconds() > 1);
  }
}

BOOST_AUTO_TEST_CASE(learns_what_a_second_of_an_upstream_earns) {
  utility_rate Earnings;
  BOOST_TEST(Earnings.perSecond() == 0);
  Earnings.add(3, 0.5);
  BOOST_TEST(Earnings.perSecond() == 6);
  for (int I = 0; I < 2000; ++I)
    Earnings.add(1, 0.1);
  BOOST_TEST(std::abs(Earnings.perSecond() - 10) < 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(work_of_other_gateways)

namespace {

wire::work_news newsOf(uint64_t Gateway, uint64_t Sequence,
                       bool Whole = false) {
  wire::work_news News;
  News.set_gateway(Gateway);
  News.set_sequence(Sequence);
  News.set_whole(Whole);
  return News;
}

void add(wire::work_news &News, uint64_t Upstream, uint32_t PromptMs,
         uint32_t InFlight) {
  wire::upstream_work *Work = News.add_works();
  Work->set_upstream(Upstream);
  Work->set_prompt_ms(PromptMs);
  Work->set_in_flight(InFlight);
}

} // namespace

BOOST_AUTO_TEST_CASE(adds_up_and_the_last_news_of_each_counts) {
  peer_work_totals Others;
  auto First = newsOf(1, 1);
  add(First, 7, 300, 2);
  add(First, 8, 0, 1);
  auto Second = newsOf(2, 5);
  add(Second, 7, 200, 1);
  Others.update(First, 0);
  Others.update(Second, 0);
  BOOST_TEST(Others.at(7).InFlight == 3U);
  BOOST_TEST(std::abs(Others.at(7).PrefillSeconds - 0.5) < 1e-9);
  auto Later = newsOf(1, 2);
  add(Later, 7, 0, 1);
  Others.update(Later, 1);
  Others.update(First, 1); // Overtaken on its way.
  BOOST_TEST(Others.at(7).InFlight == 2U);
  BOOST_TEST(Others.at(8).InFlight == 1U);
  BOOST_TEST(Others.at(9).InFlight == 0U);
}

BOOST_AUTO_TEST_CASE(lost_news_are_made_good_by_the_next_whole_ones) {
  peer_work_totals Others;
  auto First = newsOf(1, 1);
  add(First, 7, 300, 2);
  Others.update(First, 0);
  auto Whole = newsOf(1, 3, true);
  add(Whole, 8, 100, 1);
  Others.update(Whole, 1);
  BOOST_TEST(Others.at(7).InFlight == 0U);
  BOOST_TEST(Others.at(8).InFlight == 1U);
}

BOOST_AUTO_TEST_CASE(of_a_silent_gateway_is_forgotten) {
  peer_work_totals Others;
  auto First = newsOf(1, 1);
  add(First, 7, 300, 2);
  Others.update(First, 0);
  auto Second = newsOf(2, 1);
  add(Second, 7, 100, 1);
  Others.update(Second, 4);
  Others.forgetSilent(4.5);
  BOOST_TEST(Others.gateways() == 1U);
  BOOST_TEST(Others.at(7).InFlight == 1U);
  BOOST_TEST(std::abs(Others.at(7).PrefillSeconds - 0.1) < 1e-9);
}

// What an upstream tells one gateway the others know a moment later.
BOOST_AUTO_TEST_CASE(tells_loads_that_upstreams_told) {
  struct ev_loop *Loop = ev_loop_new(0);
  upstream_table Table;
  Table.update({listed("i-1"), listed("i-2")}, 0);
  const upstream &Full = *Table.all().at("i-1");
  {
    peer_work Tells(Loop, Table, {.Incarnation = 1, .Address = "127.0.0.1:0"});
    peer_work Hears(Loop, Table, {.Incarnation = 2, .Address = "127.0.0.1:0"});
    BOOST_REQUIRE(Tells.bind());
    BOOST_REQUIRE(Hears.bind());
    Tells.setGateways({Hears.address()});
    Hears.setGateways({Tells.address()});
    BOOST_TEST(Tells.receivesFromAll(2));
    BOOST_TEST(!Tells.receivesFromAll(3));
    std::map<uint64_t, uint32_t> Heard;
    Hears.OnLoad = [&](uint64_t Place, uint32_t Load) { Heard[Place] = Load; };
    Tells.reportLoad(Full, 0);
    Tells.reportLoad(Full, 48);
    while (Heard.empty())
      ev_run(Loop, EVRUN_ONCE);
    BOOST_TEST(Heard.size() == 1U);
    BOOST_TEST(Heard[Full.Key] == 48U);
    // And that it has ended, once.
    std::vector<uint64_t> Ended;
    Hears.OnCrash = [&](uint64_t Place) { Ended.push_back(Place); };
    Heard.clear();
    Tells.reportCrash(Full);
    while (Ended.empty())
      ev_run(Loop, EVRUN_ONCE);
    Tells.reportLoad(Full, 1);
    while (Heard.empty())
      ev_run(Loop, EVRUN_ONCE);
    BOOST_TEST(Ended == std::vector<uint64_t>{Full.Key},
               boost::test_tools::per_element());
  }
  ev_loop_destroy(Loop);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(table_of_upstreams)

BOOST_AUTO_TEST_CASE(
    keeps_what_it_knows_of_an_incarnation_and_names_those_gone) {
  upstream_table Table;
  Table.update({listed("i-1"), listed("i-2")}, 0);
  auto First = Table.all().at("i-1");
  First->InFlight = 3;
  auto Left = Table.update({listed("i-1"), listed("i-3")}, 0);
  BOOST_REQUIRE(Left.size() == 1U);
  BOOST_TEST(Left[0]->Gone);
  BOOST_TEST(!Left[0]->acceptsRequests(0));
  BOOST_TEST(Table.all().at("i-1")->InFlight == 3U);
  // Every gateway has the upstreams in the same order.
  upstream_table Other;
  Other.update({listed("i-3"), listed("i-1")}, 0);
  for (size_t I = 0; I < 2; ++I)
    BOOST_TEST(Other.ofService("llm")[I]->Listed.Id ==
               Table.ofService("llm")[I]->Listed.Id);
}

// Each gateway that had to find out for itself which upstreams have ended sent
// a request to each of them.
BOOST_AUTO_TEST_CASE(passes_over_what_another_gateway_says_has_ended) {
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
  BOOST_TEST(!Table.presumeCrashed(12345, 30)); // Of another list.

  // Whoever says it of all is wrong, or no better is to be had.
  for (const auto &Each : Table.ofService("llm"))
    Table.presumeCrashed(Each->Key, 40);
  auto Suspects = std::count_if(
      Table.ofService("llm").begin(), Table.ofService("llm").end(),
      [](const auto &Each) { return Each->suspect(41); });
  BOOST_TEST(Suspects == 3);
}

// An upstream may start again under its id. It holds nothing of before then,
// and what comes late of the start before must not count for it.
BOOST_AUTO_TEST_CASE(knows_nothing_of_one_that_has_started_again) {
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
  // No start told, or the same: it is the same.
  BOOST_TEST(Table.update({Started(0)}, 0).empty());
  BOOST_TEST(Table.update({Started(1000)}, 0).empty());
  BOOST_TEST((Table.all().at("i-1") == First));

  auto Left = Table.update({Started(2000)}, 0);
  BOOST_REQUIRE(Left.size() == 1U);
  BOOST_TEST((Left[0] == First));
  BOOST_TEST(First->Gone);
  auto Second = Table.all().at("i-1");
  BOOST_TEST(Second->acceptsRequests(0));
  BOOST_TEST(!Second->unrecovered(0.1));
  BOOST_TEST(Second->load(0.1) == 0);
  // Memory and told work go by the place.
  BOOST_TEST(Second->Key != First->Key);
  BOOST_TEST(Table.has(Second->Key));
  BOOST_TEST(!Table.has(First->Key));

  // A list from before changes nothing back, also where it says that it leaves.
  BOOST_TEST(Table.update({Started(1000, true)}, 0).empty());
  BOOST_TEST((Table.all().at("i-1") == Second));
  BOOST_TEST(Second->acceptsRequests(0));
  // Gateways that hear of it first now agree on its place.
  upstream_table Other;
  Other.update({Started(2000)}, 0);
  BOOST_TEST(Other.all().at("i-1")->Key == Second->Key);
}

BOOST_AUTO_TEST_CASE(keeps_work_from_those_that_rest_until_their_time_is_over) {
  upstream_table Table;
  Table.update({listed("i-1"), listed("i-2")}, 0);
  auto First = Table.all().at("i-1");
  const std::string &Service = First->Listed.Service;
  First->backOff(3, 10);
  First->backOff(1, 11); // The longer one holds.
  BOOST_TEST(!First->acceptsRequests(12.9));
  BOOST_TEST(First->acceptsRequests(13));
  BOOST_TEST_CONTEXT("and does not take them for failed") {
    BOOST_TEST(!First->suspect(11));
    BOOST_TEST(!First->unrecovered(11));
  }
  BOOST_TEST_CONTEXT("nor loses them to an absurd time") {
    First->backOff(31536000, 20);
    BOOST_TEST(!First->acceptsRequests(21));
    BOOST_TEST(First->acceptsRequests(20 + 60));
  }
  BOOST_TEST_CONTEXT("and knows when the first takes work again") {
    BOOST_TEST(Table.soonestBackoffEnd(Service, 30) == 0);
    auto Second = Table.all().at("i-2");
    Second->backOff(5, 30);
    BOOST_TEST(Table.soonestBackoffEnd(Service, 31) == 4);
    Second->markLeaving();
    BOOST_TEST(Table.soonestBackoffEnd(Service, 31) == 49);
    First->markLeaving();
    BOOST_TEST(Table.soonestBackoffEnd(Service, 31) == 0);
  }
  BOOST_TEST_CONTEXT("also those that a later list names again") {
    Table.update({listed("i-1"), listed("i-2")}, 0);
    BOOST_TEST(Table.all().at("i-1")->leaving());
  }
}

BOOST_AUTO_TEST_CASE(corrects_a_told_load_by_its_own_requests_since) {
  upstream Upstream;
  Upstream.InFlight = 2;
  BOOST_TEST(Upstream.load(10) == 2);
  Upstream.recordLoad(7, 10);
  BOOST_TEST(Upstream.load(10.1) == 7);
  Upstream.InFlight = 4;
  BOOST_TEST(Upstream.load(10.1) == 9);
  BOOST_TEST(Upstream.load(20) == 4);
  // Of the requests that it told, those of gateways that are heard of count
  // once.
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

BOOST_AUTO_TEST_CASE(pauses_one_that_fails_longer_each_time) {
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

BOOST_AUTO_TEST_SUITE(software)

BOOST_AUTO_TEST_CASE(of_a_session_stays_while_a_version_is_tried) {
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

BOOST_AUTO_TEST_CASE(moves_over_when_sound_and_gets_nothing_when_given_up) {
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

BOOST_AUTO_TEST_CASE(tallies_are_told_by_version) {
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

BOOST_AUTO_TEST_CASE(a_session_is_forgotten_some_time_after_its_last_request) {
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

BOOST_AUTO_TEST_CASE(
    sessions_that_must_stay_are_told_once_and_forgotten_later) {
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

BOOST_AUTO_TEST_SUITE_END()
