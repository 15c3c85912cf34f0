//===- control_client.cpp - A node's connection to control ----------------===//

#include "lease/control_client.h"
#include "base/clock.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Interval of the timer that checks the longer times below, after which a
// request is resent or another control VM is tried.
constexpr double TickSeconds = 0.1;
constexpr double ResendSeconds = 0.4;
// The next control VM is tried after this time without a grant, and then one
// after the other, so that each has been tried before the lease expires.
constexpr double SwitchSeconds = 1.2;
constexpr double SwitchAgainSeconds = 0.5;

// The call number in the answer to a request; 0 if the message is none.
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
  // Spreads nodes that start together over the control VMs.
  LeaderIndex = Links.empty() ? 0 : size_t(Options.Incarnation % Links.size());
  LastSwitch = steadySeconds();
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

void control_client::receive(size_t Index, const wire::envelope &Message) {
  if (Message.has_grant())
    return takeGrant(Index, Message.grant());
  if (Message.has_redirect())
    return switchToLeader(Message.redirect().leader());
  if (uint64_t Call = callOf(Message))
    complete(Call, Message);
}

void control_client::takeGrant(size_t Index, const wire::grant &Grant) {
  if (Leaving)
    return;
  double Now = steadySeconds();
  bool Changed = Copy.applyGrant(Grant, Now);
  bool Renewal = Grant.lease_seconds() > 0;
  if (Renewal) {
    LastGrant = Now;
    LeaderIndex = Index;
    Entries = std::max(1U, Grant.entries());
    Shares.clear();
    for (const wire::account_share &Share : Grant.shares())
      Shares[Share.account()] = Share.share();
  }
  Evacuated.applyUpdate(Grant.evacuations());
  if (OnGrant)
    OnGrant(Grant);
  if (!Changed)
    return;
  if (OnConfig)
    OnConfig();
  // Renew at once: an operator's change waits until control has received that
  // this node has applied it.
  sendRenew(Index);
}

void control_client::complete(uint64_t Call, const wire::envelope &Message) {
  auto It = PendingRequests.find(Call);
  if (It == PendingRequests.end())
    return;
  answer_handler Handler = std::move(It->second.Handler);
  PendingRequests.erase(It);
  Handler(&Message);
}

void control_client::switchToLeader(uint64_t Leader) {
  for (size_t I = 0; I < Options.Control.size(); ++I)
    if (Options.Control[I].Id == Leader && I != LeaderIndex) {
      LeaderIndex = I;
      LastSwitch = steadySeconds();
      sendRenew(LeaderIndex);
      for (auto &[Call, Request] : PendingRequests)
        resend(Request, steadySeconds());
    }
}

void control_client::sendRequest(wire::envelope Message, double Seconds,
                                 answer_handler Handler) {
  uint64_t Call = NextCall++;
  setCall(Message, Call);
  double Now = steadySeconds();
  pending_request &Request = PendingRequests[Call];
  Request.Message = std::move(Message);
  Request.Deadline = Now + Seconds;
  Request.Handler = std::move(Handler);
  resend(Request, Now);
}

void control_client::resend(pending_request &Request, double Now) {
  Request.SentAt = Now;
  if (!Links.empty())
    Links[LeaderIndex]->send(Request.Message);
}

void control_client::renewNow() { sendRenew(LeaderIndex); }

void control_client::leave() {
  Leaving = true;
  for (size_t I = 0; I < Links.size(); ++I)
    sendRenew(I);
}

void control_client::sendRenew(size_t Index) {
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
  Links[Index]->send(Message);
}

void control_client::tick() {
  double Now = steadySeconds();
  bool Silent =
      Now - LastGrant > SwitchSeconds && Now - LastSwitch > SwitchAgainSeconds;
  if (Silent && !Links.empty()) {
    LeaderIndex = (LeaderIndex + 1) % Links.size();
    LastSwitch = Now;
    LastRenew = 0;
  }
  if (!Leaving && Now - LastRenew >= RenewSeconds - TickSeconds / 2)
    sendRenew(LeaderIndex);
  std::vector<uint64_t> Expired;
  for (auto &[Call, Request] : PendingRequests) {
    if (Now >= Request.Deadline)
      Expired.push_back(Call);
    else if (Now - Request.SentAt > ResendSeconds)
      resend(Request, Now);
  }
  for (uint64_t Call : Expired) {
    answer_handler Handler = std::move(PendingRequests[Call].Handler);
    PendingRequests.erase(Call);
    Handler(nullptr);
  }
}

} // namespace olivevalve
