//===- software_versions.cpp - Software version for a request -------------===//

#include "gateway/software_versions.h"
#include "gateway/upstream_table.h"
#include "ledger/rollouts.h"
#include <cstdint>

namespace olivevalve {

namespace {

constexpr uint64_t HashBuckets = 1'000'000;
// A response that takes this many times as long as usual is late.
constexpr double LatePace = 2.5;

} // namespace

void software_versions::apply(const wire::notice &Notice,
                              upstream_table &Upstreams) {
  for (const wire::rollout &Rollout : Notice.rollouts()) {
    Rollouts[Rollout.service()] = Rollout;
    if (Rollout.stage() == wire::COMPLETED)
      Upstreams.setStableVersion(Rollout.service(), Rollout.target_version());
    else if (!Rollout.former_version().empty())
      Upstreams.setStableVersion(Rollout.service(), Rollout.former_version());
    else
      Upstreams.setUnstableVersion(Rollout.service(), Rollout.target_version());
    if (!isCanaryVersion(Rollout.service(), Rollout.target_version()))
      addUpUpstreams(Rollout.service(), Rollout.target_version());
  }
}

// Without this, each roll-out would make the messages to control longer.
void software_versions::addUpUpstreams(const std::string &Service,
                                       const std::string &Version) {
  auto Begin = Tallies.upper_bound({Service, Version, 0});
  auto End = Tallies.upper_bound({Service, Version, UINT64_MAX});
  version_tally Sum;
  for (auto It = Begin; It != End; ++It)
    Sum += It->second;
  if (Begin == End)
    return;
  Tallies.erase(Begin, End);
  Tallies[{Service, Version, 0}] += Sum;
}

const std::string &software_versions::versionFor(const std::string &Service,
                                                 const std::string &Stable,
                                                 const std::string &Pinned,
                                                 uint64_t SessionHash,
                                                 double Share) const {
  auto It = Rollouts.find(Service);
  if (It == Rollouts.end())
    return Stable;
  const wire::rollout &Rollout = It->second;
  const std::string &Target = Rollout.target_version();
  switch (Rollout.stage()) {
  case wire::CANARY:
    if (!Pinned.empty())
      return Pinned == Target ? Target : Stable;
    return isCanary(SessionHash, Share) ? Target : Stable;
  case wire::HOLD:
    return Pinned == Target ? Target : Stable;
  case wire::SHIFT:
  case wire::COMPLETED:
    return Target;
  default:
    return Stable;
  }
}

bool software_versions::isCanary(uint64_t SessionHash, double Share) {
  return double(SessionHash % HashBuckets) < Share * double(HashBuckets);
}

const std::string &software_versions::target(const std::string &Service) const {
  static const std::string None;
  auto It = Rollouts.find(Service);
  bool InProgress = It != Rollouts.end() && isInProgress(It->second.stage());
  return InProgress ? It->second.target_version() : None;
}

std::string_view
software_versions::revertedVersion(const std::string &Service) const {
  auto It = Rollouts.find(Service);
  bool Reverted = It != Rollouts.end() && It->second.stage() == wire::REVERTED;
  return Reverted ? std::string_view(It->second.target_version())
                  : std::string_view();
}

bool software_versions::isCanaryVersion(const std::string &Service,
                                        const std::string &Version) const {
  auto It = Rollouts.find(Service);
  return It != Rollouts.end() && It->second.target_version() == Version &&
         (It->second.stage() == wire::CANARY ||
          It->second.stage() == wire::HOLD);
}

software_versions::tally_key
software_versions::keyOf(const platform::listed_upstream &Upstream,
                         uint64_t Key) const {
  bool ByUpstream = isCanaryVersion(Upstream.Service, Upstream.Version);
  return {Upstream.Service, Upstream.Version, ByUpstream ? Key : 0};
}

void software_versions::countSent(const std::string &Service,
                                  const std::string &Version) {
  ++Tallies[{Service, Version, 0}].Sent;
}

void software_versions::count(const std::string &Service,
                              const std::string &Version, bool Failed,
                              double Seconds) {
  version_tally &Tally = Tallies[{Service, Version, 0}];
  ++Tally.Answers;
  Tally.Failures += Failed;
  Tally.Seconds += Seconds;
}

void software_versions::countFailure(const platform::listed_upstream &Upstream,
                                     uint64_t Key) {
  version_tally &Tally = Tallies[keyOf(Upstream, Key)];
  ++Tally.Judged;
  ++Tally.Bad;
}

void software_versions::countPace(const platform::listed_upstream &Upstream,
                                  uint64_t Key, double Pace) {
  version_tally &Tally = Tallies[keyOf(Upstream, Key)];
  ++Tally.Judged;
  Tally.Bad += isLate(Pace);
}

void software_versions::countInProgress(
    const platform::listed_upstream &Upstream, uint64_t Key, bool Late) {
  version_tally &Tally = InProgress[keyOf(Upstream, Key)];
  ++Tally.Judged;
  Tally.Bad += Late;
}

bool software_versions::isLate(double Pace) { return Pace > LatePace; }

void software_versions::fillTallies(wire::watch &Watch) {
  for (const auto &[Key, Open] : InProgress)
    Tallies.try_emplace(Key);
  for (const auto &[Key, Ended] : Tallies) {
    version_tally Tally = Ended;
    if (auto Open = InProgress.find(Key); Open != InProgress.end())
      Tally += Open->second;
    wire::version_tally *Out = Watch.add_tallies();
    Out->set_service(std::get<0>(Key));
    Out->set_version(std::get<1>(Key));
    Out->set_upstream(std::get<2>(Key));
    Out->set_sent(Tally.Sent);
    Out->set_answers(Tally.Answers);
    Out->set_failures(Tally.Failures);
    Out->set_seconds(Tally.Seconds);
    Out->set_judged(Tally.Judged);
    Out->set_bad(Tally.Bad);
  }
  InProgress.clear();
}

} // namespace olivevalve
