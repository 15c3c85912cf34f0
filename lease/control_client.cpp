//===- control_client.cpp - A node's tie to control -----------------------===//

#include "lease/control_client.h"
#include "base/clock.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Turns of the timer; a question is asked again, and another control VM tried,
// only after the longer times below.
constexpr double TickSeconds = 0.1;
constexpr double AskAgainSeconds = 0.4;
// Without a grant for this long the next control VM is tried; every VM has
// been tried before the lease ends.
constexpr double MoveSeconds = 1.2;
constexpr double MoveAgainSeconds = 0.5;

// The call number of an answer; 0 if it is none.
uint64_t callOf(const wire::envelope &Message) {
  if (Message.has_claim_result())
    return Message.claim_result().call();
  if (Message.has_ack())
    return Message.ack().call();
  return 0;
}

void setCall(wire::envelope &Message, uint64_t Call) {
  if (Message.has_claim())
    Message.mutable_claim()->set_call(Call);
  else if (Message.has_finish())
    Message.mutable_finish()->set_call(Call);
  else if (Message.has_bills())
    Message.mutable_bills()->set_call(Call);
  else if (Message.has_ratings())
    Message.mutable_ratings()->set_call(Call);
}

} // namespace

control_client::control_client(link_context &Context, struct ev_loop *Loop,
                               control_client_options NewOptions)
    : Options(std::move(NewOptions)), Timer(Loop, [this] { tick(); }) {
  std::string Name =
      Options.Node + "/" + Options.Role + "/" + hexOf(Options.Incarnation);
  for (size_t I = 0; I < Options.Control.size(); ++I) {
    Links.push_back(std::make_unique<client_link>(
        Context, Loop, Name,
        [this, I](const wire::envelope &Message) { receive(I, Message); }));
    Links.back()->connect(Options.Control[I].Address);
  }
  // Nodes that start together do not all ask the same VM first.
  Current = Links.empty() ? 0 : size_t(Options.Incarnation % Links.size());
  LastMove = steadySeconds();
  Timer.startRepeating(TickSeconds);
}

bool control_client::hasLease() const {
  return !Leaving && Copy.hasLease(steadySeconds());
}

double control_client::shareOf(const std::string &Account) const {
  auto It = Shares.find(Account);
  if (It != Shares.end())
    return It->second;
  return 1.0 / std::max(1U, Entries);
}

void control_client::receive(size_t Place, const wire::envelope &Message) {
  if (Message.has_grant())
    return takeGrant(Place, Message.grant());
  if (Message.has_redirect())
    return follow(Message.redirect().leader());
  if (uint64_t Call = callOf(Message))
    answer(Call, Message);
}

void control_client::takeGrant(size_t Place, const wire::grant &Grant) {
  if (Leaving)
    return;
  double Now = steadySeconds();
  bool Changed = Copy.take(Grant, Now);
  bool Renewal = Grant.lease_seconds() > 0;
  if (Renewal) {
    LastGrant = Now;
    Current = Place;
    Entries = std::max(1U, Grant.entries());
    Shares.clear();
    for (const wire::account_share &Share : Grant.shares())
      Shares[Share.account()] = Share.share();
  }
  Evacuated.hear(Grant.evacuations());
  if (OnGrant)
    OnGrant(Grant);
  if (!Changed)
    return;
  if (OnConfig)
    OnConfig();
  // The operator waits until control has heard that this node is up to date.
  sendRenew(Place);
}

void control_client::answer(uint64_t Call, const wire::envelope &Message) {
  auto It = Questions.find(Call);
  if (It == Questions.end())
    return;
  answer_handler Handler = std::move(It->second.Handler);
  Questions.erase(It);
  Handler(&Message);
}

void control_client::follow(uint64_t Leader) {
  for (size_t I = 0; I < Options.Control.size(); ++I)
    if (Options.Control[I].Id == Leader && I != Current) {
      Current = I;
      LastMove = steadySeconds();
      sendRenew(Current);
      for (auto &[Call, Question] : Questions)
        askAgain(Question, steadySeconds());
    }
}

void control_client::ask(wire::envelope Message, double Seconds,
                         answer_handler Handler) {
  uint64_t Call = NextCall++;
  setCall(Message, Call);
  double Now = steadySeconds();
  question &Question = Questions[Call];
  Question.Message = std::move(Message);
  Question.Deadline = Now + Seconds;
  Question.Handler = std::move(Handler);
  askAgain(Question, Now);
}

void control_client::askAgain(question &Question, double Now) {
  Question.AskedAt = Now;
  if (!Links.empty())
    Links[Current]->send(Question.Message);
}

void control_client::renewNow() { sendRenew(Current); }

void control_client::leave() {
  Leaving = true;
  for (size_t I = 0; I < Links.size(); ++I)
    sendRenew(I);
}

void control_client::sendRenew(size_t Place) {
  if (Links.empty())
    return;
  wire::envelope Message;
  wire::renew *Renew = Message.mutable_renew();
  Renew->set_node(Options.Node);
  Renew->set_incarnation(Options.Incarnation);
  Renew->set_role(Options.Role);
  Renew->set_data_hall(Options.DataHall);
  Renew->set_config_index(Copy.config().index());
  Renew->set_sent_at(steadySeconds());
  Renew->set_stopping(Leaving);
  Renew->set_evacuations_revision(Evacuated.revision());
  if (OnRenew)
    OnRenew(*Renew);
  LastRenew = steadySeconds();
  Links[Place]->send(Message);
}

void control_client::tick() {
  double Now = steadySeconds();
  bool Silent =
      Now - LastGrant > MoveSeconds && Now - LastMove > MoveAgainSeconds;
  if (Silent && !Links.empty()) {
    Current = (Current + 1) % Links.size();
    LastMove = Now;
    LastRenew = 0;
  }
  if (!Leaving && Now - LastRenew >= RenewSeconds - TickSeconds / 2)
    sendRenew(Current);
  std::vector<uint64_t> Over;
  for (auto &[Call, Question] : Questions) {
    if (Now >= Question.Deadline)
      Over.push_back(Call);
    else if (Now - Question.AskedAt > AskAgainSeconds)
      askAgain(Question, Now);
  }
  for (uint64_t Call : Over) {
    answer_handler Handler = std::move(Questions[Call].Handler);
    Questions.erase(Call);
    Handler(nullptr);
  }
}

} // namespace olivevalve
