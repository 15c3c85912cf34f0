//===- software_versions.cpp - Software version for a request -------------===//

#include "gateway/software_versions.h"
#include "gateway/upstream_table.h"

namespace olivevalve {

namespace {

constexpr uint64_t HashBuckets = 1'000'000;

} // namespace

void software_versions::apply(const wire::notice &Notice,
                              upstream_table &Upstreams) {
  for (const wire::rollout &Rollout : Notice.rollouts()) {
    Rollouts[Rollout.service()] = Rollout;
    if (Rollout.stage() == wire::COMPLETED)
      Upstreams.setStableVersion(Rollout.service(), Rollout.target_version());
    else
      Upstreams.replaceStableVersion(Rollout.service(),
                                     Rollout.target_version());
  }
}

const std::string &software_versions::versionFor(const std::string &Service,
                                                 const std::string &Stable,
                                                 const std::string &Pinned,
                                                 uint64_t SessionHash) const {
  auto It = Rollouts.find(Service);
  if (It == Rollouts.end())
    return Stable;
  const wire::rollout &Rollout = It->second;
  const std::string &Target = Rollout.target_version();
  switch (Rollout.stage()) {
  case wire::CANARY:
    if (!Pinned.empty())
      return Pinned == Target ? Target : Stable;
    return isCanary(SessionHash) ? Target : Stable;
  case wire::SHIFT:
  case wire::COMPLETED:
    return Target;
  default:
    return Stable;
  }
}

bool software_versions::isCanary(uint64_t SessionHash) {
  return double(SessionHash % HashBuckets) < CanaryShare * double(HashBuckets);
}

const std::string &software_versions::target(const std::string &Service) const {
  static const std::string None;
  auto It = Rollouts.find(Service);
  bool InProgress =
      It != Rollouts.end() &&
      (It->second.stage() == wire::CANARY || It->second.stage() == wire::SHIFT);
  return InProgress ? It->second.target_version() : None;
}

std::string_view
software_versions::revertedVersion(const std::string &Service) const {
  auto It = Rollouts.find(Service);
  bool Reverted = It != Rollouts.end() && It->second.stage() == wire::REVERTED;
  return Reverted ? std::string_view(It->second.target_version())
                  : std::string_view();
}

void software_versions::count(const std::string &Service,
                              const std::string &Version, bool Failed,
                              double Seconds) {
  version_tally &Tally = Tallies[{Service, Version}];
  ++Tally.Answers;
  Tally.Failures += Failed;
  Tally.Seconds += Seconds;
}

void software_versions::fillTallies(wire::watch &Watch) const {
  for (const auto &[Key, Tally] : Tallies) {
    wire::version_tally *Out = Watch.add_tallies();
    Out->set_service(Key.first);
    Out->set_version(Key.second);
    Out->set_answers(Tally.Answers);
    Out->set_failures(Tally.Failures);
    Out->set_seconds(Tally.Seconds);
  }
}

} // namespace olivevalve
