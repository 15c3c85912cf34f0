//===- duty_holder.h - When this control VM may call ------------*- C++ -*-===//
//
// Decides whether a control VM may make the calls to the platform that only one
// process may make. The leader claims them with a log entry, whose index is the
// fencing token. It calls only under its leader lease, which ends before
// another VM can lead, and not before the lease of the calls has passed since
// its claim: two holders then never take turns within one lease. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_DUTY_DUTY_HOLDER_H
#define OLIVEVALVE_DUTY_DUTY_HOLDER_H

#include <cstdint>
#include <optional>

namespace olivevalve {

/// What a control VM knows of its leadership. Times are steady-clock seconds.
struct leadership {
  bool HasLease = false; ///< No other VM can have become leader.
  uint64_t Term = 0;
};

class duty_holder {
public:
  /// \p LeaseSeconds: within this time no two holders may take turns.
  explicit duty_holder(double LeaseSeconds) : LeaseSeconds(LeaseSeconds) {}

  /// True if this VM has to propose a claim now. Until claimed() or
  /// claimFailed() the claim counts as proposed.
  bool shouldClaim(const leadership &Leadership, double Now);
  /// The claim was committed at log index \p Token and is the newest one.
  void claimed(uint64_t Token, double Now);
  /// Leadership was lost, or another claim follows this one.
  void claimFailed() { Proposed = false; }
  /// The platform knows a higher token than \p RefusedToken.
  void refused(uint64_t RefusedToken, double Now);
  /// The token to call with now; none: this VM may not call. \p CommittedToken
  /// is that of the newest claim that this VM knows.
  std::optional<uint64_t> token(const leadership &Leadership,
                                uint64_t CommittedToken, double Now) const;

private:
  double LeaseSeconds;
  uint64_t Token = 0; ///< 0: no claim of this term is committed.
  uint64_t Term = 0;  ///< In which this VM claimed.
  bool Proposed = false;
  double MayCallFrom = 0;
  double MayClaimFrom = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_DUTY_DUTY_HOLDER_H
