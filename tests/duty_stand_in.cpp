//===- duty_stand_in.cpp - Platform that takes usage reports --------------===//

#include "tests/duty_stand_in.h"
#include <cstdlib>

namespace olivevalve {

duty_stand_in::duty_stand_in(struct ev_loop *Loop)
    : Loop(Loop),
      Server(Loop, {}, [this](const std::shared_ptr<http_exchange> &Exchange) {
        handle(Exchange);
      }) {
  Server.bind("127.0.0.1:0");
  Address = Server.address();
}

uint64_t duty_stand_in::reported(const std::string &Account) const {
  uint64_t Sum = 0;
  for (const auto &[Window, Counts] : Reports)
    Sum += Counts.value(Account, uint64_t(0));
  return Sum;
}

void duty_stand_in::handle(const std::shared_ptr<http_exchange> &Exchange) {
  ++Calls;
  std::string Holder = Exchange->header("X-Duty-Holder");
  uint64_t Token =
      std::strtoull(Exchange->header("X-Fencing-Token").c_str(), nullptr, 10);
  bool Valid = Exchange->method() == "POST" && Exchange->path() == "/usage" &&
               !Holder.empty() && Token > 0;
  if (!Valid)
    return fail(Exchange->method() + " " + Exchange->path() +
                " is no valid call");
  switch (Behaviour) {
  case duty_behaviour::Answers:
    return Exchange->reply(carryOut(Holder, Token, Exchange->body()),
                           "application/json", "{}");
  case duty_behaviour::Refuses:
    return Exchange->reply(429, "application/json", "{}");
  case duty_behaviour::Fails:
    return Exchange->reply(500, "application/json", "{}");
  case duty_behaviour::Ignores:
    Ignored.push_back(Exchange);
    return;
  case duty_behaviour::AnswersLate:
    Ignored.push_back(Exchange);
    LateCalls
        .emplace_back(Loop,
                      [this, Holder, Token, Body = Exchange->body()] {
                        carryOut(Holder, Token, Body);
                      })
        .startOnce(LateSeconds);
    return;
  }
}

int duty_stand_in::carryOut(const std::string &Holder, uint64_t Token,
                            const std::string &Body) {
  if (Token < HighestToken) {
    ++Superseded;
    return 409;
  }
  HighestToken = Token;
  auto [Known, New] = HolderOfToken.emplace(Token, Holder);
  if (Known->second != Holder)
    fail("token " + std::to_string(Token) + " of " + Known->second + " and " +
         Holder);
  json Report = json::parse(Body, nullptr, false);
  if (Report.is_discarded() || !Report.contains("windowId") ||
      !Report.contains("counts")) {
    fail("report is not valid: " + Body);
    return 400;
  }
  uint64_t Window = Report["windowId"].get<uint64_t>();
  auto [Accepted, First] = Reports.emplace(Window, Report["counts"]);
  if (Accepted->second != Report["counts"])
    fail("reports of window " + std::to_string(Window) + " differ: " +
         Accepted->second.dump() + " and " + Report["counts"].dump());
  return 200;
}

void duty_stand_in::fail(const std::string &What) {
  if (Violation.empty())
    Violation = What;
}

} // namespace olivevalve
