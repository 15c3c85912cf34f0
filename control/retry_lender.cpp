//===- retry_lender.cpp - Lends retry tokens to gateways ------------------===//

#include "control/retry_lender.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Within this time after an election all gateways have told the new leader what
// they hold of earlier loans.
constexpr double AllReportedSeconds = 2;

} // namespace

wire::retry_grant retry_lender::handle(const wire::retry_ask &Ask,
                                       uint64_t NewTerm, double LeaderSince,
                                       double Now) {
  if (Term != NewTerm) {
    Term = NewTerm;
    Pools.clear();
  }
  // The settings of control and of the gateways may differ.
  retry_window_bounds PoolBounds = Bounds;
  if (Ask.window_seconds() > 0) {
    PoolBounds.Slack = std::min(Bounds.Slack, Ask.slack());
    PoolBounds.WindowSeconds =
        std::max(Bounds.WindowSeconds, Ask.window_seconds());
  }
  wire::retry_grant Grant;
  Grant.set_term(Term);
  for (const wire::retry_tokens &Tokens : Ask.services()) {
    retry_pool &Pool =
        Pools
            .try_emplace(Tokens.service(), PoolBounds,
                         LeaderSince + AllReportedSeconds, LeaderSince)
            .first->second;
    Pool.setBounds(PoolBounds);
    Pool.forgetSilent(Now);
    wire::retry_loan *Loan = Grant.add_services();
    Loan->set_service(Tokens.service());
    Loan->set_total(Pool.update(Ask.incarnation(),
                                {.Term = Tokens.term(),
                                 .Received = Tokens.received(),
                                 .Held = Tokens.held(),
                                 .Returned = Tokens.returned(),
                                 .Wanted = Tokens.wanted(),
                                 .Ahead = Tokens.ahead(),
                                 .Excess = Tokens.excess()},
                                Tokens.term() == Term, Now));
  }
  return Grant;
}

} // namespace olivevalve
