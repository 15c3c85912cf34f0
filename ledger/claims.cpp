//===- claims.cpp - Claims of requests that run at most once --------------===//

#include "ledger/claims.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Time after its last use for which a claim is kept: a client may retry with
// the same Idempotency-Key for a day.
constexpr double ClaimLifetimeSeconds = 24 * 3600;
// Least interval between two recorded uses of a claim; bounds the length of
// Touches when a client polls.
constexpr double TouchIntervalSeconds = 60;

} // namespace

wire::claim_result claim_table::resultFor(const record &Record, bool Won) {
  wire::claim_result Result;
  Result.set_won(Won);
  Result.set_value(Record.Value);
  Result.set_finished(Record.Finished);
  Result.set_freed(Record.Freed);
  Result.set_abandoned(Record.Abandoned);
  Result.set_kind(Record.Kind);
  Result.set_status(Record.Status);
  Result.set_content_type(Record.ContentType);
  Result.set_body(Record.Body);
  Result.set_request_hash(Record.RequestHash);
  return Result;
}

void claim_table::touchRecord(const claim_key &Key, record &Record,
                              double Now) {
  if (Record.Touched != 0 && Now < Record.Touched + TouchIntervalSeconds)
    return;
  Record.Touched = Now;
  Touches.push_back({Now, Key});
}

wire::claim_result claim_table::claim(const wire::claim &Claim, double Now) {
  expire(Now);
  claim_key Key{Claim.account(), Claim.key()};
  record &Record = Records[Key];
  bool IsNew = Record.Touched == 0;
  bool Replaces = !Claim.replaces().empty() && !Record.Finished &&
                  Record.Value == Claim.replaces();
  bool IsResend =
      !Record.Finished && !Record.Freed && Record.Value == Claim.value();
  touchRecord(Key, Record, Now);
  if (!IsNew && !Record.Freed && !Replaces && !IsResend)
    return resultFor(Record, false);
  Record.Value = Claim.value();
  Record.RequestHash = Claim.request_hash();
  Record.Freed = false;
  Record.Abandoned = Record.Abandoned && IsResend;
  return resultFor(Record, true);
}

wire::claim_result claim_table::finish(const wire::finish &Finish, double Now) {
  claim_key Key{Finish.account(), Finish.key()};
  auto It = Records.find(Key);
  wire::claim_value Holder;
  bool Held =
      It != Records.end() && Holder.ParseFromString(It->second.Value) &&
      Holder.id().SerializeAsString() == Finish.id().SerializeAsString();
  if (!Held)
    return {};
  record &Record = It->second;
  if (Record.Finished || Record.Freed)
    return resultFor(Record, true);
  if (Finish.free()) {
    Record.Freed = true;
    return resultFor(Record, true);
  }
  if (Finish.abandoned()) {
    Record.Abandoned = true;
    return resultFor(Record, true);
  }
  Record.Finished = true;
  Record.Kind = Finish.kind();
  Record.Status = Finish.status();
  Record.ContentType = Finish.content_type();
  Record.Body = Finish.body();
  touchRecord(Key, Record, Now);
  return resultFor(Record, true);
}

void claim_table::expire(double Now) {
  while (!Touches.empty()) {
    const touch &Front = Touches.front();
    auto It = Records.find(Front.Key);
    bool IsLastTouch = It != Records.end() && It->second.Touched == Front.Time;
    if (IsLastTouch && Front.Time + ClaimLifetimeSeconds > Now)
      return;
    if (IsLastTouch)
      Records.erase(It);
    Touches.pop_front();
  }
}

void claim_table::save(wire::state_image &Image) const {
  for (const auto &[Key, Record] : Records) {
    wire::stored_claim *Out = Image.add_claims();
    Out->set_space("request");
    Out->set_account(Key.Account);
    Out->set_key(Key.Key);
    Out->set_value(Record.Value);
    Out->set_request_hash(Record.RequestHash);
    Out->set_finished(Record.Finished);
    Out->set_freed(Record.Freed);
    Out->set_abandoned(Record.Abandoned);
    Out->set_kind(Record.Kind);
    Out->set_status(Record.Status);
    Out->set_content_type(Record.ContentType);
    Out->set_body(Record.Body);
    Out->set_touched(Record.Touched);
  }
}

void claim_table::load(const wire::state_image &Image) {
  Records.clear();
  Touches.clear();
  for (const wire::stored_claim &In : Image.claims()) {
    // Older images hold session pins among the claims; see pins.cpp.
    if (In.space() == "session")
      continue;
    claim_key Key{In.account(), In.key()};
    Records[Key] = {.Value = In.value(),
                    .RequestHash = In.request_hash(),
                    .Touched = In.touched(),
                    .Finished = In.finished(),
                    .Freed = In.freed(),
                    .Abandoned = In.abandoned(),
                    .Kind = In.kind(),
                    .Status = In.status(),
                    .ContentType = In.content_type(),
                    .Body = In.body()};
    Touches.push_back({In.touched(), Key});
  }
  std::stable_sort(
      Touches.begin(), Touches.end(),
      [](const touch &A, const touch &B) { return A.Time < B.Time; });
}

} // namespace olivevalve
