//===- crash_evidence.cpp - Requests that crash upstreams -----------------===//

#include "policy/crash_evidence.h"
#include <algorithm>
#include <array>

namespace olivevalve {

namespace {

// Evidence expires this long after the last crash: crashes further apart are
// not counted together.
constexpr double EvidenceSeconds = 600;
// How long a complete response clears a request. Frequent requests get a
// response more often than this.
constexpr double AnsweredSeconds = 60;
// A crash counts against a block only after this time: by then a response to
// another prompt with the block, sent after the crash, has survived its
// beginning and is known here. It leaves time for the verdict to spread: all
// gateways must have it 3 s after the fifth crash.
constexpr double SettleSeconds = 1.2;

constexpr std::array<std::string_view, 2> KindNames = {"request", "block"};

std::set<uint64_t> withoutExplained(const std::set<uint64_t> &Upstreams,
                                    const std::set<uint64_t> &Explained) {
  std::set<uint64_t> Rest;
  std::set_difference(Upstreams.begin(), Upstreams.end(), Explained.begin(),
                      Explained.end(), std::inserter(Rest, Rest.end()));
  return Rest;
}

} // namespace

std::string_view nameOf(crash_cause_kind Kind) {
  return KindNames[size_t(Kind)];
}

void cleared_causes::add(const short_digest &Cause, double Until) {
  entry &Entry = Table[indexOf(Cause)];
  bool Same = Entry.Cause == Cause;
  Entry = {.Cause = Cause,
           .Until = Same ? std::max(Until, Entry.Until) : Until};
}

std::optional<double> cleared_causes::until(const short_digest &Cause) const {
  const entry &Entry = Table[indexOf(Cause)];
  return Entry.Cause == Cause ? std::optional(Entry.Until) : std::nullopt;
}

crash_evidence::crash_evidence(crash_evidence_options NewOptions)
    : Options(NewOptions), Cleared(NewOptions.MaxCleared) {}

bool crash_evidence::isCurrent(const record &Record, double Now) const {
  return Now < Record.LastAt + EvidenceSeconds;
}

const crash_evidence::record *crash_evidence::find(const short_digest &Cause,
                                                   double Now) const {
  auto It = Records.find(Cause);
  bool Found = It != Records.end() && isCurrent(It->second, Now);
  return Found ? &It->second : nullptr;
}

void crash_evidence::makeRoom() {
  while (Records.size() >= Options.MaxCauses) {
    Records.erase(std::get<short_digest>(*Order.begin()));
    Order.erase(Order.begin());
  }
}

bool crash_evidence::isCleared(const short_digest &Cause, double At) const {
  std::optional<double> Until = Cleared.until(Cause);
  return Until && At < *Until;
}

bool crash_evidence::addCrash(const crash_report &Report, double Now) {
  bool IsBlock = Report.Kind == crash_cause_kind::Block;
  double CrashedAt = IsBlock ? Report.CrashedAt : Now;
  if (isCleared(Report.Cause, CrashedAt))
    return false;
  if (!find(Report.Cause, Now))
    clear(Report.Cause);
  auto It = Records.find(Report.Cause);
  if (It == Records.end()) {
    makeRoom();
    It = Records.try_emplace(Report.Cause, record{.Kind = Report.Kind}).first;
  }
  record &Record = It->second;
  size_t MaxCrashes = IsBlock ? MaxCrashesOfBlock : CrashesToQuarantine;
  if (Record.Crashes.contains(Report.Upstream) ||
      Record.Crashes.size() >= MaxCrashes)
    return false;
  Order.erase(orderOf(Report.Cause, Record));
  Record.Crashes[Report.Upstream] = {.Request = Report.Request,
                                     .SentAt = Report.SentAt,
                                     .CrashedAt = CrashedAt};
  Record.LastAt = Now;
  Order.insert(orderOf(Report.Cause, Record));
  return true;
}

bool crash_evidence::recordResponse(const short_digest &Request, double Now) {
  return clearUntil(Request, Now + AnsweredSeconds);
}

bool crash_evidence::recordSurvival(const short_digest &Block, double BegunAt) {
  return clearUntil(Block, BegunAt);
}

bool crash_evidence::clearUntil(const short_digest &Cause, double Until) {
  Cleared.add(Cause, Until);
  auto It = Records.find(Cause);
  if (It == Records.end())
    return false;
  record &Record = It->second;
  Order.erase(orderOf(Cause, Record));
  size_t Removed = std::erase_if(Record.Crashes, [Until](const auto &Each) {
    return Each.second.CrashedAt < Until;
  });
  if (Record.Crashes.empty())
    Records.erase(It);
  else
    Order.insert(orderOf(Cause, Record));
  return Removed > 0;
}

void crash_evidence::clear(const short_digest &Cause) {
  auto It = Records.find(Cause);
  if (It == Records.end())
    return;
  Order.erase(orderOf(Cause, It->second));
  Records.erase(It);
}

std::set<uint64_t> crash_evidence::crashedUpstreams(const short_digest &Cause,
                                                    double Now) const {
  std::set<uint64_t> Upstreams;
  if (const record *Record = find(Cause, Now))
    for (const auto &[Upstream, Crash] : Record->Crashes)
      Upstreams.insert(Upstream);
  return Upstreams;
}

bool crash_evidence::shouldQuarantine(const short_digest &Request,
                                      double Now) const {
  const record *Record = find(Request, Now);
  return Record && Record->Kind == crash_cause_kind::Request &&
         Record->Crashes.size() >= CrashesToQuarantine;
}

// One request with the block may itself be the cause, and upstreams that crash
// at the same time have a cause in common that is none of their requests. So
// there must be two requests, and one that was sent after the first crash.
bool crash_evidence::isConvicted(const crash_map &Crashes) {
  if (Crashes.size() < CrashesToQuarantine)
    return false;
  std::set<uint64_t> Requests;
  double FirstCrashAt = Crashes.begin()->second.CrashedAt;
  double LastSentAt = Crashes.begin()->second.SentAt;
  for (const auto &[Upstream, Crash] : Crashes) {
    Requests.insert(Crash.Request);
    FirstCrashAt = std::min(FirstCrashAt, Crash.CrashedAt);
    LastSentAt = std::max(LastSentAt, Crash.SentAt);
  }
  return Requests.size() > 1 && LastSentAt > FirstCrashAt;
}

std::set<uint64_t>
crash_evidence::explainedBy(const std::vector<short_digest> &Blocks,
                            double Now) const {
  std::set<uint64_t> Explained;
  for (const short_digest &Block : Blocks)
    Explained.merge(crashedUpstreams(Block, Now));
  return Explained;
}

bool crash_evidence::isExplained(const short_digest &Request,
                                 const std::vector<short_digest> &Blocks,
                                 double Now) const {
  std::set<uint64_t> Upstreams = crashedUpstreams(Request, Now);
  return !Upstreams.empty() &&
         withoutExplained(Upstreams, explainedBy(Blocks, Now)).empty();
}

// Each prompt with the block to blame contains other blocks, and other prompts
// are in progress when it crashes an upstream. All of these have part of the
// crashes of the block to blame, so the block with the most crashes is taken
// first. Blocks with the very same crashes cannot be told apart.
std::vector<crash_verdict>
crash_evidence::verdicts(const std::vector<short_digest> &Quarantined,
                         double Now) const {
  std::vector<crash_verdict> Verdicts;
  std::set<uint64_t> Explained = explainedBy(Quarantined, Now);
  std::set<std::set<uint64_t>> Blamed; // Sets of crashes.
  for (auto It = Order.rbegin();
       It != Order.rend() && std::get<size_t>(*It) >= CrashesToQuarantine;
       ++It) {
    const auto &Block = std::get<short_digest>(*It);
    const record *Record = find(Block, Now);
    bool IsNew = Record && Record->Kind == crash_cause_kind::Block &&
                 std::find(Quarantined.begin(), Quarantined.end(), Block) ==
                     Quarantined.end();
    if (!IsNew)
      continue;
    crash_verdict Verdict{.Cause = Block, .Kind = crash_cause_kind::Block};
    crash_map Settled;
    crash_map Unexplained;
    for (const auto &[Upstream, Crash] : Record->Crashes) {
      if (Crash.CrashedAt > Now - SettleSeconds)
        continue;
      Settled[Upstream] = Crash;
      if (!Explained.contains(Upstream))
        Unexplained[Upstream] = Crash;
      Verdict.Upstreams.insert(Upstream);
      Verdict.LastCrashAt = std::max(Verdict.LastCrashAt, Crash.CrashedAt);
    }
    bool SameAsBlamed = Blamed.contains(Verdict.Upstreams);
    if (!isConvicted(SameAsBlamed ? Settled : Unexplained))
      continue;
    Explained.insert(Verdict.Upstreams.begin(), Verdict.Upstreams.end());
    Blamed.insert(Verdict.Upstreams);
    Verdicts.push_back(std::move(Verdict));
  }
  for (auto It = Order.rbegin();
       It != Order.rend() && std::get<size_t>(*It) >= CrashesToQuarantine;
       ++It) {
    const auto &Request = std::get<short_digest>(*It);
    if (!shouldQuarantine(Request, Now))
      continue;
    std::set<uint64_t> Upstreams = crashedUpstreams(Request, Now);
    if (withoutExplained(Upstreams, Explained).size() >= CrashesToQuarantine)
      Verdicts.push_back({.Cause = Request,
                          .Upstreams = std::move(Upstreams),
                          .LastCrashAt = Now});
  }
  return Verdicts;
}

} // namespace olivevalve
