//===- quarantine_manager.cpp - Decides which requests to quarantine ------===//

#include "control/quarantine_manager.h"
#include <algorithm>
#include <array>

namespace olivevalve {

namespace {

// By then a proposal is either applied or lost with its leader.
constexpr double ProposalTimeoutSeconds = 2;
// Time before each trial of a cause. The first one releases soon what was only
// in progress during crashes; each costs an upstream if the cause is to blame.
constexpr std::array<double, 4> TrialDelays = {1, 60, 600, 3600};
// A trial is granted only to a process that has just kept back a request, so
// that it can use it.
constexpr double WantedSeconds = 2;

// Crashes and responses longer ago do not matter.
constexpr double MaxAgeSeconds = 3600;

// More requests than one process has at an upstream.
constexpr uint32_t MaxCompany = 1 << 16;

// The age in a message, which may be any number or none.
double ageOf(float Age) {
  return Age >= 0 ? std::min(double(Age), MaxAgeSeconds) : 0;
}

double trialDelay(uint32_t Trials) {
  return TrialDelays[std::min(size_t(Trials), TrialDelays.size() - 1)];
}

wire::quarantine_change releaseOf(const short_digest &Cause) {
  wire::quarantine_change Change;
  fillName(Cause, *Change.mutable_release());
  return Change;
}

wire::quarantine_change trialOf(const short_digest &Cause, uint32_t Number,
                                uint64_t Holder) {
  wire::quarantine_change Change;
  wire::quarantine_trial *Trial = Change.mutable_trial();
  fillName(Cause, *Trial->mutable_cause());
  Trial->set_number(Number);
  Trial->set_holder(Holder);
  return Change;
}

wire::quarantine_change additionOf(const crash_verdict &Verdict, double Now) {
  wire::quarantine_change Change;
  wire::quarantined_request &Add = *Change.mutable_add();
  fillName(Verdict.Cause, *Add.mutable_request());
  for (uint64_t Upstream : Verdict.Upstreams)
    Add.add_upstreams(Upstream);
  if (Verdict.Kind == crash_cause_kind::Block) {
    Add.set_kind(wire::CRASH_CAUSE_BLOCK);
    Add.set_crash_age(float(Now - Verdict.LastCrashAt));
  }
  return Change;
}

crash_report reportOf(const wire::crash_report &Report, uint64_t Reporter,
                      double Now) {
  crash_report Read{.Cause = digestOf(Report.request()),
                    .Upstream = Report.upstream()};
  if (Report.kind() != wire::CRASH_CAUSE_BLOCK)
    return Read;
  Read.Kind = crash_cause_kind::Block;
  Read.Request = Report.under();
  Read.SentAt = Now - ageOf(Report.sent_age());
  Read.CrashedAt = Now - ageOf(Report.crash_age());
  Read.Reporter = Reporter;
  Read.Share = Report.share() >= 0 ? std::min(double(Report.share()), 1.0) : 0;
  Read.Begun = Report.begun();
  Read.Company.Requests = std::min(Report.company().requests(), MaxCompany);
  Read.Company.Begun =
      std::min(Report.company().begun(), Read.Company.Requests);
  return Read;
}

} // namespace

void quarantine_manager::addReports(const wire::crash_news &Crashes, double Now,
                                    uint64_t Sender) {
  for (const wire::request_name &Name : Crashes.answered())
    Evidence.recordResponse(digestOf(Name), Now);
  for (const wire::block_survival &Each : Crashes.survivals())
    Evidence.recordSurvival(digestOf(Each.block()),
                            Now - ageOf(Each.begun_age()));
  for (const wire::crash_report &Report : Crashes.crashes())
    Evidence.addCrash(reportOf(Report, Sender, Now), Now);
  for (const wire::request_name &Name : Crashes.wanted()) {
    auto It = Observed.find(digestOf(Name));
    if (It == Observed.end())
      continue;
    It->second.WantedBy = Sender;
    It->second.WantedAt = Now;
  }
}

// A released cause starts without evidence against it, whoever released it.
// Gateways keep sending their earlier crash reports for some time; recording a
// response makes those count for nothing.
void quarantine_manager::synchronize(const quarantine_store &Quarantined,
                                     double Now) {
  std::erase_if(Observed, [&](const auto &Each) {
    const auto &[Cause, Seen] = Each;
    if (Quarantined.contains(Cause))
      return false;
    if (Seen.Kind == crash_cause_kind::Block)
      Evidence.recordSurvival(Cause, Now);
    else
      Evidence.recordResponse(Cause, Now);
    return true;
  });
  for (const wire::quarantined_request &Each : Quarantined.all()) {
    observation First{.LastCrashAt = Now - ageOf(Each.crash_age()),
                      .Trials = Each.trials(),
                      .ChangedAt = Now};
    if (Each.kind() == wire::CRASH_CAUSE_BLOCK)
      First.Kind = crash_cause_kind::Block;
    observation &Seen =
        Observed.try_emplace(digestOf(Each.request()), First).first->second;
    if (Seen.Trials == Each.trials())
      continue;
    Seen.Trials = Each.trials();
    Seen.ChangedAt = Now;
  }
}

bool quarantine_manager::mayPropose(const short_digest &Cause, double Now) {
  double &At = ProposedAt[Cause];
  if (At > 0 && Now < At + ProposalTimeoutSeconds)
    return false;
  At = Now;
  return true;
}

// Requests that were in progress when a block crashed upstreams are released
// once the block is in quarantine.
bool quarantine_manager::isReleasable(const short_digest &Cause,
                                      const observation &Seen,
                                      const std::vector<short_digest> &Blocks,
                                      double Now) const {
  bool IsForgotten =
      Now >= std::max(Seen.ChangedAt, Seen.WantedAt) + MaxQuarantineSeconds;
  if (IsForgotten)
    return true;
  if (Seen.Kind == crash_cause_kind::Block)
    return Evidence.isCleared(Cause, Seen.LastCrashAt);
  return Evidence.answeredRecently(Cause, Now) ||
         Evidence.isExplained(Cause, Blocks, Now);
}

std::vector<wire::quarantine_change>
quarantine_manager::changes(const quarantine_store &Quarantined, double Now) {
  synchronize(Quarantined, Now);
  std::erase_if(ProposedAt, [&](const auto &Each) {
    return Now >= Each.second + ProposalTimeoutSeconds;
  });
  std::vector<short_digest> Blocks;
  for (const auto &[Cause, Seen] : Observed)
    if (Seen.Kind == crash_cause_kind::Block)
      Blocks.push_back(Cause);
  std::vector<wire::quarantine_change> Changes;
  for (const auto &[Cause, Seen] : Observed) {
    bool TrialIsDue = Now >= Seen.ChangedAt + trialDelay(Seen.Trials) &&
                      Now < Seen.WantedAt + WantedSeconds;
    if (isReleasable(Cause, Seen, Blocks, Now) && mayPropose(Cause, Now))
      Changes.push_back(releaseOf(Cause));
    else if (TrialIsDue && mayPropose(Cause, Now))
      Changes.push_back(trialOf(Cause, Seen.Trials + 1, Seen.WantedBy));
  }
  for (const crash_verdict &Verdict : Evidence.verdicts(Blocks, Now))
    if (!Quarantined.contains(Verdict.Cause) && mayPropose(Verdict.Cause, Now))
      Changes.push_back(additionOf(Verdict, Now));
  return Changes;
}

double quarantine_manager::secondsLeft(const short_digest &Cause,
                                       double Now) const {
  auto It = Observed.find(Cause);
  double Since = It == Observed.end()
                     ? Now
                     : std::max(It->second.ChangedAt, It->second.WantedAt);
  return std::max(0.0, Since + MaxQuarantineSeconds - Now);
}

} // namespace olivevalve
