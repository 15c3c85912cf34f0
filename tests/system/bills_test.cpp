//===- bills_test.cpp - Each response is billed once ----------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/world.h"
#include <algorithm>

using namespace olivevalve;

BOOST_AUTO_TEST_SUITE(bills)

// Guards against responses that are billed twice or not at all when control VMs
// or entries are killed while bills are in transit.
BOOST_AUTO_TEST_CASE(equal_the_responses_that_callers_received) {
  world World;
  World.startDefaultSystem();
  // Requests and output tokens by version, as callers received them.
  std::map<std::string, std::pair<uint64_t, uint64_t>> Received;
  auto Record = [&](const client_response &Answer) {
    if (Answer.Status != 200 || !Answer.Error.empty())
      return;
    auto &Line = Received[Answer.version()];
    ++Line.first;
    Line.second +=
        json::parse(Answer.Body)["usage"]["completion_tokens"].get<uint64_t>();
  };
  auto Send = [&](int Count) {
    std::vector<std::shared_ptr<client_response>> Answers;
    for (int I = 0; I < Count; ++I)
      for (auto &[Name, Node] : World.Entries)
        if (Node->Process->running())
          Answers.push_back(World.begin(
              Node->Address.text(),
              {.Body = chatBody("plan", "tokens=" + std::to_string(2 + I))}));
    World.until("all requests are answered", [&] {
      return std::all_of(Answers.begin(), Answers.end(),
                         [](const auto &A) { return A->Done; });
    });
    for (const auto &Answer : Answers)
      Record(*Answer);
  };
  auto Billed = [&] {
    std::map<std::string, std::pair<uint64_t, uint64_t>> Sums;
    json Bills = World.operators("GET", "/v1/bills");
    for (const json &Bill : Bills["bills"])
      if (Bill["model"] == "olive-llm")
        Sums[Bill["version"]] = {Bill["requests"], Bill["output_tokens"]};
    return Sums;
  };
  // The two warm-up requests are billed as well.
  World.until("the warm-up is billed", [&] {
    uint64_t Sum = 0;
    for (const auto &[Version, Line] : Billed())
      Sum += Line.first;
    return Sum == 2;
  });
  Received = Billed();
  Send(20);
  // The leader is killed while bills are in transit, then an entry right after
  // its callers were answered. The copies that the sidecars hold replace the
  // lost bills.
  World.leader().Process->kill();
  Send(20);
  World.Entries["entry-1"]->Process->kill();
  auto Show = [&] {
    std::string Text;
    for (const auto &[Version, Line] : Billed())
      Text += " version " + Version + ": billed " + std::to_string(Line.first) +
              " requests, " + std::to_string(Line.second) +
              " tokens; answered " + std::to_string(Received[Version].first) +
              ", " + std::to_string(Received[Version].second);
    BOOST_TEST_MESSAGE(Text);
  };
  double ShowAt = steadySeconds() + 20;
  World.until("all responses are billed", [&] {
    if (steadySeconds() > ShowAt)
      Show();
    return Billed() == Received;
  });
  Send(10);
  World.until("the further responses are billed",
              [&] { return Billed() == Received; });
  // Copies of bills that arrive late must not be counted again.
  World.run(5);
  BOOST_TEST((Billed() == Received));
}

BOOST_AUTO_TEST_SUITE_END()
