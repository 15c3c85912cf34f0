//===- request_claims.cpp - Requests that may run only once ---------------===//
//
// The part of request_task that claims an Idempotency-Key, finds out what
// became of an earlier attempt under the same key, and replays its outcome.
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
  Value.set_sidecar_incarnation(SidecarIncarnation);
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
  Context.Control.sendRequest(
      std::move(Message), Facts.Deadline - steadySeconds(),
      [this, Self](const wire::envelope *Answer) {
        if (Stage != stage::Claiming)
          return;
        if (!Answer || !Answer->has_claim_result())
          return refuse(error_kind::NoLease,
                        "control did not respond to the query "
                        "whether this request ran before");
        onClaimed(Answer->claim_result());
      });
}

// An attempt is sent only after a quorum has committed its claim.
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
                  "Idempotency-Key: was used for a different request");
  if (Result.finished() && Result.kind())
    return refuse(kindFromNumber(Result.kind()), Result.body());
  if (Result.finished()) {
    Stage = stage::Answered;
    std::vector<header_field> Headers = headers();
    Headers.push_back({"X-Olivevalve-Replayed", "true"});
    Exchange->reply(int(Result.status()), Result.content_type(), Result.body(),
                    Headers);
    return finishTask();
  }
  if (!Holder.ParseFromString(Result.value()))
    return refuse(error_kind::OutcomeUnknown,
                  "the stored claim cannot be decoded");
  if (Result.holder_alive())
    return refuse(error_kind::InProgress,
                  "a request with this Idempotency-Key is in progress");
  HolderValue = Result.value();
  Stage = stage::Resolving;
  ResolveUntil =
      std::min(Facts.Deadline, steadySeconds() + ResolveTimeoutSeconds);
  resolve(steadySeconds());
}

std::optional<attempt_key> request_task::queriedAttempt() const {
  if (Stage != stage::Resolving)
    return std::nullopt;
  return keyOf(Holder.id());
}

// Asks the sidecar that the attempt was meant for to cancel it if it has not
// started. Once that sidecar has restarted, nobody can tell whether the attempt
// had started.
void request_task::resolve(double Now) {
  NextResolveAt = Now + ResolveIntervalSeconds;
  uint64_t Current = Context.Pool.incarnation(Holder.upstream());
  bool Restarted = Current != 0 && Current != Holder.sidecar_incarnation();
  if (Restarted && !OutcomePolled)
    return pollOutcome();
  if (Restarted)
    return onHolderRestarted();
  if (Now >= ResolveUntil)
    return refuse(error_kind::OutcomeUnknown,
                  "the upstream that received the request cannot be queried");
  wire::envelope Message;
  *Message.mutable_cancel()->mutable_id() = Holder.id();
  Message.mutable_cancel()->set_only_if_not_started(true);
  Message.mutable_cancel()->set_sidecar_incarnation(
      Holder.sidecar_incarnation());
  Context.Pool.send(Holder.upstream(), Message);
}

void request_task::onResolved(wire::cancel_result::cancel_progress Progress) {
  if (Progress == wire::cancel_result::NOT_STARTED) {
    // The earlier attempt can no longer start: this request takes the claim.
    ClaimValue = HolderValue;
    return sendAttempt();
  }
  if (Progress == wire::cancel_result::GONE && OutcomePolled)
    return onHolderRestarted();
  pollOutcome();
}

// The attempt has started: when it ends, the sidecar stores its outcome at
// control.
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
  Context.Control.sendRequest(std::move(Message), ResolveTimeoutSeconds,
                              [this, Self](const wire::envelope *Answer) {
                                PollPending = false;
                                if (Stage != stage::Resolving || !Answer)
                                  return;
                                OutcomePolled = true;
                                if (Answer->claim_result().finished())
                                  onClaimLost(Answer->claim_result());
                              });
}

void request_task::sendClaimFinish(wire::finish Finish) {
  if (!claimed() || ClaimValue.empty())
    return;
  wire::claim_value Own;
  Own.ParseFromString(ClaimValue);
  wire::envelope Message;
  *Message.mutable_finish() = std::move(Finish);
  Message.mutable_finish()->set_account(Facts.Account);
  Message.mutable_finish()->set_key(Facts.Key);
  *Message.mutable_finish()->mutable_id() = Own.id();
  Context.Control.sendRequest(std::move(Message), ResolveTimeoutSeconds,
                              [](const wire::envelope *) {});
  ClaimValue.clear();
}

// The claimed attempt never started: the key may be used again.
void request_task::releaseClaim() {
  wire::finish Finish;
  Finish.set_free(true);
  sendClaimFinish(std::move(Finish));
}

// The request ends without a known outcome; the next request with the same key
// resolves it.
void request_task::abandonClaim() {
  wire::finish Finish;
  Finish.set_abandoned(true);
  sendClaimFinish(std::move(Finish));
}

// The outcome can never be known. That is stored as the outcome, so that later
// requests with the same key get the same error at once.
void request_task::onHolderRestarted() {
  constexpr std::string_view Reason =
      "the upstream restarted while it had the request";
  ClaimValue = HolderValue;
  wire::finish Finish;
  Finish.set_kind(uint32_t(error_kind::OutcomeUnknown));
  Finish.set_body(std::string(Reason));
  sendClaimFinish(std::move(Finish));
  refuse(error_kind::OutcomeUnknown, std::string(Reason));
}

} // namespace olivevalve
