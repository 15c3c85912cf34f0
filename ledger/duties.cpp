//===- duties.cpp - Who calls the platform, and usage reports -------------===//

#include "ledger/duties.h"
#include <algorithm>

namespace olivevalve {

void duty_store::claim(uint64_t Index, const wire::duty_claim &Claim) {
  Token = Index;
  ControlVm = Claim.control_vm();
  Node = Claim.node();
  if (NextWindow == 0)
    NextWindow = Claim.first_window();
}

void duty_store::fix(const wire::usage_window &Report) {
  if (Report.window() < NextWindow)
    return;
  if (NextWindow > 0)
    Missed += Report.window() - NextWindow;
  NextWindow = Report.window() + 1;
  Pending[Report.window()] = Report;
  if (Pending.size() > MaxPendingReports) {
    Pending.erase(Pending.begin());
    ++Missed;
  }
}

void duty_store::finish(const wire::usage_result &Result) {
  if (Pending.erase(Result.window()) == 0)
    return;
  if (Result.accepted())
    LastAccepted = std::max(LastAccepted, Result.window());
  else
    ++Missed;
}

void duty_store::save(wire::state_image &Image) const {
  wire::duty_image *Out = Image.mutable_duties();
  Out->set_token(Token);
  Out->set_control_vm(ControlVm);
  Out->set_node(Node);
  Out->set_next_window(NextWindow);
  for (const auto &[Window, Report] : Pending)
    *Out->add_pending() = Report;
  Out->set_last_accepted(LastAccepted);
  Out->set_missed(Missed);
}

void duty_store::load(const wire::state_image &Image) {
  const wire::duty_image &In = Image.duties();
  Token = In.token();
  ControlVm = In.control_vm();
  Node = In.node();
  NextWindow = In.next_window();
  for (const wire::usage_window &Report : In.pending())
    Pending[Report.window()] = Report;
  LastAccepted = In.last_accepted();
  Missed = In.missed();
}

} // namespace olivevalve
