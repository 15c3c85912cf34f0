//===- request_claims.cpp - Requests that may run only once ---------------===//
//
// The part of a request_task that claims its Idempotency-Key, finds out what
// became of an earlier attempt under the same key, and hands out its outcome.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "base/digest.h"
#include "entry/request_task.h"
#include <algorithm>

namespace olivevalve {

void request_task::claim() {
  Stage = stage::Claiming;
  wire::claim_value Value;
  *Value.mutable_id() = Id;
  Value.set_upstream(Upstream);
  Value.set_sidecar_incarnation(SentTo);
  wire::envelope Message;
  wire::claim *Claim = Message.mutable_claim();
  Claim->set_space("request");
  Claim->set_account(Facts.Account);
  Claim->set_key(Facts.Key);
  Claim->set_value(Value.SerializeAsString());
  Claim->set_replaces(ClaimValue);
  Claim->set_request_hash(checksum(Facts.Method + Facts.Path + Facts.Body));
  ClaimValue = Claim->value();
  auto Self = shared_from_this();
  Context.Control.ask(std::move(Message), Facts.Deadline - steadySeconds(),
                      [this, Self](const wire::envelope *Answer) {
                        if (Stage != stage::Claiming)
                          return;
                        if (!Answer || !Answer->has_claim_result())
                          return refuse(error_kind::NoLease,
                                        "control could not be asked whether "
                                        "this request ran before");
                        onClaimed(Answer->claim_result());
                      });
}

// The attempt leaves only after the claim has been committed by a quorum.
void request_task::onClaimed(const wire::claim_result &Result) {
  if (Result.won())
    return dispatch();
  endAttempt();
  ClaimValue.clear();
  onClaimLost(Result);
}

void request_task::onClaimLost(const wire::claim_result &Result) {
  uint64_t Hash = checksum(Facts.Method + Facts.Path + Facts.Body);
  if (Result.request_hash() != Hash)
    return refuse(error_kind::KeyReused,
                  "Idempotency-Key: was used for another request");
  if (Result.finished() && Result.kind())
    return refuse(kindFromNumber(Result.kind()), Result.body());
  if (Result.finished()) {
    Stage = stage::Answered;
    std::vector<head_line> Headers = headers();
    Headers.push_back({"X-Olivevalve-Replayed", "true"});
    Exchange->reply(int(Result.status()), Result.content_type(), Result.body(),
                    Headers);
    return finishTask();
  }
  if (!Holder.ParseFromString(Result.value()))
    return refuse(error_kind::OutcomeUnknown, "the claim cannot be read");
  if (Result.holder_alive())
    return refuse(error_kind::InProgress,
                  "a request with this Idempotency-Key is under way");
  HolderValue = Result.value();
  Stage = stage::Resolving;
  ResolveUntil = std::min(Facts.Deadline, steadySeconds() + ResolveSeconds);
  resolve(steadySeconds());
}

std::optional<attempt_key> request_task::asksAbout() const {
  if (Stage != stage::Resolving)
    return std::nullopt;
  return keyOf(Holder.id());
}

// Asks the sidecar that the attempt was meant for. If that start of it is
// gone, nobody can tell any more whether the attempt had begun.
void request_task::resolve(double Now) {
  NextResolve = Now + ResolveAgainSeconds;
  uint64_t Present = Context.Pool.incarnation(Holder.upstream());
  bool Restarted = Present != 0 && Present != Holder.sidecar_incarnation();
  if (Restarted && !Polled)
    return pollOutcome();
  if (Restarted)
    return upstreamGone();
  if (Now >= ResolveUntil)
    return refuse(error_kind::OutcomeUnknown,
                  "the upstream that had the request cannot be asked");
  wire::envelope Message;
  *Message.mutable_cancel()->mutable_id() = Holder.id();
  Message.mutable_cancel()->set_only_if_not_started(true);
  Message.mutable_cancel()->set_sidecar_incarnation(
      Holder.sidecar_incarnation());
  Context.Pool.send(Holder.upstream(), Message);
}

void request_task::onResolved(wire::cancel_result::cancel_progress Progress) {
  if (Progress == wire::cancel_result::NOT_STARTED) {
    // It never will run: this request takes the claim over.
    ClaimValue = HolderValue;
    return sendAttempt();
  }
  if (Progress == wire::cancel_result::GONE && Polled)
    return upstreamGone();
  pollOutcome();
}

// It started: the sidecar stores the outcome at control when it ends.
void request_task::pollOutcome() {
  if (PollPending)
    return;
  PollPending = true;
  wire::envelope Message;
  wire::claim *Claim = Message.mutable_claim();
  Claim->set_space("request");
  Claim->set_account(Facts.Account);
  Claim->set_key(Facts.Key);
  Claim->set_value(HolderValue);
  Claim->set_request_hash(checksum(Facts.Method + Facts.Path + Facts.Body));
  auto Self = shared_from_this();
  Context.Control.ask(std::move(Message), ResolveSeconds,
                      [this, Self](const wire::envelope *Answer) {
                        PollPending = false;
                        if (Stage != stage::Resolving || !Answer)
                          return;
                        Polled = true;
                        if (Answer->claim_result().finished())
                          onClaimLost(Answer->claim_result());
                      });
}

void request_task::tellClaim(wire::finish Finish) {
  if (!claimed() || ClaimValue.empty())
    return;
  wire::claim_value Own;
  Own.ParseFromString(ClaimValue);
  wire::envelope Message;
  *Message.mutable_finish() = std::move(Finish);
  Message.mutable_finish()->set_account(Facts.Account);
  Message.mutable_finish()->set_key(Facts.Key);
  *Message.mutable_finish()->mutable_id() = Own.id();
  Context.Control.ask(std::move(Message), ResolveSeconds,
                      [](const wire::envelope *) {});
  ClaimValue.clear();
}

// The claimed attempt never started: the key may be used again.
void request_task::freeClaim() {
  wire::finish Finish;
  Finish.set_free(true);
  tellClaim(std::move(Finish));
}

// This request ends without knowing: the next one with the key finds out.
void request_task::leaveClaim() {
  wire::finish Finish;
  Finish.set_abandoned(true);
  tellClaim(std::move(Finish));
}

// Nobody will ever know: so the next request hears the same at once.
void request_task::upstreamGone() {
  constexpr std::string_view What =
      "the upstream restarted while the request was there";
  ClaimValue = HolderValue;
  wire::finish Finish;
  Finish.set_kind(uint32_t(error_kind::OutcomeUnknown));
  Finish.set_body(std::string(What));
  tellClaim(std::move(Finish));
  refuse(error_kind::OutcomeUnknown, std::string(What));
}

} // namespace olivevalve
