//===- quarantine_manager.cpp - Decides which requests to quarantine ------===//

#include "control/quarantine_manager.h"
#include <algorithm>

namespace olivevalve {

namespace {

// By then a proposal is either applied or lost with its leader.
constexpr double ProposalTimeoutSeconds = 2;

wire::quarantine_change releaseOf(const short_digest &Request) {
  wire::quarantine_change Change;
  fillName(Request, *Change.mutable_release());
  return Change;
}

} // namespace

void quarantine_manager::addReports(const wire::crash_news &Crashes,
                                    double Now) {
  for (const wire::request_name &Name : Crashes.answered())
    Evidence.recordResponse(digestOf(Name), Now);
  for (const wire::crash_report &Report : Crashes.crashes())
    Evidence.addCrash(
        {.Request = digestOf(Report.request()), .Upstream = Report.upstream()},
        Now);
}

// A released request starts without evidence against it, whoever released it.
// Gateways keep sending their earlier crash reports for some time; recording an
// answer makes those count for nothing.
void quarantine_manager::synchronize(const quarantine_store &Quarantined,
                                     double Now) {
  std::erase_if(FirstSeenAt, [&](const auto &Each) {
    bool IsReleased = !Quarantined.contains(Each.first);
    if (IsReleased)
      Evidence.recordResponse(Each.first, Now);
    return IsReleased;
  });
  for (const wire::quarantined_request &Each : Quarantined.all())
    FirstSeenAt.try_emplace(digestOf(Each.request()), Now);
}

bool quarantine_manager::mayPropose(const short_digest &Request, double Now) {
  double &At = ProposedAt[Request];
  if (At > 0 && Now < At + ProposalTimeoutSeconds)
    return false;
  At = Now;
  return true;
}

std::vector<wire::quarantine_change>
quarantine_manager::changes(const quarantine_store &Quarantined, double Now) {
  synchronize(Quarantined, Now);
  std::erase_if(ProposedAt, [&](const auto &Each) {
    return Now >= Each.second + ProposalTimeoutSeconds;
  });
  std::vector<wire::quarantine_change> Changes;
  for (const auto &[Request, Since] : FirstSeenAt)
    if ((Evidence.answeredRecently(Request, Now) ||
         Now >= Since + MaxQuarantineSeconds) &&
        mayPropose(Request, Now))
      Changes.push_back(releaseOf(Request));
  for (const short_digest &Request : Evidence.requestsToQuarantine(Now)) {
    if (Quarantined.contains(Request) || !mayPropose(Request, Now))
      continue;
    wire::quarantined_request &Add = *Changes.emplace_back().mutable_add();
    fillName(Request, *Add.mutable_request());
    for (uint64_t Upstream : Evidence.crashedUpstreams(Request, Now))
      Add.add_upstreams(Upstream);
  }
  return Changes;
}

double quarantine_manager::secondsLeft(const short_digest &Request,
                                       double Now) const {
  auto It = FirstSeenAt.find(Request);
  double Since = It == FirstSeenAt.end() ? Now : It->second;
  return std::max(0.0, Since + MaxQuarantineSeconds - Now);
}

} // namespace olivevalve
