//===- retry_pool.h - Retry tokens that gateways share ----------*- C++ -*-===//
//
// With many gateways each gets too few requests to have a token of the shared
// retry bound whenever it needs one, while others cannot save all of theirs.
// The leader of control collects tokens that gateways return and lends them to
// those that run out. Pure.
//
// A token is lent once: if the message is lost, so is the token. The pool, all
// tokens that are lent, and those that gateways save beyond their part of the
// ratio stay within the part of the slack that may be saved.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_RETRY_POOL_H
#define OLIVEVALVE_POLICY_RETRY_POOL_H

#include "policy/retry_share.h"
#include <unordered_map>

namespace olivevalve {

/// The pool of one service during one term of a leader. All times are
/// steady-clock seconds.
class retry_pool {
public:
  /// Lends nothing before \p LendsFrom, by when all gateways have told this
  /// leader what they hold.
  retry_pool(retry_window_bounds Bounds, double LendsFrom, double Now);

  void setBounds(retry_window_bounds NewBounds) { Bounds = NewBounds; }
  /// Handles the report of a gateway. Returns the number of tokens lent to it
  /// in this term. \p SameTerm: its report refers to tokens lent in this term.
  uint64_t update(uint64_t Gateway, const retry_report &Report, bool SameTerm,
                  double Now);
  /// Drops gateways that have not reported for some seconds: they drop what
  /// they hold before that.
  void forgetSilent(double Now);
  /// Tokens that can be lent now.
  double tokens() const { return Tokens; }

private:
  struct borrower {
    uint64_t Lent = 0;
    /// Lent and not known to be used or returned, and the gateway's excess.
    double Outstanding = 0;
    double Returned = 0;
    double ReportedAt = 0;
  };

  void advanceTo(double Now);
  double room() const;
  uint64_t spareTokens() const;

  retry_window_bounds Bounds;
  double LendsFrom;
  double AdvancedAt;
  double Tokens = 0;
  double Demand = 0;      ///< Tokens that requests waited for lately.
  double Outstanding = 0; ///< Sum over all borrowers.
  std::unordered_map<uint64_t, borrower> Borrowers; ///< By incarnation.
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_RETRY_POOL_H
