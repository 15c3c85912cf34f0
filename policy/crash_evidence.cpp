//===- crash_evidence.cpp - Requests that crash upstreams -----------------===//

#include "policy/crash_evidence.h"
#include <algorithm>
#include <array>
#include <cmath>

namespace olivevalve {

namespace {

// Evidence expires this long after the last crash: crashes further apart are
// not counted together.
constexpr double EvidenceSeconds = 600;
// How long a complete response clears a request. Frequent requests get a
// response more often than this.
constexpr double AnsweredSeconds = 60;
// By then all gateways have reported a crash.
constexpr double SettleSeconds = 0.6;
// By then a response to another prompt with the block, sent after the crash,
// has survived its beginning and is known here.
constexpr double UnclearedSeconds = 1.2;
// Natural logarithm of the odds against a coincidence from which on a rare
// block is blamed: one in a hundred. A trial soon releases what was blamed
// wrongly.
constexpr double MinSurprise = 4.6;
// Bounds on the estimated probability that a block is present by chance.
constexpr double MinChance = 0.01;
constexpr double MaxChance = 0.99;
// A frequent block that is to blame is present at most crashes.
constexpr double MinRate = 0.5;
// More frequent blocks than these cannot all be to blame: then upstreams crash
// for another reason.
constexpr size_t MaxAmbiguousBlocks = 2;
// If no response has cleared any of them for this time, the one with the most
// crashes is blamed.
constexpr double PersistentSeconds = 5;
// Crashes of which the circumstances are held, and for how long if there are
// more.
constexpr double SceneSeconds = 60;
constexpr size_t MaxScenes = 4096;

constexpr std::array<std::string_view, 2> KindNames = {"request", "block"};

bool isSettled(double CrashedAt, double Now) {
  return CrashedAt <= Now - SettleSeconds;
}

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
  if (IsBlock)
    addScene(Report, Now);
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
  auto Known = Record.Crashes.find(Report.Upstream);
  if (Known != Record.Crashes.end()) {
    Known->second.Share = std::max(Known->second.Share, Report.Share);
    Known->second.Begun = Known->second.Begun || Report.Begun;
  }
  size_t MaxCrashes = IsBlock ? MaxCrashesOfBlock : CrashesToQuarantine;
  if (Known != Record.Crashes.end() || Record.Crashes.size() >= MaxCrashes)
    return false;
  Order.erase(orderOf(Report.Cause, Record));
  Record.Crashes[Report.Upstream] = {.Request = Report.Request,
                                     .SentAt = Report.SentAt,
                                     .CrashedAt = CrashedAt,
                                     .Share = Report.Share,
                                     .Begun = Report.Begun};
  Record.LastAt = Now;
  Order.insert(orderOf(Report.Cause, Record));
  return true;
}

void crash_evidence::addScene(const crash_report &Report, double Now) {
  if (Scenes.size() >= MaxScenes && !Scenes.contains(Report.Upstream))
    std::erase_if(Scenes, [Now](const auto &Each) {
      return Now >= Each.second.At + SceneSeconds;
    });
  if (Scenes.size() >= MaxScenes)
    return;
  auto [It, IsNew] = Scenes.try_emplace(Report.Upstream);
  scene &Scene = It->second;
  Scene.At = IsNew ? Report.CrashedAt : std::min(Scene.At, Report.CrashedAt);
  crash_company &Company = Scene.Company[Report.Reporter];
  Company.Requests = std::max(Company.Requests, Report.Company.Requests);
  Company.Begun = std::max(Company.Begun, Report.Company.Begun);
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

// Upstreams that crash at the same time have a cause in common that is none of
// their requests, so one request must have been sent after the first crash.
bool crash_evidence::isRepeated(const crash_map &Crashes) {
  double FirstCrashAt = Crashes.begin()->second.CrashedAt;
  double LastSentAt = Crashes.begin()->second.SentAt;
  for (const auto &[Upstream, Crash] : Crashes) {
    FirstCrashAt = std::min(FirstCrashAt, Crash.CrashedAt);
    LastSentAt = std::max(LastSentAt, Crash.SentAt);
  }
  return LastSentAt > FirstCrashAt;
}

std::vector<const crash_evidence::scene *>
crash_evidence::scenesSince(const suspect_block &Suspect,
                            const std::set<uint64_t> &Explained,
                            double Now) const {
  std::vector<const scene *> Since;
  double FirstCrashAt = Suspect.firstCrashAt();
  for (const auto &[Upstream, Scene] : Scenes)
    if (Suspect.Crashes.contains(Upstream) ||
        (Scene.At >= FirstCrashAt && isSettled(Scene.At, Now) &&
         !Explained.contains(Upstream)))
      Since.push_back(&Scene);
  return Since;
}

// Chernoff's bound on the probability that a block is present at so many of the
// crashes by chance. By chance it is present if at least one of the requests
// that may be to blame contains it.
double crash_evidence::surprise(const suspect_block &Suspect,
                                const std::vector<const scene *> &Since,
                                blame Blame) {
  bool BegunOnly = Blame == blame::BegunOnly;
  double Share = 0;
  size_t Present = 0;
  for (const auto &[Upstream, Crash] : Suspect.Crashes) {
    Share += Crash.Share / double(Suspect.Crashes.size());
    Present += !BegunOnly || Crash.Begun;
  }
  if (Present < CrashesToQuarantine)
    return 0;
  double Chance = 0;
  for (const scene *Scene : Since) {
    uint32_t Company = 0;
    for (const auto &[Reporter, Each] : Scene->Company)
      Company += BegunOnly ? Each.Begun : Each.Requests;
    Chance += (1 - std::pow(1 - Share, Company)) / double(Since.size());
  }
  Chance = std::clamp(Chance, MinChance, MaxChance);
  double Rate = double(Present) / double(Since.size());
  if (Rate <= Chance)
    return 0;
  double Divergence = Rate * std::log(Rate / Chance);
  if (Rate < 1)
    Divergence += (1 - Rate) * std::log((1 - Rate) / (1 - Chance));
  return double(Since.size()) * Divergence;
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

double crash_evidence::suspect_block::firstCrashAt() const {
  double FirstAt = Crashes.begin()->second.CrashedAt;
  for (const auto &[Upstream, Crash] : Crashes)
    FirstAt = std::min(FirstAt, Crash.CrashedAt);
  return FirstAt;
}

std::set<uint64_t> crash_evidence::suspect_block::upstreams() const {
  std::set<uint64_t> Upstreams;
  for (const auto &[Upstream, Crash] : Crashes)
    Upstreams.insert(Upstream);
  return Upstreams;
}

std::vector<crash_evidence::suspect_block>
crash_evidence::suspectBlocks(const std::set<short_digest> &Quarantined,
                              const std::set<uint64_t> &Explained,
                              double Now) const {
  std::vector<suspect_block> Suspects;
  for (auto It = Order.rbegin();
       It != Order.rend() && std::get<size_t>(*It) >= CrashesToQuarantine;
       ++It) {
    const auto &Block = std::get<short_digest>(*It);
    const record *Record = find(Block, Now);
    if (!Record || Record->Kind != crash_cause_kind::Block ||
        Quarantined.contains(Block))
      continue;
    suspect_block Suspect{.Block = Block};
    // One request may itself be the cause.
    std::set<uint64_t> Requests;
    for (const auto &[Upstream, Crash] : Record->Crashes)
      if (isSettled(Crash.CrashedAt, Now) && !Explained.contains(Upstream)) {
        Suspect.Crashes[Upstream] = Crash;
        Requests.insert(Crash.Request);
      }
    if (Suspect.Crashes.size() < CrashesToQuarantine || Requests.size() < 2)
      continue;
    auto Since = scenesSince(Suspect, Explained, Now);
    if (Since.size() < Suspect.Crashes.size())
      continue; // The circumstances of some crashes are no longer held.
    Suspect.Rate = double(Suspect.Crashes.size()) / double(Since.size());
    // An upstream may crash before or after the head of its response.
    Suspect.Surprise = std::max(surprise(Suspect, Since, blame::AnySuspect),
                                surprise(Suspect, Since, blame::BegunOnly));
    Suspects.push_back(std::move(Suspect));
  }
  return Suspects;
}

// All prompts in progress have part of the crashes of the block to blame, and
// some blocks are in most prompts. A rare block is blamed if its presence at
// the crashes is no coincidence. Frequent blocks are always present; one of
// them is blamed if crashes go on and it is the only one that no response
// clears.
std::vector<crash_evidence::suspect_block>
crash_evidence::blocksToBlame(const std::set<short_digest> &Quarantined,
                              const std::set<uint64_t> &Explained,
                              double Now) const {
  std::vector<suspect_block> Suspects =
      suspectBlocks(Quarantined, Explained, Now);
  auto Surprising = std::max_element(
      Suspects.begin(), Suspects.end(),
      [](const auto &A, const auto &B) { return A.Surprise < B.Surprise; });
  if (Surprising != Suspects.end() && Surprising->Surprise >= MinSurprise) {
    // Blocks that are always in the same prompts cannot be told apart.
    std::set<uint64_t> Upstreams = Surprising->upstreams();
    std::erase_if(Suspects, [&](const suspect_block &Each) {
      return Each.Surprise < MinSurprise || Each.upstreams() != Upstreams;
    });
    return Suspects;
  }
  std::erase_if(Suspects, [Now](const suspect_block &Each) {
    crash_map Old = Each.Crashes;
    std::erase_if(Old, [Now](const auto &Crash) {
      return Crash.second.CrashedAt > Now - UnclearedSeconds;
    });
    return Each.Rate < MinRate || Old.size() < CrashesToQuarantine ||
           !isRepeated(Old);
  });
  if (Suspects.size() <= MaxAmbiguousBlocks)
    return Suspects;
  // While all upstreams crash again and again, no response can clear any block.
  std::erase_if(Suspects, [Now](const suspect_block &Each) {
    return Each.firstCrashAt() > Now - PersistentSeconds;
  });
  auto Most = std::max_element(Suspects.begin(), Suspects.end(),
                               [](const auto &A, const auto &B) {
                                 return A.Crashes.size() < B.Crashes.size();
                               });
  if (Most == Suspects.end())
    return {};
  return {*Most};
}

std::vector<crash_verdict>
crash_evidence::verdicts(const std::vector<short_digest> &Quarantined,
                         double Now) const {
  std::vector<crash_verdict> Verdicts;
  std::set<short_digest> Blocks(Quarantined.begin(), Quarantined.end());
  std::set<uint64_t> Explained = explainedBy(Quarantined, Now);
  // Ends, as each turn adds to the blocks that are passed over.
  for (;;) {
    std::vector<suspect_block> Blamed = blocksToBlame(Blocks, Explained, Now);
    if (Blamed.empty())
      break;
    for (const suspect_block &Each : Blamed) {
      crash_verdict Verdict{.Cause = Each.Block,
                            .Kind = crash_cause_kind::Block,
                            .Upstreams = Each.upstreams()};
      for (const auto &[Upstream, Crash] : Each.Crashes)
        Verdict.LastCrashAt = std::max(Verdict.LastCrashAt, Crash.CrashedAt);
      Blocks.insert(Each.Block);
      Explained.insert(Verdict.Upstreams.begin(), Verdict.Upstreams.end());
      Verdicts.push_back(std::move(Verdict));
    }
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
