//===- bills_test.cpp - Each answer billed once ---------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/world.h"
#include <algorithm>

using namespace olivevalve;

BOOST_AUTO_TEST_SUITE(bills)

BOOST_AUTO_TEST_CASE(add_up_to_what_answered_callers_got) {
  world World;
  World.startUsual();
  std::map<std::string, std::pair<uint64_t, uint64_t>> Got; // by version
  auto Note = [&](const caller_answer &Answer) {
    if (Answer.Status != 200 || !Answer.Error.empty())
      return;
    auto &Line = Got[Answer.version()];
    ++Line.first;
    Line.second +=
        json::parse(Answer.Body)["usage"]["completion_tokens"].get<uint64_t>();
  };
  auto Send = [&](int Count) {
    std::vector<std::shared_ptr<caller_answer>> Answers;
    for (int I = 0; I < Count; ++I)
      for (auto &[Name, Node] : World.Entries)
        if (Node->Process->running())
          Answers.push_back(World.begin(
              Node->Address.text(),
              {.Body = chatBody("plan", "tokens=" + std::to_string(2 + I))}));
    World.until("all answers", [&] {
      return std::all_of(Answers.begin(), Answers.end(),
                         [](const auto &A) { return A->Done; });
    });
    for (const auto &Answer : Answers)
      Note(*Answer);
  };
  auto Billed = [&] {
    std::map<std::string, std::pair<uint64_t, uint64_t>> Sums;
    json Bills = World.operators("GET", "/v1/bills");
    for (const json &Bill : Bills["bills"])
      if (Bill["model"] == "olive-llm")
        Sums[Bill["version"]] = {Bill["requests"], Bill["output_tokens"]};
    return Sums;
  };
  // The two warm-up requests have been billed too.
  World.until("the warm-up is billed", [&] {
    uint64_t Sum = 0;
    for (const auto &[Version, Line] : Billed())
      Sum += Line.first;
    return Sum == 2;
  });
  Got = Billed();
  Send(20);
  // The leader dies with bills on their way, then an entry right after its
  // callers were answered: the sidecars' copies stand in.
  World.leader().Process->kill();
  Send(20);
  World.Entries["entry-1"]->Process->kill();
  auto Show = [&] {
    std::string Text;
    for (const auto &[Version, Line] : Billed())
      Text += " version " + Version + ": billed " + std::to_string(Line.first) +
              " requests, " + std::to_string(Line.second) +
              " tokens; answered " + std::to_string(Got[Version].first) + ", " +
              std::to_string(Got[Version].second);
    BOOST_TEST_MESSAGE(Text);
  };
  double ShowAt = steadySeconds() + 20;
  World.until("all is billed", [&] {
    if (steadySeconds() > ShowAt)
      Show();
    return Billed() == Got;
  });
  Send(10);
  World.until("all is billed again", [&] { return Billed() == Got; });
  // And it stays so, whatever copies come late.
  World.run(5);
  BOOST_TEST((Billed() == Got));
}

BOOST_AUTO_TEST_SUITE_END()
