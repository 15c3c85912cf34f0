//===- usage_collector.cpp - Sums of what gateways counted ----------------===//

#include "duty/usage_collector.h"
#include <algorithm>

namespace olivevalve {

namespace {

// A gateway that has not reported for this long has ended or is cut off. No
// report waits for it longer than usage_schedule allows.
constexpr double ReporterTimeoutSeconds = 10;

} // namespace

bool usage_collector::record(uint64_t Incarnation, const std::string &Node,
                             const wire::usage_update &Update, uint64_t Term,
                             uint64_t NextWindow, double Now) {
  auto [It, New] = Reporters.try_emplace(Incarnation);
  if (New)
    std::erase_if(Reporters, [&](const auto &Each) {
      return Each.first != Incarnation && !Node.empty() &&
             Each.second.Node == Node;
    });
  reporter &Reporter = Reporters[Incarnation];
  Reporter.Node = Node;
  bool Whole = Update.base_term() == 0 || Update.base_term() == Term;
  if (Whole)
    Reporter.CompleteBefore =
        std::max(Reporter.CompleteBefore, Update.complete_before());
  Reporter.LastAt = Now;
  for (const wire::usage_window &Window : Update.windows()) {
    if (Window.window() < NextWindow)
      continue;
    totals &Totals = Windows[Window.window()][Incarnation];
    for (const wire::account_count &Count : Window.counts()) {
      uint64_t &Total = Totals[Count.account()];
      Total = std::max<uint64_t>(Total, Count.requests());
    }
  }
  return Whole;
}

void usage_collector::forget(uint64_t NextWindow, double Now) {
  Windows.erase(Windows.begin(), Windows.lower_bound(NextWindow));
  std::erase_if(Reporters, [Now](const auto &Each) {
    return Each.second.LastAt + ReporterTimeoutSeconds < Now;
  });
}

bool usage_collector::complete(uint64_t Window) const {
  return !Reporters.empty() &&
         std::all_of(Reporters.begin(), Reporters.end(),
                     [Window](const auto &Each) {
                       return Each.second.CompleteBefore > Window;
                     });
}

wire::usage_window usage_collector::total(uint64_t Window) const {
  totals Sum;
  if (auto It = Windows.find(Window); It != Windows.end())
    for (const auto &[Incarnation, Totals] : It->second)
      for (const auto &[Account, Requests] : Totals)
        Sum[Account] += Requests;
  wire::usage_window Report;
  Report.set_window(Window);
  for (const auto &[Account, Requests] : Sum) {
    wire::account_count *Count = Report.add_counts();
    Count->set_account(Account);
    Count->set_requests(Requests);
  }
  return Report;
}

} // namespace olivevalve
