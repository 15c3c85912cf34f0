//===- duty_holder.cpp - When this control VM may call --------------------===//

#include "duty/duty_holder.h"

namespace olivevalve {

bool duty_holder::shouldClaim(const leadership &Leadership, double Now) {
  if (!Leadership.HasLease)
    return false;
  if (Leadership.Term != Term) {
    Term = Leadership.Term;
    Token = 0;
    Proposed = false;
  }
  if (Token != 0 || Proposed || Now < MayClaimFrom)
    return false;
  Proposed = true;
  return true;
}

void duty_holder::claimed(uint64_t NewToken, double Now) {
  Proposed = false;
  Token = NewToken;
  MayCallFrom = Now + LeaseSeconds;
}

// A higher token without a newer claim in the log: the platform heard another
// group of control VMs, or this VM no longer leads and does not know it yet.
void duty_holder::refused(uint64_t RefusedToken, double Now) {
  if (RefusedToken != Token)
    return;
  Token = 0;
  MayClaimFrom = Now + LeaseSeconds;
}

std::optional<uint64_t> duty_holder::token(const leadership &Leadership,
                                           uint64_t CommittedToken,
                                           double Now) const {
  bool Holds = Token != 0 && Leadership.HasLease && Leadership.Term == Term &&
               CommittedToken == Token && Now >= MayCallFrom;
  return Holds ? std::optional(Token) : std::nullopt;
}

} // namespace olivevalve
