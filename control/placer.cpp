//===- placer.cpp - Assigns versions to managed upstreams -----------------===//

#include "control/placer.h"
#include "absl/strings/str_cat.h"
#include "base/fields.h"
#include "base/log.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Time constant: longer than bursts within a minute, shorter than the daily
// cycle.
constexpr double DemandSmoothingSeconds = 60;

const node_record *sidecarOf(const node_table &Nodes,
                             const std::string &Upstream, double Now) {
  for (const auto &[Peer, Node] : Nodes.nodes())
    if (Node.Role == "sidecar" && Node.SidecarReport.upstream() == Upstream &&
        Node.LeaseEnd > Now && !Node.Stopping)
      return &Node;
  return nullptr;
}

} // namespace

void placer::updateDemand(const node_table &Nodes, double Now) {
  std::map<version_name, double> InFlight;
  for (const auto &[Peer, Node] : Nodes.nodes())
    if (Node.LeaseEnd > Now)
      for (const auto &[Version, Count] : Node.VersionLoads)
        InFlight[parseVersionName(Version)] += Count;
  for (const auto &[Version, Count] : InFlight)
    Demand.try_emplace(Version, 0);
  // The first measurement is taken unsmoothed.
  double Retained =
      DemandUpdatedAt == 0
          ? 0
          : std::exp((DemandUpdatedAt - Now) / DemandSmoothingSeconds);
  for (auto &[Version, Smoothed] : Demand)
    Smoothed = Retained * Smoothed + (1 - Retained) * InFlight[Version];
  DemandUpdatedAt = Now;
}

placement_input placer::makeInput(const catalog &Config,
                                  const node_table &Nodes, double Now) const {
  placement_input Input{.MaxConcurrentLoads = MaxConcurrentLoads};
  Config.forEach<upstream_spec>([&](const upstream_spec &Spec) {
    if (!Spec.managed())
      return;
    const node_record *Sidecar = sidecarOf(Nodes, Spec.Name, Now);
    const auto &Assigned = Config.versionsOf(Spec);
    placed_replica Replica{.Name = Spec.Name,
                           .DataHall = Spec.DataHall,
                           .MaxLoadedVersions = size_t(Spec.MaxLoadedVersions),
                           .Models = Spec.Models,
                           .Assigned = {Assigned.begin(), Assigned.end()},
                           .Usable = Sidecar && !Spec.Leaving};
    if (Sidecar)
      for (const std::string &Text : Sidecar->SidecarReport.versions())
        Replica.Loaded.insert(parseVersionName(Text));
    Input.Replicas.push_back(std::move(Replica));
  });
  Config.forEach<model_spec>([&](const model_spec &Model) {
    for (const auto &[Version, Spec] : Model.Versions) {
      version_name Name{Model.Name, Version};
      auto It = Demand.find(Name);
      if (takesNewWork(Spec.State))
        Input.Versions.push_back({Name, It == Demand.end() ? 0 : It->second});
    }
  });
  return Input;
}

std::optional<wire::change_set>
placer::next(const catalog &Config, const node_table &Nodes, double Now) {
  updateDemand(Nodes, Now);
  placement_input Input = makeInput(Config, Nodes, Now);
  auto Step = nextPlacement(Input);
  if (!Step)
    return std::nullopt;
  const std::string &Name = Input.Replicas[Step->Replica].Name;
  json Versions = json::array();
  for (const version_name &Version : Step->Assigned)
    Versions.push_back(Version.text());
  auto Present = Config.objects().find({"placement", Name});
  uint64_t Index =
      Present == Config.objects().end() ? 0 : Present->second.Index;
  wire::change_set Set;
  // The id holds the index of the whole configuration, so that a new attempt
  // after a rejected change counts as another change.
  Set.set_change_id(absl::StrCat("placement-", Name, "-", Config.index()));
  Set.set_author("placement");
  wire::config_change *Change = Set.add_changes();
  Change->set_kind("placement");
  Change->set_name(Name);
  Change->set_check_index(true);
  Change->set_expected_index(Index);
  Change->set_document(jsonText({{"versions", Versions}}));
  logLine(log_level::Info, "assigning versions to an upstream",
          {{"upstream", Name}, {"versions", jsonText(Versions)}});
  return Set;
}

} // namespace olivevalve
