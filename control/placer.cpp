//===- placer.cpp - Assigns versions to managed upstreams -----------------===//

#include "control/placer.h"
#include "absl/strings/str_cat.h"
#include "base/fields.h"
#include "base/log.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Longer than the bursts of a minute, shorter than the hours of a day.
constexpr double DemandSeconds = 60;

const node_record *sidecarOf(const node_table &Nodes,
                             const std::string &Upstream, double Now) {
  for (const auto &[Peer, Node] : Nodes.nodes())
    if (Node.Role == "sidecar" && Node.News.upstream() == Upstream &&
        Node.LeaseEnd > Now && !Node.Stopping)
      return &Node;
  return nullptr;
}

} // namespace

void placer::learnDemand(const node_table &Nodes, double Now) {
  std::map<version_name, double> InFlight;
  for (const auto &[Peer, Node] : Nodes.nodes())
    if (Node.LeaseEnd > Now)
      for (const auto &[Version, Count] : Node.VersionLoads)
        InFlight[parseVersionName(Version)] += Count;
  for (const auto &[Version, Count] : InFlight)
    Demand.try_emplace(Version, 0);
  // The first look is all there is to go by.
  double Keep =
      LearnedAt == 0 ? 0 : std::exp((LearnedAt - Now) / DemandSeconds);
  for (auto &[Version, Smoothed] : Demand)
    Smoothed = Keep * Smoothed + (1 - Keep) * InFlight[Version];
  LearnedAt = Now;
}

placement_question placer::question(const catalog &Config,
                                    const node_table &Nodes, double Now) const {
  placement_question Question{.LoadsAtOnce = LoadsAtOnce};
  Config.forEach<upstream_spec>([&](const upstream_spec &Spec) {
    if (!Spec.managed())
      return;
    const node_record *Sidecar = sidecarOf(Nodes, Spec.Name, Now);
    const auto &Assigned = Config.versionsOf(Spec);
    placed_replica Replica{.Name = Spec.Name,
                           .DataHall = Spec.DataHall,
                           .Room = size_t(Spec.Room),
                           .Models = Spec.Models,
                           .Assigned = {Assigned.begin(), Assigned.end()},
                           .Usable = Sidecar && !Spec.Leaving};
    if (Sidecar)
      for (const std::string &Text : Sidecar->News.versions())
        Replica.Loaded.insert(parseVersionName(Text));
    Question.Replicas.push_back(std::move(Replica));
  });
  Config.forEach<model_spec>([&](const model_spec &Model) {
    for (const auto &[Version, Spec] : Model.Versions) {
      version_name Name{Model.Name, Version};
      auto It = Demand.find(Name);
      if (takesNewWork(Spec.State))
        Question.Versions.push_back(
            {Name, It == Demand.end() ? 0 : It->second});
    }
  });
  return Question;
}

std::optional<wire::change_set>
placer::next(const catalog &Config, const node_table &Nodes, double Now) {
  learnDemand(Nodes, Now);
  placement_question Question = question(Config, Nodes, Now);
  auto Step = nextPlacement(Question);
  if (!Step)
    return std::nullopt;
  const std::string &Name = Question.Replicas[Step->Replica].Name;
  json Versions = json::array();
  for (const version_name &Version : Step->Assigned)
    Versions.push_back(Version.text());
  auto Held = Config.objects().find({"placement", Name});
  uint64_t Index = Held == Config.objects().end() ? 0 : Held->second.Index;
  wire::change_set Set;
  // The index of the whole configuration: after a refusal it is another change.
  Set.set_change_id(absl::StrCat("placement-", Name, "-", Config.index()));
  Set.set_author("placement");
  wire::config_change *Change = Set.add_changes();
  Change->set_kind("placement");
  Change->set_name(Name);
  Change->set_check_index(true);
  Change->set_expected_index(Index);
  Change->set_document(json({{"versions", Versions}}).dump());
  logLine(log_level::Info, "versions assigned",
          {{"upstream", Name}, {"versions", Versions.dump()}});
  return Set;
}

} // namespace olivevalve
