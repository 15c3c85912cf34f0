//===- placement_test.cpp - Which replicas hold which versions ------------===//

#include "boost/test/unit_test.hpp"
#include "policy/placement.h"
#include "sidecar/version_loader.h"

using namespace olivevalve;

namespace {

const version_name V1{"m", "1"};
const version_name V2{"m", "2"};
const version_name V3{"m", "3"};

/// Replicas in three data halls with room for two versions each.
placement_input fleet(size_t Replicas) {
  placement_input Question;
  for (size_t I = 0; I < Replicas; ++I)
    Question.Replicas.push_back({.Name = "r" + std::to_string(I),
                                 .DataHall = "hall-" + std::to_string(I % 3),
                                 .MaxLoadedVersions = 2,
                                 .Models = {"m"}});
  return Question;
}

size_t copies(const placement_input &Question, const version_name &Name) {
  size_t Count = 0;
  for (const placed_replica &R : Question.Replicas)
    Count += R.Usable && R.Assigned.contains(Name) ? 1 : 0;
  return Count;
}

size_t loading(const placement_input &Question) {
  size_t Count = 0;
  for (const placed_replica &R : Question.Replicas)
    for (const version_name &Name : R.Assigned)
      Count += R.Usable && !R.Loaded.contains(Name) ? 1 : 0;
  return Count;
}

/// Takes steps, and loads what is assigned when there is none to take, until
/// nothing changes any more. Returns the steps it took.
size_t settle(placement_input &Question) {
  for (size_t Steps = 0; Steps < 200;) {
    if (auto Step = nextPlacement(Question)) {
      ++Steps;
      Question.Replicas[Step->Replica].Assigned = Step->Assigned;
      BOOST_TEST(Step->Assigned.size() <= 2);
      BOOST_TEST(loading(Question) <= Question.MaxConcurrentLoads);
      continue;
    }
    if (loading(Question) == 0)
      return Steps;
    for (placed_replica &R : Question.Replicas)
      R.Loaded = R.Assigned;
  }
  BOOST_FAIL("the placement never settles");
  return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placing_versions)

BOOST_AUTO_TEST_CASE(gives_room_by_demand_and_two_copies_to_each) {
  placement_input Question = fleet(6);
  Question.Versions = {{V1, 90}, {V2, 10}, {V3, 0}};
  settle(Question);
  BOOST_TEST(copies(Question, V1) == 6U);
  BOOST_TEST(copies(Question, V2) >= 2U);
  BOOST_TEST(copies(Question, V3) >= 2U);
  std::set<std::string> Halls;
  for (const placed_replica &R : Question.Replicas)
    if (R.Assigned.contains(V3))
      Halls.insert(R.DataHall);
  BOOST_TEST(Halls.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(follows_demand_and_then_rests) {
  placement_input Question = fleet(12);
  Question.Versions = {{V1, 90}, {V2, 10}, {V3, 10}};
  settle(Question);
  size_t Before = copies(Question, V3);
  Question.Versions = {{V1, 10}, {V2, 10}, {V3, 90}};
  size_t Steps = settle(Question);
  BOOST_TEST(copies(Question, V3) > Before);
  BOOST_TEST(copies(Question, V1) >= 2U);
  BOOST_TEST(Steps <= 12U);
  // A little more or less is not worth a load.
  Question.Versions = {{V1, 11}, {V2, 9}, {V3, 95}};
  BOOST_TEST(!nextPlacement(Question).has_value());
}

BOOST_AUTO_TEST_CASE(clears_what_was_ended_even_while_loads_run) {
  placement_input Question = fleet(3);
  Question.Versions = {{V2, 1}};
  Question.Replicas[1].Assigned = {V1, V2};
  Question.Replicas[0].Assigned = {V2};
  Question.Replicas[2].Assigned = {V2}; // Three loads: more than are allowed.
  auto Step = nextPlacement(Question);
  BOOST_REQUIRE(Step.has_value());
  BOOST_TEST(Step->Replica == 1U);
  BOOST_TEST((Step->Assigned == std::set{V2}));
  Question.Replicas[1].Assigned = Step->Assigned;
  BOOST_TEST(!nextPlacement(Question).has_value());
}

BOOST_AUTO_TEST_CASE(makes_up_for_lost_replicas) {
  placement_input Question = fleet(6);
  Question.Versions = {{V1, 50}, {V2, 5}, {V3, 5}};
  settle(Question);
  for (placed_replica &R : Question.Replicas)
    R.Usable = R.DataHall != "hall-0";
  settle(Question);
  for (const version_name &Name : {V1, V2, V3})
    BOOST_TEST(copies(Question, Name) >= 2U);
}

// A copy that is still being loaded serves nobody: the last loaded ones stay.
BOOST_AUTO_TEST_CASE(never_takes_away_copies_that_are_needed) {
  placement_input Question = fleet(3);
  Question.MaxConcurrentLoads = 5;
  Question.Versions = {{V1, 1}, {V2, 1000}};
  for (placed_replica &R : Question.Replicas)
    R.MaxLoadedVersions = 1;
  for (size_t I : {0, 1, 2})
    Question.Replicas[I].Assigned = {V1};
  Question.Replicas[0].Loaded = {V1};
  Question.Replicas[1].Loaded = {V1};
  BOOST_TEST(!nextPlacement(Question).has_value());
  Question.Replicas[2].Loaded = {V1};
  BOOST_TEST(nextPlacement(Question).has_value());
}

BOOST_AUTO_TEST_CASE(orders_nothing_away_that_has_work) {
  version_assignment Wish{
      .Index = 7, .Versions = {{V2, "two"}, {V3, "three"}}, .Room = 2};
  std::map<version_name, std::string> Held = {{V1, "one"}, {V2, "two"}};
  auto Busy = versionsToLoad(Wish, Held, {V1});
  BOOST_TEST(Busy.size() == 2U);
  BOOST_TEST(Busy.contains(V1));
  BOOST_TEST(Busy.contains(V2));
  auto Free = versionsToLoad(Wish, Held, {});
  BOOST_TEST(!Free.contains(V1));
  BOOST_TEST(Free.contains(V3));
}

BOOST_AUTO_TEST_CASE(reads_what_an_engine_holds) {
  auto Good = parseEngineModels(R"({"fence": 9, "loaded": ["a", "b"]})");
  BOOST_REQUIRE(Good.has_value());
  BOOST_TEST(Good->Fence == 9U);
  BOOST_TEST(Good->Loaded.size() == 2U);
  for (const char *Bad : {"", "[]", "{}", R"({"fence": -1, "loaded": []})",
                          R"({"fence": 1, "loaded": {}})"})
    BOOST_TEST(!parseEngineModels(Bad).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
