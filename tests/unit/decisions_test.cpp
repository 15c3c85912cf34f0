//===- decisions_test.cpp - Queues, limits and choices of an entry --------===//

#include "base/digest.h"
#include "boost/test/unit_test.hpp"
#include "entry/answer_text.h"
#include "entry/chat_request.h"
#include "policy/limits.h"
#include "policy/replica_choice.h"
#include "policy/subset.h"
#include "policy/version_choice.h"
#include "policy/work_queue.h"
#include <map>
#include <random>
#include <set>

using namespace olivevalve;

BOOST_AUTO_TEST_SUITE(decisions)

BOOST_AUTO_TEST_CASE(a_full_queue_sheds_the_lowest_priority) {
  work_queue Queue(3);
  BOOST_TEST(!Queue.push({1, 2, 0, 100}));
  BOOST_TEST(!Queue.push({2, 1, 0, 100}));
  BOOST_TEST(!Queue.push({3, 2, 0, 1}));
  BOOST_TEST(*Queue.push({4, 3, 0, 100}) == 4U);
  BOOST_TEST(*Queue.push({5, 0, 0, 100}) == 3U);
  BOOST_TEST(Queue.pop(10)->Ticket == 5U);
  BOOST_TEST(Queue.pop(10)->Ticket == 2U);
  BOOST_TEST(Queue.remove(1));
  BOOST_TEST(!Queue.pop(10));
}

BOOST_AUTO_TEST_CASE(limits_admit_no_more_than_configured) {
  rate_limit Rate;
  int Passed = 0;
  for (int I = 0; I < 1000; ++I)
    Passed += Rate.take(10, I * 0.01) ? 1 : 0;
  BOOST_TEST(Passed >= 100);
  BOOST_TEST(Passed <= 121);
  retry_budget Retries;
  int Retried = 0;
  for (int I = 0; I < 1000; ++I) {
    Retries.recordRequest();
    Retried += Retries.take() ? 1 : 0;
  }
  BOOST_TEST(Retried <= 106);
  circuit_breaker Breaker;
  for (int I = 0; I < 3; ++I)
    Breaker.failed(10);
  BOOST_TEST(!Breaker.allows(10.1));
  BOOST_TEST(Breaker.allows(11));
  Breaker.succeeded();
  BOOST_TEST(Breaker.allows(10.1));
}

BOOST_AUTO_TEST_CASE(every_replica_is_in_the_subsets_of_several_entries) {
  struct fleet {
    size_t Entries;
    size_t Replicas;
    size_t MaxLinks;
  };
  // The last case is a single version in a deployment of the design size.
  for (fleet Fleet : {fleet{3, 18, 18}, fleet{4, 9, 9}, fleet{40, 120, 24},
                      fleet{410, 66, 6}}) {
    std::map<std::string, int> EntriesOfReplica;
    for (size_t E = 0; E < Fleet.Entries; ++E) {
      std::vector<subset_replica> Replicas;
      for (size_t R = 0; R < Fleet.Replicas; ++R)
        Replicas.push_back({"r" + std::to_string(R), R % 3 == E % 3});
      auto Names = chooseSubset(
          Replicas, {.EntryHash = checksum("entry-" + std::to_string(E)),
                     .Entries = Fleet.Entries});
      BOOST_TEST(Names.size() <= Fleet.MaxLinks);
      BOOST_TEST(std::set(Names.begin(), Names.end()).size() == Names.size());
      for (const std::string &Name : Names)
        ++EntriesOfReplica[Name];
    }
    BOOST_TEST(EntriesOfReplica.size() == Fleet.Replicas);
    for (const auto &[Name, Entries] : EntriesOfReplica)
      BOOST_TEST(Entries >= 2);
  }
}

BOOST_AUTO_TEST_CASE(a_brief_drop_in_the_number_of_entries_is_ignored) {
  steady_entry_count Count;
  BOOST_TEST(Count.update(410, 1));
  BOOST_TEST(!Count.update(3, 2)); // A new leader has three leases so far.
  BOOST_TEST(!Count.update(410, 4));
  BOOST_TEST(!Count.update(300, 5));
  BOOST_TEST(!Count.update(300, 34));
  BOOST_TEST(Count.update(300, 35));
  BOOST_TEST(Count.value() == 300);
}

// Guards against starting with a cascade when no arm has ratings: a cascade
// seems cheaper than the first version alone, but its ratings say less.
BOOST_AUTO_TEST_CASE(the_first_listed_version_is_used_without_ratings) {
  std::mt19937_64 Random(1);
  estimates None;
  choice_cache Cache;
  choice_input Input{.Template = "t",
                     .Account = "a",
                     .QualityTarget = 0.9,
                     .Policy = cheapest_policy{.ExploreShare = 0}};
  Input.Candidates = {{.Name = {"middle", "1"}, .PriorCost = 4},
                      {.Name = {"cheap", "1"}, .PriorCost = 1},
                      {.Name = {"dear", "1"}, .PriorCost = 9}};
  for (bool MayCascade : {false, true}) {
    Input.MayCascade = MayCascade;
    arm Arm = chooseArm(Input, None, Cache, Random)->Arm;
    BOOST_TEST(Arm.text() == "middle@1");
  }
}

BOOST_AUTO_TEST_CASE(a_cached_choice_is_dropped_when_the_estimates_change) {
  std::mt19937_64 Random(1);
  estimates Estimates;
  choice_cache Cache;
  choice_input Input{.Template = "t",
                     .Account = "a",
                     .Policy = cheapest_policy{.ExploreShare = 0}};
  Input.Candidates = {{.Name = {"cheap", "1"}, .PriorCost = 1},
                      {.Name = {"dear", "1"}, .PriorCost = 9}};
  auto Chosen = [&] {
    return chooseArm(Input, Estimates, Cache, Random)->Arm.First.Model;
  };
  auto Rate = [&](const std::string &Model, double Score, double Cost) {
    for (int I = 0; I < 2000; ++I)
      Estimates.add({"t", "a", {{Model, "1"}, {}}}, Score, Cost);
  };
  Rate("dear", 0.95, 9);
  Rate("cheap", 0.95, 1);
  BOOST_TEST(Chosen() == "cheap");
  Rate("cheap", 0.1, 1);
  Rate("dear", 0.8, 9); // Better of two that both miss the target.
  BOOST_TEST(Chosen() == "dear");
  Input.Candidates.pop_back(); // No longer allowed.
  BOOST_TEST(Chosen() == "cheap");
  Input.Account = "b";
  BOOST_TEST(Chosen() == "cheap");
}

BOOST_AUTO_TEST_CASE(load_is_reported_only_after_a_large_change) {
  BOOST_TEST(!isReportDue({4, 0}, {11, 0}, 16));
  BOOST_TEST(isReportDue({4, 0}, {12, 0}, 16));
  BOOST_TEST(isReportDue({16, 0}, {16, 1}, 16));
  BOOST_TEST(isReportDue({16, 3}, {16, 0}, 16));
  BOOST_TEST(!isReportDue({16, 3}, {16, 5}, 16));
}

BOOST_AUTO_TEST_CASE(a_rolling_version_runs_only_within_its_allowance) {
  std::mt19937_64 Random(1);
  estimates None;
  choice_cache Cache;
  choice_input Input{.Policy = cheapest_policy{}};
  Input.Candidates = {{.Name = {"m", "1"}},
                      {.Name = {"m", "2"}, .Rolling = true}};
  for (int I = 0; I < 200; ++I)
    BOOST_TEST(chooseArm(Input, None, Cache, Random)->Arm.First.Version == "1");
  Input.Candidates[1].Allowance = 5;
  int New = 0;
  for (int I = 0; I < 200; ++I)
    New += chooseArm(Input, None, Cache, Random)->Rolling ? 1 : 0;
  BOOST_TEST(New > 20);
  BOOST_TEST(New < 90);
  Input.Candidates.erase(Input.Candidates.begin());
  Input.Candidates[0].Allowance = 0;
  BOOST_TEST(!chooseArm(Input, None, Cache, Random));
}

BOOST_AUTO_TEST_CASE(the_text_of_an_answer_is_read_wherever_it_is_cut) {
  std::string Stream;
  for (const char *Token : {R"(\u00e9t\u00e9)", R"( \"two\")", R"(\\)", " end"})
    Stream += std::string("data: {\"choices\":[{\"delta\":{\"content\": \"") +
              Token + "\"}}]}\n\n";
  Stream += ": a comment with \"content\":\"no\"\n\n"
            "data: {\"choices\":[{\"delta\":{\"content\":null}}]}\r\n\r\n"
            "data: [DONE]\n\n";
  const std::string Expected = "\xc3\xa9t\xc3\xa9 \"two\"\\ end";
  for (size_t Size = 1; Size <= Stream.size(); ++Size) {
    answer_text Text;
    for (size_t At = 0; At < Stream.size(); At += Size)
      Text.feed(std::string_view(Stream).substr(At, Size));
    BOOST_REQUIRE_EQUAL(Text.text(), Expected);
  }
  answer_text Long;
  std::string Token(1000, 'x');
  for (int I = 0; I < 100; ++I)
    Long.feed("data: {\"content\":\"" + Token + "\"}\n");
  BOOST_TEST(Long.text().size() == 16000U);
  BOOST_TEST(textOfAnswer(R"({"choices":[{"message":{"content":"hi"}}]})") ==
             "hi");
  BOOST_TEST(textOfAnswer("{\"choices\":[]}") == "{\"choices\":[]}");
}

BOOST_AUTO_TEST_CASE(an_invalid_chat_request_is_refused) {
  BOOST_TEST(parseChatRequest(R"({"model":"m","messages":[{}]})").ok());
  for (const char *Bad : {"", "[]", "{}", R"({"model":1,"messages":[{}]})",
                          R"({"model":"m","messages":[]})",
                          R"({"model":"m","messages":[{}],"stream":1})"})
    BOOST_TEST(!parseChatRequest(Bad).ok());
}

BOOST_AUTO_TEST_SUITE_END()
