//===- document.cpp - Configuration documents -----------------------------===//

#include "catalog/document.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/fields.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr std::array<std::string_view, size_t(version_state::Last) + 1>
    StateNames = {"active", "rolling", "paused", "stopped", "withdrawn"};
constexpr number_range PriceRange = {0, 1e6};
constexpr number_range ShareRange = {0, 1};
constexpr number_range PriorityRange = {0, 3};
constexpr number_range RateRange = {0.01, 1e6};

template <size_t N>
std::vector<std::string_view>
listOf(const std::array<std::string_view, N> &Names) {
  return {Names.begin(), Names.end()};
}

void readVersionNames(object_reader &Reader, std::string_view Key,
                      std::vector<version_name> &Out) {
  std::vector<std::string> Texts;
  Reader.texts(Key, Texts);
  for (const std::string &Text : Texts)
    Out.push_back(parseVersionName(Text));
}

version_spec readVersion(const json &Value, const std::string &Path,
                         fault_list &Faults) {
  version_spec Version;
  object_reader Reader(Value, Path, Faults);
  size_t State = 0;
  Reader.choice("state", State, listOf(StateNames));
  Version.State = version_state(State);
  Reader.number("input_price", Version.InputPrice, PriceRange);
  Version.CachedPrice = Version.InputPrice;
  Reader.number("cached_price", Version.CachedPrice, PriceRange);
  Reader.number("output_price", Version.OutputPrice, PriceRange);
  Reader.text("engine_model", Version.EngineModel);
  Reader.number("exposure_budget", Version.ExposureBudget, {1, 1e6});
  Reader.object("stopped_for", [&](object_reader &Scopes) {
    Scopes.texts("templates", Version.StoppedFor.Templates);
    Scopes.texts("accounts", Version.StoppedFor.Accounts);
  });
  Reader.finish();
  return Version;
}

model_spec readModel(object_reader &Reader, fault_list &Faults) {
  model_spec Model;
  Reader.members("versions", [&](const std::string &Name, const json &Value,
                                 const std::string &Path) {
    if (!isName(Name))
      Faults.add(Path, "version name must be 1 to 64 letters, digits, - _ .");
    Model.Versions.emplace(Name, readVersion(Value, Path, Faults));
  });
  if (Model.Versions.empty())
    Reader.fault("versions", "must name at least one version");
  return Model;
}

version_policy readPolicy(object_reader &Reader) {
  constexpr std::array<std::string_view, 4> Names = {"fixed", "split",
                                                     "cheapest", "cascade"};
  size_t Kind = 2;
  Reader.choice("kind", Kind, listOf(Names));
  switch (Kind) {
  case 0:
    return fixed_policy{};
  case 1: {
    split_policy Split;
    Reader.elements("weights", [&](const json &Value, const std::string &Path) {
      bool IsValid = Value.is_number() && Value.get<double>() >= 0;
      if (!IsValid)
        Reader.fault("weights", Path + " must be a number of 0 or more");
      Split.Weights.push_back(IsValid ? Value.get<double>() : 0);
    });
    return Split;
  }
  case 3: {
    cascade_policy Cascade;
    Reader.number("threshold", Cascade.Threshold, ShareRange);
    return Cascade;
  }
  default: {
    cheapest_policy Cheapest;
    Reader.number("explore_share", Cheapest.ExploreShare, {0, 0.2});
    return Cheapest;
  }
  }
}

template_spec readTemplate(object_reader &Reader) {
  template_spec Template;
  readVersionNames(Reader, "candidates", Template.Candidates);
  if (Template.Candidates.empty())
    Reader.fault("candidates", "must name at least one model or model@version");
  Reader.object("policy", [&](object_reader &Policy) {
    Template.Policy = readPolicy(Policy);
  });
  if (const auto *Split = std::get_if<split_policy>(&Template.Policy))
    if (Split->Weights.size() != Template.Candidates.size())
      Reader.fault("policy.weights", "must have one weight for each candidate");
  Reader.number("quality_target", Template.QualityTarget, ShareRange);
  Reader.integer("priority", Template.Priority, PriorityRange);
  return Template;
}

account_spec readAccount(object_reader &Reader, fault_list &Faults) {
  account_spec Account;
  Reader.texts("key_digests", Account.KeyDigests);
  for (const std::string &Digest : Account.KeyDigests)
    if (Digest.size() != 64)
      Reader.fault("key_digests", "must be 64 hexadecimal digits, as printed "
                                  "by 'olivevalvectl key'");
  readVersionNames(Reader, "models", Account.Models);
  Reader.texts("services", Account.Services);
  Reader.integer("priority", Account.Priority, PriorityRange);
  Reader.number("quality_target", Account.QualityTarget, ShareRange);
  Reader.number("requests_per_second", Account.RequestsPerSecond, RateRange);
  Reader.integer("concurrent", Account.Concurrent, {1, 1e6});
  Reader.members("templates", [&](const std::string &Name, const json &Value,
                                  const std::string &Path) {
    object_reader Each(Value, Path, Faults);
    template_parameters Parameters;
    Each.number("quality_target", Parameters.QualityTarget, ShareRange);
    Each.integer("priority", Parameters.Priority, PriorityRange);
    Each.finish();
    Account.Templates.emplace(Name, Parameters);
  });
  return Account;
}

upstream_spec readUpstream(object_reader &Reader) {
  upstream_spec Upstream;
  Reader.text("address", Upstream.Address, presence::Required);
  Reader.text("data_hall", Upstream.DataHall, presence::Required);
  Reader.text("service", Upstream.Service);
  readVersionNames(Reader, "versions", Upstream.Versions);
  for (const version_name &Name : Upstream.Versions)
    if (Name.Version.empty())
      Reader.fault("versions", "must be written model@version");
  Reader.integer("room", Upstream.MaxLoadedVersions, {0, 64});
  Reader.texts("models", Upstream.Models);
  if (Upstream.managed() == Upstream.Models.empty())
    Reader.fault("models", "must be given and not be empty if room is, and not "
                           "be given otherwise");
  bool IsEngine = !Upstream.Versions.empty() || Upstream.managed();
  if (Upstream.Service.empty() != IsEngine)
    Reader.fault("versions", "either versions, room or service must be given");
  if (Upstream.managed() && !Upstream.Versions.empty())
    Reader.fault("versions",
                 "must not be given with room: control assigns them");
  Reader.integer("slots", Upstream.Slots, {1, 4096});
  Reader.flag("leaving", Upstream.Leaving);
  return Upstream;
}

service_spec readService(object_reader &Reader) {
  service_spec Service;
  Reader.text("path_prefix", Service.PathPrefix, presence::Required);
  bool IsValid = Service.PathPrefix.size() > 2 &&
                 Service.PathPrefix.front() == '/' &&
                 Service.PathPrefix.back() == '/' &&
                 !Service.PathPrefix.starts_with("/v1/");
  if (!IsValid)
    Reader.fault("path_prefix",
                 "must start and end with '/', not be '/' or under /v1/");
  if (Reader.has("repeatable_methods"))
    Reader.texts("repeatable_methods", Service.RepeatableMethods);
  Reader.integer("priority", Service.Priority, PriorityRange);
  return Service;
}

node_spec readNode(object_reader &Reader) {
  node_spec Node;
  Reader.flag("draining", Node.Draining);
  return Node;
}

placement_spec readPlacement(object_reader &Reader) {
  placement_spec Placement;
  readVersionNames(Reader, "versions", Placement.Versions);
  for (const version_name &Name : Placement.Versions)
    if (Name.Version.empty())
      Reader.fault("versions", "must be written model@version");
  return Placement;
}

document readKind(size_t Kind, object_reader &Reader, fault_list &Faults) {
  switch (Kind) {
  case 0:
    return readModel(Reader, Faults);
  case 1:
    return readTemplate(Reader);
  case 2:
    return readAccount(Reader, Faults);
  case 3:
    return readUpstream(Reader);
  case 4:
    return readService(Reader);
  case 5:
    return readNode(Reader);
  default:
    return readPlacement(Reader);
  }
}

} // namespace

std::string version_name::text() const {
  return Version.empty() ? Model : Model + "@" + Version;
}

version_name parseVersionName(std::string_view Text) {
  size_t At = Text.find('@');
  if (At == std::string_view::npos)
    return {std::string(Text), ""};
  return {std::string(Text.substr(0, At)), std::string(Text.substr(At + 1))};
}

bool allowsVersion(const account_spec &Account, const version_name &Name) {
  return std::any_of(Account.Models.begin(), Account.Models.end(),
                     [&](const version_name &Allowed) {
                       return Allowed.Model == Name.Model &&
                              (Allowed.Version.empty() ||
                               Allowed.Version == Name.Version);
                     });
}

bool stopped_scopes::covers(const std::string &Template,
                            const std::string &Account) const {
  auto Has = [](const std::vector<std::string> &Names,
                const std::string &Name) {
    return std::find(Names.begin(), Names.end(), Name) != Names.end();
  };
  return Has(Templates, Template) || Has(Accounts, Account);
}

uint64_t costMicros(const version_spec &Version, const wire::usage &Usage) {
  uint32_t Cached = std::min(Usage.input_tokens(), Usage.cached_tokens());
  double Fresh = double(Usage.input_tokens() - Cached);
  return uint64_t(Fresh * Version.InputPrice + Cached * Version.CachedPrice +
                  Usage.output_tokens() * Version.OutputPrice);
}

std::string_view nameOf(version_state State) {
  return StateNames[size_t(State)];
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= 64 &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isalnum(C) || C == '-' || C == '_' || C == '.';
         });
}

absl::StatusOr<document> parseDocument(std::string_view Kind,
                                       std::string_view Name,
                                       std::string_view Text) {
  std::string Source = std::string(Kind) + "/" + std::string(Name);
  auto KindName = std::find(KindNames.begin(), KindNames.end(), Kind);
  if (KindName == KindNames.end())
    return makeError(error_kind::BadConfiguration,
                     Source + ": kind must be one of model, template, account, "
                              "upstream, service, node, placement");
  if (!isName(Name))
    return makeError(error_kind::BadConfiguration,
                     Source + ": name must be 1 to 64 letters, digits, - _ .");
  auto Value = parseJson(Text, Source);
  if (!Value.ok())
    return makeError(error_kind::BadConfiguration, messageOf(Value.status()));
  fault_list Faults;
  object_reader Reader(*Value, Source, Faults);
  document Document =
      readKind(size_t(KindName - KindNames.begin()), Reader, Faults);
  Reader.finish();
  if (!Faults.empty())
    return makeError(error_kind::BadConfiguration, Faults.text());
  std::visit(
      [&](auto &Spec) {
        if constexpr (requires { Spec.Name; })
          Spec.Name = std::string(Name);
      },
      Document);
  return Document;
}

} // namespace olivevalve
