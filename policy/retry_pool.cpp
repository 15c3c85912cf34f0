//===- retry_pool.cpp - Retry tokens that gateways share ------------------===//

#include "policy/retry_pool.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace olivevalve {

namespace {

// The part of the slack that the pool obtains in each window, so that it is
// filled some time after a new leader was elected.
constexpr double TimePart = 0.2;
// Tokens that are lent before they are needed may not be used at all. So the
// pool keeps as many as requests waited for in about this time, and at least a
// few if there are other gateways, for those that will wait.
constexpr double DemandSeconds = 5;
constexpr double MinReserve = 5;
constexpr double MaxReservedPart = 0.5;
// A gateway drops the tokens that it was lent earlier, see retry_share.
constexpr double BorrowerTimeoutSeconds = 10;

} // namespace

retry_pool::retry_pool(retry_window_bounds NewBounds, double LendsFrom,
                       double Now)
    : Bounds(NewBounds), LendsFrom(LendsFrom), AdvancedAt(Now) {}

double retry_pool::room() const {
  return std::max(0.0, SavedSlackPart * Bounds.Slack - Outstanding);
}

void retry_pool::advanceTo(double Now) {
  double Elapsed = std::max(0.0, Now - std::exchange(AdvancedAt, Now));
  Tokens += TimePart * Bounds.Slack * Elapsed / Bounds.WindowSeconds;
  Tokens = std::min(Tokens, room());
  Demand *= std::exp(-Elapsed / DemandSeconds);
}

// Tokens that can be lent before they are needed.
uint64_t retry_pool::spareTokens() const {
  double Few = std::min({MinReserve, double(Borrowers.size()) - 1,
                         MaxReservedPart * SavedSlackPart * Bounds.Slack});
  return uint64_t(std::max(0.0, Tokens - std::max(Demand, Few)));
}

uint64_t retry_pool::update(uint64_t Gateway, const retry_report &Report,
                            bool SameTerm, double Now) {
  auto [It, New] = Borrowers.try_emplace(Gateway);
  borrower &Borrower = It->second;
  Outstanding -= Borrower.Outstanding;
  // What a gateway returned before this leader knew it went to another pool.
  double Returned =
      New ? 0 : std::max(0.0, Report.Returned - Borrower.Returned);
  // A gateway that was dropped keeps its total.
  if (New && SameTerm)
    Borrower.Lent = Report.Received;
  uint64_t Received = SameTerm ? std::min(Report.Received, Borrower.Lent) : 0;
  uint64_t OnTheWay = Borrower.Lent - Received;
  Borrower.Returned = std::max(Borrower.Returned, Report.Returned);
  Borrower.Outstanding = double(Report.Held) + double(OnTheWay) + Report.Excess;
  Borrower.ReportedAt = Now;
  Outstanding += Borrower.Outstanding;
  advanceTo(Now);
  Tokens = std::min(Tokens + Returned, room());
  Demand += double(Report.Wanted);
  uint64_t Wanted = Report.Wanted + std::min(Report.Ahead, spareTokens());
  if (Now < LendsFrom || Wanted <= OnTheWay)
    return Borrower.Lent;
  uint64_t Loan = std::min(Wanted - OnTheWay, uint64_t(Tokens));
  Tokens -= double(Loan);
  Borrower.Lent += Loan;
  Borrower.Outstanding += double(Loan);
  Outstanding += double(Loan);
  return Borrower.Lent;
}

void retry_pool::forgetSilent(double Now) {
  std::erase_if(Borrowers, [&](const auto &Each) {
    bool Silent = Each.second.ReportedAt + BorrowerTimeoutSeconds < Now;
    if (Silent)
      Outstanding -= Each.second.Outstanding;
    return Silent;
  });
}

} // namespace olivevalve
